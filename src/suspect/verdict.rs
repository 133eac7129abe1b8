//! Which features explain crashes.

use crate::units::Millis;

use super::evidence::contains_all;
use super::{CrashRecord, Feature};

/// Number of crashes under a feature that no other feature explains at which requests with it are contained.
pub const CRASHES_TO_CONTAIN: usize = 3;

/// The same while other requests are contained: the accusation that would explain a crash by them may be lost, and innocent
/// features are then accused of a few such crashes.
const CRASHES_BESIDE_ANOTHER: usize = 5;

/// Crashes that follow one another within this time count as one: the loss of a rack or a data centre ends many upstreams
/// at the same moment, whatever they ran.
const MIN_CRASH_GAP: Millis = Millis(100);

/// Part of the crashes left unexplained by other verdicts that a further verdict must explain: one in this many.
const MIN_EXPLAINED_PART: usize = 3;

/// What is known of the runs that survived with a feature.
pub(super) trait Survivals {
    /// Returns when the last one was known to have survived, or zero.
    fn last(&self, feature: Feature) -> Millis;

    /// Returns how many recent ones count at a time.
    fn count(&self, feature: Feature, at: Millis) -> u32;
}

/// Features that crash upstreams, and the times of the crashes that they explain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Verdict {
    pub(super) features: Vec<Feature>,
    pub(super) crashes: Vec<Millis>,
}

/// Features with enough crashes for a verdict.
struct Suspicion<'a> {
    features: Vec<Feature>,
    /// Ranks of the crashes that the first feature is accused of.
    under: &'a [(Feature, usize)],
    /// How many of them count, and how many are needed.
    counted: usize,
    needed: usize,
}

/// Returns the verdicts that crashes, sorted by time, lead to, the strongest first; `is_alone` is whether nothing is contained
/// yet.
pub(super) fn verdicts(
    mut open: Vec<&CrashRecord>,
    mut is_alone: bool,
    survivals: &impl Survivals,
) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    while let Some((features, under)) = strongest(&open, is_alone, survivals) {
        is_alone = false;
        let unexplained = count_apart(open.iter().copied());
        let explained = count_apart(under.iter().copied());
        if !verdicts.is_empty() && explained * MIN_EXPLAINED_PART < unexplained {
            break;
        }
        let crashes = under.iter().map(|c| c.at).collect();
        open.retain(|c| !contains_all(&c.features, &features));
        verdicts.push(Verdict { features, crashes });
    }
    verdicts
}

/// Returns the features that best explain the crashes, with these crashes, if there are enough.
///
/// `open` is sorted by time. Features that were accused of exactly the same crashes cannot be told apart; they are returned
/// together.
fn strongest<'a>(
    open: &[&'a CrashRecord],
    is_alone: bool,
    survivals: &impl Survivals,
) -> Option<(Vec<Feature>, Vec<&'a CrashRecord>)> {
    let mut accusations: Vec<(Feature, usize)> = Vec::new();
    for (rank, crash) in open.iter().enumerate() {
        let features = crash.features.iter();
        let accused = features.filter(|f| survivals.last(**f) < crash.at);
        accusations.extend(accused.map(|f| (*f, rank)));
    }
    accusations.sort_unstable();
    let base = if is_alone {
        CRASHES_TO_CONTAIN
    } else {
        CRASHES_BESIDE_ANOTHER
    };
    let mut best: Option<Suspicion<'_>> = None;
    for group in accusations.chunk_by(|a, b| a.0 == b.0) {
        let feature = group[0].0;
        let counted = count_apart(group.iter().map(|(_, rank)| open[*rank]));
        let last = open[group[group.len() - 1].1].at;
        let survived = usize::try_from(survivals.count(feature, last)).unwrap_or(0);
        let needed = base * (1 + survived);
        if counted < needed {
            continue;
        }
        let ranks = |g: &[(Feature, usize)]| g.iter().map(|(_, r)| *r).collect::<Vec<_>>();
        match &mut best {
            Some(known) if known.needed == needed && ranks(known.under) == ranks(group) => {
                known.features.push(feature);
            }
            Some(known) if counted * known.needed <= known.counted * needed => {}
            _ => {
                best = Some(Suspicion {
                    features: vec![feature],
                    under: group,
                    counted,
                    needed,
                });
            }
        }
    }
    let best = best?;
    let under = best.under.iter().map(|(_, rank)| open[*rank]).collect();
    Some((best.features, under))
}

/// Counts crashes, sorted by time, of which those that closely follow a counted one are left out unless the same request
/// was under both: it was sent to the second upstream after the first had crashed.
fn count_apart<'a>(crashes: impl Iterator<Item = &'a CrashRecord>) -> usize {
    let mut last: Option<&CrashRecord> = None;
    let mut count = 0;
    for crash in crashes {
        let is_apart = last.is_none_or(|last| {
            let requests = last.features.iter().filter(|f| f.is_request());
            let mut repeated = requests.filter(|f| crash.features.binary_search(f).is_ok());
            crash.at.since(last.at) >= MIN_CRASH_GAP || repeated.next().is_some()
        });
        if is_apart {
            last = Some(crash);
            count += 1;
        }
    }
    count
}
