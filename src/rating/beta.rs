//! Quantiles of the Beta distribution.

/// Bisection steps on the unit interval; 2^-30 is finer than one part per million.
const BISECTION_STEPS: u32 = 30;
/// Maximum number of terms of the continued fraction; shape parameters up to 1e6 converge in fewer.
const MAX_TERMS: u32 = 2_000;
/// Relative change of the continued fraction below which it has converged.
const CONVERGENCE_TOLERANCE: f64 = 1e-10;
/// Smallest magnitude of a denominator in Lentz's method; a smaller one is replaced by it.
const MIN_DENOMINATOR: f64 = 1e-300;

/// Returns the quantile of Beta(`a`, `b`) at the probability `p`.
pub(super) fn quantile(p: f64, a: f64, b: f64) -> f64 {
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BISECTION_STEPS {
        let mid = f64::midpoint(low, high);
        if cdf(mid, a, b) < p {
            low = mid;
        } else {
            high = mid;
        }
    }
    f64::midpoint(low, high)
}

/// Returns the distribution function of Beta(`a`, `b`): the regularised incomplete beta function.
pub(super) fn cdf(x: f64, a: f64, b: f64) -> f64 {
    if x <= 0.0 {
        return 0.0;
    }
    if x >= 1.0 {
        return 1.0;
    }
    let log_front = ln_gamma(a + b) - ln_gamma(a) - ln_gamma(b) + a * x.ln() + b * (1.0 - x).ln();
    let front = log_front.exp();
    // The continued fraction converges fast only below about the mean; above, the symmetry
    // cdf(x, a, b) = 1 - cdf(1 - x, b, a) is used.
    if x < (a + 1.0) / (a + b + 2.0) {
        front * continued_fraction(x, a, b) / a
    } else {
        1.0 - front * continued_fraction(1.0 - x, b, a) / b
    }
}

/// Evaluates the continued fraction of the incomplete beta function by Lentz's method.
fn continued_fraction(x: f64, a: f64, b: f64) -> f64 {
    let mut lentz = Lentz::new(1.0 - (a + b) * x / (a + 1.0));
    for term in 1..=MAX_TERMS {
        let m = f64::from(term);
        let base = a + 2.0 * m;
        lentz.advance(m * (b - m) * x / ((base - 1.0) * base));
        let factor = lentz.advance(-(a + m) * (a + b + m) * x / (base * (base + 1.0)));
        if (factor - 1.0).abs() < CONVERGENCE_TOLERANCE {
            break;
        }
    }
    lentz.value
}

/// State of Lentz's method for a fraction whose partial denominators are all one.
struct Lentz {
    value: f64,
    numerator: f64,
    denominator: f64,
}

impl Lentz {
    fn new(first_denominator: f64) -> Self {
        let denominator = 1.0 / nonzero(first_denominator);
        Self {
            value: denominator,
            numerator: 1.0,
            denominator,
        }
    }

    /// Adds the next partial numerator and returns the factor by which the value changed.
    fn advance(&mut self, partial_numerator: f64) -> f64 {
        self.denominator = 1.0 / nonzero(1.0 + partial_numerator * self.denominator);
        self.numerator = nonzero(1.0 + partial_numerator / self.numerator);
        let factor = self.denominator * self.numerator;
        self.value *= factor;
        factor
    }
}

fn nonzero(v: f64) -> f64 {
    if v.abs() < MIN_DENOMINATOR {
        MIN_DENOMINATOR
    } else {
        v
    }
}

/// Returns the logarithm of the gamma function by Stirling's series, for `x` above zero.
fn ln_gamma(x: f64) -> f64 {
    // The series is accurate only for large arguments; smaller ones are raised by the recurrence relation.
    let mut shift = 0.0;
    let mut z = x;
    while z < 10.0 {
        shift += z.ln();
        z += 1.0;
    }
    let inv = 1.0 / z;
    let inv2 = inv * inv;
    let series = inv * (1.0 / 12.0 - inv2 * (1.0 / 360.0 - inv2 * (1.0 / 1260.0 - inv2 / 1680.0)));
    (z - 0.5) * z.ln() - z + 0.5 * std::f64::consts::TAU.ln() + series - shift
}
