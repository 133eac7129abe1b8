//! Tests of the operator module.

mod faulty_kv;

use actix_rt::time::sleep;

use self::faulty_kv::{FaultyKv, LoggedRoot};
use super::*;
use crate::fixtures::{self, check_property, run_paused};
use crate::kv::KvError;
use crate::kv::memory::{Fault, MemoryKv};
use crate::sheet::Sheet;
use crate::sheet::digest::ApplyId;
use crate::sheet::parts::PartCache;
use crate::sheet::tests::variant;
use crate::units::{Millis, Permille};

/// Most steps of one case; longer cases take long and detected no more of the injected bugs.
const MAX_STEPS: usize = 24;

/// One operator: the revision that it last saw, and its applies with their results.
#[derive(Default)]
struct Operator {
    base: Option<u64>,
    calls: Vec<Call>,
}

struct Call {
    id: ApplyId,
    base: Option<u64>,
    sheet: Sheet,
    result: Result<Applied, ApplyError>,
}

impl Operator {
    async fn step(&mut self, kv: &FaultyKv, action: u8) {
        if action.is_multiple_of(4) {
            let seen = read(kv, &mut PartCache::default()).await.ok().flatten();
            self.base = seen.map(|it| it.root.revision).or(self.base);
            return;
        }
        let repeated = self.calls.last().filter(|_| action % 4 == 1);
        let (id, base, sheet) = match repeated {
            Some(call) => (call.id, call.base, call.sheet.clone()),
            None => (
                ApplyId::random(),
                self.base,
                variant(&[(action, action / 16)]),
            ),
        };
        let result = apply(kv, &sheet, base, id).await;
        if let Ok(applied) = &result {
            self.base = self.base.max(Some(applied.revision));
        }
        self.calls.push(Call {
            id,
            base,
            sheet,
            result,
        });
    }

    /// Checks the results that the operator got against the roots that were in force.
    fn results_match_log(&self, log: &[LoggedRoot]) -> bool {
        self.calls.iter().enumerate().all(|(at, call)| {
            let in_force = log.iter().find(|(root, _)| root.apply_id == call.id);
            let of_same_id = |other: &&Call| other.id == call.id;
            match &call.result {
                Ok(applied) => {
                    let is_repeat = self.calls[..at].iter().any(|other| other.id == call.id);
                    let is_true = in_force.is_some_and(|(root, sheet)| {
                        root.revision == applied.revision && *sheet == call.sheet
                    });
                    is_true && (is_repeat || !applied.already_applied)
                }
                Err(ApplyError::Unknown(_)) => true,
                Err(_) => {
                    let mut others = self.calls.iter().filter(of_same_id);
                    let may_have_applied =
                        |call: &Call| matches!(call.result, Ok(_) | Err(ApplyError::Unknown(_)));
                    in_force.is_none() || others.any(may_have_applied)
                }
            }
        })
    }
}

async fn reads_what_was_in_force(kv: &FaultyKv, cache: &mut PartCache) -> bool {
    match read(kv, cache).await {
        Ok(None) | Err(ReadError::Store(_) | ReadError::Contended) => true,
        Ok(Some(it)) => kv.log().contains(&(it.root, it.sheet)),
        Err(ReadError::Parts(_)) => false,
    }
}

// Guards against two applies that both create a revision, a revision that decreases, an apply that succeeds
// without effect or fails with effect, and a root whose parts are missing.
#[test]
fn applies_are_atomic_and_report_their_outcome_under_races_and_faults() {
    fn property(schedule: Vec<u8>, steps: Vec<(u8, u8, bool)>) -> bool {
        run_paused(async {
            let kv = FaultyKv::open(schedule);
            let (mut one, mut two) = (Operator::default(), Operator::default());
            let mut cache = PartCache::default();
            let mut reads = true;
            for (first, second, collects) in steps.into_iter().take(MAX_STEPS) {
                let collecting = async {
                    if collects {
                        let _ = collect_garbage(&kv).await;
                    }
                };
                let (read, (), (), ()) = futures_util::join!(
                    reads_what_was_in_force(&kv, &mut cache),
                    one.step(&kv, first),
                    two.step(&kv, second),
                    collecting,
                );
                reads &= read;
            }
            // Delayed writes are done within this time.
            sleep(Millis::from_secs(10).duration()).await;
            let log = kv.log();
            let counts_up = (1..).zip(&log).all(|(n, (root, _))| root.revision == n);
            reads && counts_up && one.results_match_log(&log) && two.results_match_log(&log)
        })
    }
    check_property(8, property as fn(Vec<u8>, Vec<(u8, u8, bool)>) -> bool);
}

async fn apply_new(kv: &MemoryKv, sheet: &Sheet, base: Option<u64>) -> Result<Applied, ApplyError> {
    apply(kv, sheet, base, ApplyId::random()).await
}

fn second_sheet() -> Sheet {
    let mut sheet = fixtures::sheet();
    sheet.policy.latency_weight = Permille(7);
    sheet
}

// Guards against a conflict that is reported without the differences.
#[test]
fn a_conflict_reports_the_revision_and_the_differences() {
    run_paused(async {
        let kv = MemoryKv::open();
        apply_new(&kv, &fixtures::sheet(), None)
            .await
            .expect("no sheet is in force yet");
        apply_new(&kv, &second_sheet(), Some(1))
            .await
            .expect("the base is in force");

        let lost = apply_new(&kv, &fixtures::sheet(), Some(1)).await;

        let Err(ApplyError::Conflict {
            in_force_revision,
            differences,
        }) = lost
        else {
            panic!("{lost:?} is not a conflict");
        };
        assert_eq!(in_force_revision, Some(2));
        let lines = differences.iter().flatten().map(ToString::to_string);
        assert_eq!(
            lines.collect::<Vec<_>>(),
            ["~ /policy/latency_weight: 7 -> 500"]
        );
    });
}

// Guards against an outage before the root write that is reported as an unknown outcome, against a repeated apply
// that creates another revision, and against an apply ID that is accepted again for another sheet.
#[test]
fn an_outage_before_the_root_is_written_had_no_effect() {
    run_paused(async {
        let kv = MemoryKv::open();
        kv.set_fault(Fault::Out);
        let outage = KvError::Unreachable("outage".to_owned());
        let result = apply_new(&kv, &fixtures::sheet(), None).await;
        assert_eq!(result, Err(ApplyError::Unavailable(outage)));

        kv.set_fault(Fault::None);
        let sheet = fixtures::sheet();
        let id = ApplyId::random();
        let first = apply(&kv, &sheet, None, id).await;
        let again = apply(&kv, &sheet, None, id).await;
        assert_eq!(
            first,
            Ok(Applied {
                revision: 1,
                already_applied: false
            })
        );
        assert_eq!(
            again,
            Ok(Applied {
                revision: 1,
                already_applied: true
            })
        );
        let other = apply(&kv, &second_sheet(), Some(1), id).await;
        assert_eq!(other, Err(ApplyError::IdReused { revision: 1 }));
    });
}

// Guards against reading the whole configuration after each of 4,400 changes per day.
#[test]
fn unchanged_parts_are_not_read_again() {
    run_paused(async {
        let kv = MemoryKv::open();
        let mut cache = PartCache::default();
        apply_new(&kv, &fixtures::sheet(), None)
            .await
            .expect("no sheet is in force yet");
        read(&kv, &mut cache)
            .await
            .expect("the configuration can be read");
        apply_new(&kv, &second_sheet(), Some(1))
            .await
            .expect("the base is in force");
        let before = kv.calls();

        let in_force = read(&kv, &mut cache)
            .await
            .expect("the configuration can be read");

        // The root and the policy.
        assert_eq!(kv.calls() - before, 2);
        assert_eq!(in_force.map(|it| it.sheet), Some(second_sheet()));
        assert_eq!(cache.len(), fixture_part_count());
    });
}

// Guards against a read that fails because its root was replaced and its parts removed meanwhile.
#[test]
fn a_read_overtaken_by_applies_returns_the_newer_root() {
    run_paused(async {
        // The second call, which lists the parts, takes 7 ms.
        let kv = FaultyKv::open(vec![0, 7, 0, 0]);
        let store = kv.store();
        apply_numbered(store, 0).await;
        let overtake = async {
            sleep(Millis(3).duration()).await;
            for n in 1..3 {
                apply_numbered(store, n).await;
            }
            collect_garbage(store).await
        };

        let mut cache = PartCache::default();
        let (in_force, removed) = futures_util::join!(read(&kv, &mut cache), overtake);

        assert_eq!(removed, Ok(1));
        let in_force = in_force
            .expect("the configuration can be read")
            .expect("a root is in force");
        assert_eq!(in_force.root.revision, 3);
    });
}

/// Applies a sheet that differs from the others in its policy, as revision `n + 1`.
async fn apply_numbered(kv: &MemoryKv, n: u16) {
    let mut sheet = fixtures::sheet();
    sheet.policy.latency_weight = Permille(n);
    let base = (n > 0).then_some(u64::from(n));
    apply_new(kv, &sheet, base)
        .await
        .expect("the base is in force");
}

fn fixture_part_count() -> usize {
    crate::sheet::parts::split(&fixtures::sheet()).map_or(0, |parts| parts.len())
}

// Guards against old parts that accumulate in the store.
#[test]
fn collect_keeps_only_the_parts_of_the_last_two_roots() {
    run_paused(async {
        let kv = MemoryKv::open();
        for n in 0..4 {
            apply_numbered(&kv, n).await;
        }

        assert_eq!(collect_garbage(&kv).await, Ok(2));
        assert_eq!(collect_garbage(&kv).await, Ok(0));
        let status = read(&kv, &mut PartCache::default())
            .await
            .expect("the configuration can be read");
        assert_eq!(status.map(|it| status_of(&it)), Some((4, 2, 1)));
    });
}

fn status_of(in_force: &InForce) -> (u64, usize, usize) {
    let status = status(in_force);
    (status.revision, status.accounts, status.rollouts.len())
}

// Guards against a wait that ends while a process has an older revision, or that does not name it.
#[test]
fn wait_names_the_processes_that_are_behind() {
    run_paused(async {
        let polls = std::cell::Cell::new(0);
        let poll = async || {
            polls.set(polls.get() + 1);
            let held = |process: &str, revision| ProcessRevision {
                process: process.to_owned(),
                revision,
            };
            vec![
                held("a", Some(3)),
                held("b", (polls.get() > 5).then_some(2)),
            ]
        };

        assert_eq!(wait(2, Millis::from_secs(60), poll).await, Ok(()));
        assert_eq!(polls.get(), 6);
        let behind = wait(3, Millis::from_secs(3), poll).await;
        let names = behind
            .unwrap_err()
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>();
        assert_eq!(names, ["b has revision 2"]);
    });
}
