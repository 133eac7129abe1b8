//! Quantiles of the Beta distribution.

/// Halvings of the unit interval; 2^-30 is finer than one part per million.
const BISECTIONS: u32 = 30;
/// Terms of the continued fraction; shapes up to 1e6 converge in fewer.
const MAX_TERMS: u32 = 2_000;
const EPSILON: f64 = 1e-10;
/// Replaces a denominator of zero in Lentz's method.
const TINY: f64 = 1e-300;

/// Returns the `x` below which the share `p` of Beta(`a`, `b`) lies.
pub(super) fn quantile(p: f64, a: f64, b: f64) -> f64 {
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BISECTIONS {
        let mid = f64::midpoint(low, high);
        if cdf(mid, a, b) < p {
            low = mid;
        } else {
            high = mid;
        }
    }
    f64::midpoint(low, high)
}

/// Returns the regularised incomplete beta function.
pub(super) fn cdf(x: f64, a: f64, b: f64) -> f64 {
    if x <= 0.0 {
        return 0.0;
    }
    if x >= 1.0 {
        return 1.0;
    }
    let log_front = ln_gamma(a + b) - ln_gamma(a) - ln_gamma(b) + a * x.ln() + b * (1.0 - x).ln();
    let front = log_front.exp();
    // The fraction converges fast only below the mean; above it the mirrored one does.
    if x < (a + 1.0) / (a + b + 2.0) {
        front * fraction(x, a, b) / a
    } else {
        1.0 - front * fraction(1.0 - x, b, a) / b
    }
}

/// Evaluates the continued fraction of the incomplete beta function by Lentz's method.
fn fraction(x: f64, a: f64, b: f64) -> f64 {
    let mut lentz = Lentz::new(1.0 - (a + b) * x / (a + 1.0));
    for term in 1..=MAX_TERMS {
        let m = f64::from(term);
        let base = a + 2.0 * m;
        lentz.advance(m * (b - m) * x / ((base - 1.0) * base));
        let step = lentz.advance(-(a + m) * (a + b + m) * x / (base * (base + 1.0)));
        if (step - 1.0).abs() < EPSILON {
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
    fn new(first: f64) -> Self {
        let denominator = 1.0 / nonzero(first);
        Self {
            value: denominator,
            numerator: 1.0,
            denominator,
        }
    }

    /// Takes in the next partial numerator and returns the factor by which the value changed.
    fn advance(&mut self, partial: f64) -> f64 {
        self.denominator = 1.0 / nonzero(1.0 + partial * self.denominator);
        self.numerator = nonzero(1.0 + partial / self.numerator);
        let step = self.denominator * self.numerator;
        self.value *= step;
        step
    }
}

fn nonzero(v: f64) -> f64 {
    if v.abs() < TINY { TINY } else { v }
}

/// Returns the logarithm of the gamma function by Stirling's series, for `x` above zero.
fn ln_gamma(x: f64) -> f64 {
    // The series needs a large argument; the recurrence shifts a small one up.
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
