//! Work that this gateway sends to the smallest and to the larger models of a service.
//!
//! Every request starts on the smallest model and some escalate, so the split of the work between the models depends
//! on the requests and not on the number of upstreams. The lanes of [`super::pick`] follow this split.

use crate::units::Millis;

/// Half-life of the weight of past requests.
const HALF_LIFE: Millis = Millis(2_000);

/// Smallest and largest share of the upstreams that serve the smallest model, in permille. The bounds keep some
/// upstreams for every model while few requests have been counted.
const SMALL_SHARE_BOUNDS_PERMILLE: (u64, u64) = (120, 500);

/// Initial work of the smallest and of the larger models, in prompt tokens of the largest model; a few seconds of
/// one gateway's requests.
const INITIAL_WORK_TOKENS: [f64; 2] = [4_000.0, 20_000.0];

/// Initial number of requests that caused the initial work.
const INITIAL_REQUESTS: f64 = 4.0;

/// Models that share a lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ModelClass {
    /// The smallest model, on which every request starts.
    Smallest,
    /// All larger models.
    Larger,
}

/// Decayed sums of one class of models.
#[derive(Debug, Clone, Copy)]
struct Sums {
    work: f64,
    requests: f64,
}

/// Recent work of the models, decayed with [`HALF_LIFE`].
#[derive(Debug, Clone)]
pub struct Demand {
    sums: [Sums; 2],
    updated_at: Millis,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            sums: INITIAL_WORK_TOKENS.map(|work| Sums {
                work,
                requests: INITIAL_REQUESTS,
            }),
            updated_at: Millis(0),
        }
    }
}

impl Demand {
    /// Records a request that is sent to an upstream; `work` is in prompt tokens of the largest model.
    pub fn record(&mut self, class: ModelClass, work: u64, now: Millis) {
        let keep = keep(now.since(self.updated_at));
        for sums in &mut self.sums {
            sums.work *= keep;
            sums.requests *= keep;
        }
        self.updated_at = now;
        let sums = &mut self.sums[class as usize];
        sums.work += to_f64(work);
        sums.requests += 1.0;
    }

    /// Returns the share of the upstreams that should serve the smallest model, in permille.
    ///
    /// The shares are proportional to the square roots of the work. Spare capacity that is split like this minimizes the
    /// mean wait of two queues. As a split of all capacity it favours the smallest model, which every request has to
    /// pass.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the share is clamped to its bounds"
    )]
    pub fn small_share_permille(&self) -> u64 {
        let [small, large] = self.sums.map(|sums| sums.work.max(1.0).sqrt());
        let (least, most) = SMALL_SHARE_BOUNDS_PERMILLE;
        ((small / (small + large) * 1_000.0) as u64).clamp(least, most)
    }

    /// Returns the mean work of a request, in prompt tokens of the largest model.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the work of a request is far below 2^52"
    )]
    pub fn mean_work(&self, class: ModelClass) -> u64 {
        let sums = self.sums[class as usize];
        (sums.work / sums.requests.max(f64::MIN_POSITIVE)) as u64
    }

    /// Returns the work that this gateway sends within `period`, in prompt tokens of the largest model.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the work of a gateway is far below 2^52"
    )]
    pub fn work_within(&self, class: ModelClass, period: Millis, now: Millis) -> u64 {
        let work = self.sums[class as usize].work * keep(now.since(self.updated_at));
        // A constant rate sums up to the rate times the mean lifetime, which is the half-life over ln 2.
        let lifetime_ms = to_f64(HALF_LIFE.0) / std::f64::consts::LN_2;
        (work / lifetime_ms * to_f64(period.0)) as u64
    }
}

fn keep(elapsed: Millis) -> f64 {
    0.5_f64.powf(to_f64(elapsed.0) / to_f64(HALF_LIFE.0))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "tokens and times are far below 2^52"
)]
const fn to_f64(number: u64) -> f64 {
    number as f64
}
