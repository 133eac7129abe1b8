//! Usual times of upstreams that are at their pace, by what was asked of them.

use crate::units::Millis;

/// Weight of a new time in the mean; about the last twenty count.
const SMOOTHING: f64 = 0.05;

/// Answers of a profile from which its mean is used.
const MIN_ANSWERS: u32 = 5;

/// What of an answer was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Measure {
    /// Time to the first byte.
    FirstByte,
    /// Time for a fixed number of events of a stream.
    Events,
}

/// What a time depends on at an upstream that is at its pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Profile {
    /// What was measured.
    pub measure: Measure,
    /// Index of the model.
    pub model: u8,
    /// Length of the prompt, as a power of two.
    pub length: u8,
}

#[derive(Debug, Clone, Copy)]
struct Usual {
    profile: Profile,
    mean_ms: f64,
    answers: u32,
}

/// Mean times by profile, sorted.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    usual: Vec<Usual>,
}

impl Peers {
    /// Records a time of an upstream that is at its pace.
    pub fn observe(&mut self, profile: Profile, took: Millis) {
        let took = super::to_f64(took.0);
        match self.position(profile) {
            Ok(at) => {
                let usual = &mut self.usual[at];
                usual.answers = usual.answers.saturating_add(1);
                // The first times are averaged; later ones are smoothed.
                let weight = (1.0 / f64::from(usual.answers)).max(SMOOTHING);
                usual.mean_ms += (took - usual.mean_ms) * weight;
            }
            Err(at) => self.usual.insert(
                at,
                Usual {
                    profile,
                    mean_ms: took,
                    answers: 1,
                },
            ),
        }
    }

    /// Returns the usual time, in milliseconds, if enough answers are known.
    #[must_use]
    pub fn usual(&self, profile: Profile) -> Option<f64> {
        let usual = &self.usual[self.position(profile).ok()?];
        (usual.answers >= MIN_ANSWERS).then_some(usual.mean_ms)
    }

    fn position(&self, profile: Profile) -> Result<usize, usize> {
        (self.usual).binary_search_by_key(&profile, |u| u.profile)
    }
}
