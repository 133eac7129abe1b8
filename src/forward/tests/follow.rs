//! Following the store: start, lost history, and conditional writes of roll-outs.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::io::AsyncWriteExt as _;
use tokio::sync::Notify;

use super::fixture::{FixedStore, connect, message, policy, read_message, start, status, table};
use crate::fixtures::run_paused;
use crate::forward::follow::{
    self, ControlPlane, ControlPlaneError, Listing, RolloutWrite, StoreAnswer, StoreEvent,
    batch_delay,
};
use crate::forward::rollouts::{Rollouts, decide_rollouts, max_write_jitter};
use crate::forward::shared::Shared;
use crate::kv::LocalFuture;
use crate::router::comparison::AnswerReport;
use crate::router::history::{Era, Standing};
use crate::router::rollout::{Answer, Phase, RequestProfile};
use crate::suspect::EvidenceWrite;
use crate::units::Millis;

const GAP: Millis = Millis(2_000);

const PROFILE: RequestProfile = RequestProfile {
    route: 1,
    length: 10,
    model: 0,
};

/// A store whose watch gets no answer for [`GAP`] and then fails with a lost history. The next listing has an
/// order for a roll-out.
#[derive(Default)]
struct LostHistoryStore {
    list_calls: Cell<u32>,
    recorded_start: Rc<Cell<Option<u64>>>,
}

impl ControlPlane for LostHistoryStore {
    fn list(&self) -> LocalFuture<'_, StoreAnswer<Listing>> {
        self.list_calls.set(self.list_calls.get() + 1);
        let order = StoreEvent::RolloutOrder {
            service: "pool".into(),
            to: "v2".into(),
            ramp: Millis::from_secs(24),
        };
        let events = if self.list_calls.get() > 1 {
            vec![order]
        } else {
            Vec::new()
        };
        Box::pin(async {
            let listing = Listing {
                events,
                revision: 1,
            };
            StoreAnswer::of(Ok(listing), Era::UNNAMED)
        })
    }

    fn watch(&self, _after: u64, _wait: Millis) -> LocalFuture<'_, StoreAnswer<Listing>> {
        Box::pin(async {
            actix_rt::time::sleep(GAP.duration()).await;
            StoreAnswer::of(Err(ControlPlaneError::HistoryLost), Era::UNNAMED)
        })
    }

    fn write_rollout(&self, write: RolloutWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        let start = write.start.map(|s| s.started_unix_ms);
        self.recorded_start.set(self.recorded_start.get().or(start));
        Box::pin(async { StoreAnswer::of(Ok(2), Era::UNNAMED) })
    }

    fn write_settled(&self, _settled: Era) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_answers(&self, _report: AnswerReport) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_evidence(&self, _write: EvidenceWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }
}

/// A store with an order for a roll-out that refuses all writes.
#[derive(Default)]
struct RefusingStore {
    writes: Rc<Cell<u32>>,
}

impl ControlPlane for RefusingStore {
    fn list(&self) -> LocalFuture<'_, StoreAnswer<Listing>> {
        let order = StoreEvent::RolloutOrder {
            service: "pool".into(),
            to: "v2".into(),
            ramp: Millis::from_secs(60),
        };
        Box::pin(async {
            let listing = Listing {
                events: vec![order],
                revision: 1,
            };
            StoreAnswer::of(Ok(listing), Era::UNNAMED)
        })
    }

    fn watch(&self, after: u64, wait: Millis) -> LocalFuture<'_, StoreAnswer<Listing>> {
        Box::pin(async move {
            actix_rt::time::sleep(wait.duration()).await;
            let listing = Listing {
                events: Vec::new(),
                revision: after,
            };
            StoreAnswer::of(Ok(listing), Era::UNNAMED)
        })
    }

    fn write_rollout(&self, _write: RolloutWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        self.writes.update(|count| count + 1);
        Box::pin(async { StoreAnswer::missing(ControlPlaneError::Unavailable("refused".into())) })
    }

    fn write_settled(&self, _settled: Era) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_answers(&self, _report: AnswerReport) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_evidence(&self, _write: EvidenceWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }
}

/// A third of hundreds of gateways can be turned away by the store; their writes must not come ten times a second each.
#[test]
fn refused_writes_back_off() {
    run_paused(async {
        let store = RefusingStore::default();
        let writes = Rc::clone(&store.writes);
        let shared = Shared::open(policy(), Box::new(store));

        actix_rt::spawn(follow::run(Rc::clone(&shared)));
        actix_rt::spawn(decide_rollouts(shared));
        actix_rt::time::sleep(Millis::from_secs(12).duration()).await;

        // Each takes 600 ms at least.
        assert!((5..=20).contains(&writes.get()), "{}", writes.get());
    });
}

/// A store whose first listing waits for a signal of the test.
struct DelayedStore {
    release: Rc<Notify>,
    inner: FixedStore,
}

impl ControlPlane for DelayedStore {
    fn list(&self) -> LocalFuture<'_, StoreAnswer<Listing>> {
        Box::pin(async {
            self.release.notified().await;
            self.inner.list().await
        })
    }

    fn watch(&self, after: u64, wait: Millis) -> LocalFuture<'_, StoreAnswer<Listing>> {
        self.inner.watch(after, wait)
    }

    fn write_rollout(&self, write: RolloutWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        self.inner.write_rollout(write)
    }

    fn write_settled(&self, _settled: Era) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_answers(&self, _report: AnswerReport) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_evidence(&self, _write: EvidenceWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }
}

/// The platform may route clients to a process that has just started; they must not be refused.
#[test]
fn clients_wait_for_the_first_listing_of_the_store() {
    actix_rt::System::new().block_on(async {
        let release = Rc::new(Notify::new());
        let gateway = start(DelayedStore {
            release: Rc::clone(&release),
            inner: FixedStore::open(vec![StoreEvent::Table(Rc::new(table()), 1)]),
        });
        let mut stream = connect(gateway.addresses().listen).await;
        let request = message("GET", "/nowhere/", "");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the gateway is connected");
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }

        release.notify_one();
        let answer = read_message(&mut stream)
            .await
            .expect("the gateway answers");

        assert_eq!(status(&answer), 404, "{answer}");
    });
}

/// Lets a gateway see enough good answers of both versions for a completion.
fn show_sound_version(rollouts: &mut Rollouts, deadline: Millis) {
    let rollout = rollouts.get_mut("pool").expect("the roll-out was ordered");
    let after_the_pin = Millis(deadline.0 * 60 / 100);
    for version in ["v1", "v2"].into_iter().cycle().take(100) {
        rollout.observe(version, PROFILE, Answer::Good(Millis(20)), after_the_pin);
    }
    rollout.update(None, deadline);
}

/// All gateways decide at the same time; those that receive another gateway's record must not write.
#[test]
fn a_write_is_cancelled_if_another_gateway_wrote_first() {
    let mut rollouts = Rollouts::new(150);
    let (service, to): (Rc<str>, Rc<str>) = ("pool".into(), "v2".into());
    rollouts.add_order(&service, Rc::clone(&to), Millis::from_secs(24), Millis(0));
    let due_writes = rollouts.due_writes(Millis(10), Millis(10), Standing::Settled);

    let is_cancelled_early = rollouts.cancel_write(&due_writes[0], Millis(20));
    rollouts.set_phase(&service, &to, Phase::Active, 7);
    let is_cancelled = rollouts.cancel_write(&due_writes[0], Millis(20));

    assert!(!is_cancelled_early && is_cancelled);
    assert!(
        rollouts
            .due_writes(Millis(20), Millis(20), Standing::Settled)
            .is_empty()
    );
    show_sound_version(&mut rollouts, Millis::from_secs(24));
    let complete = rollouts.due_writes(
        Millis::from_secs(24),
        Millis::from_secs(24),
        Standing::Settled,
    );
    assert_eq!(complete.len(), 1);
    assert_eq!(
        (complete[0].phase, complete[0].revision),
        (Phase::Complete, 7)
    );
}

/// A version that is found to be bad just before its completion is written must not be completed.
#[test]
fn a_completion_is_cancelled_if_the_version_is_found_bad() {
    let mut rollouts = Rollouts::new(150);
    let (service, to): (Rc<str>, Rc<str>) = ("pool".into(), "v2".into());
    let end = Millis::from_secs(24);
    rollouts.add_order(&service, Rc::clone(&to), end, Millis(0));
    rollouts.set_phase(&service, &to, Phase::Active, 7);
    show_sound_version(&mut rollouts, end);
    let complete = rollouts.due_writes(end, end, Standing::Settled);
    assert_eq!(complete[0].phase, Phase::Complete);
    let rollout = rollouts.get_mut("pool").expect("the roll-out was ordered");
    for _ in 0..10 {
        rollout.observe("v2", PROFILE, Answer::Failed, end);
    }
    rollout.update(None, end);

    let is_cancelled = rollouts.cancel_write(&complete[0], end);

    assert!(is_cancelled);
    assert_eq!(
        rollouts.due_writes(end, end, Standing::Settled)[0].phase,
        Phase::Reverted
    );
}

/// The time of a roll-out runs from the order, not from the moment at which a gateway reads it.
#[test]
fn a_rollout_ordered_in_a_gap_starts_in_its_middle() {
    run_paused(async {
        let control = LostHistoryStore::default();
        let recorded = Rc::clone(&control.recorded_start);
        let shared = Shared::open(policy(), Box::new(control));
        let started = shared.clock.unix();
        actix_rt::spawn(follow::run(Rc::clone(&shared)));
        actix_rt::spawn(decide_rollouts(Rc::clone(&shared)));

        actix_rt::time::sleep(Millis(5_000).duration()).await;

        let start = recorded.get().expect("the roll-out is recorded");
        let after = Millis(start).since(started);
        assert!(after >= Millis(900) && after <= Millis(1_600), "{after:?}");
    });
}

/// On a large deployment with longer bounds, changes are collected for longer, so that hundreds of gateways do not
/// call the store after each of them. A recorded stop of a roll-out is read as soon as on a small one.
#[test]
fn changes_are_collected_for_a_share_of_their_bound() {
    let small = [false, true].map(|has_rollout| batch_delay(Millis(2_000), has_rollout));
    let large = [false, true].map(|has_rollout| batch_delay(Millis(4_000), has_rollout));

    assert_eq!(small, [Millis(450); 2]);
    assert_eq!(large, [Millis(900), Millis(450)]);
}

/// One of hundreds of gateways records the start of a roll-out; the pause grows with their number, so that the others
/// have read the record before they would write. The record of a completion is due at a fixed time.
#[test]
fn the_pause_before_the_start_is_recorded_grows_with_the_gateways() {
    let starts = [1, 4, 68, 410].map(|gateways| max_write_jitter(Phase::Active, gateways));
    let completions = [1, 410].map(|gateways| max_write_jitter(Phase::Complete, gateways));

    assert_eq!(starts, [250, 400, 6_800, 41_000].map(Millis));
    assert_eq!(completions, [Millis(100); 2]);
}

/// The slack of the retry budget is divided by the number of gateways that load reports name, not by a fixed number.
#[actix_rt::test]
async fn the_slack_of_the_budget_is_divided_by_all_gateways() {
    let shared = Shared::open(policy(), Box::new(FixedStore::open(Vec::new())));
    let now = shared.clock.now();

    let unknown = shared.gateways_sharing_budget(now);
    shared.record_gateways(410, now);

    assert_eq!(unknown, 32);
    assert_eq!(shared.gateways_sharing_budget(now), 410);
}

/// A store whose first watch returns more than a gateway reads.
#[derive(Default)]
struct LongChangesStore {
    reads: Rc<RefCell<Vec<&'static str>>>,
}

impl ControlPlane for LongChangesStore {
    fn list(&self) -> LocalFuture<'_, StoreAnswer<Listing>> {
        self.reads.borrow_mut().push("list");
        let listing = Listing {
            events: Vec::new(),
            revision: 1,
        };
        Box::pin(async { StoreAnswer::of(Ok(listing), Era::UNNAMED) })
    }

    fn watch(&self, _after: u64, wait: Millis) -> LocalFuture<'_, StoreAnswer<Listing>> {
        let is_first = !self.reads.borrow().contains(&"watch");
        self.reads.borrow_mut().push("watch");
        Box::pin(async move {
            if is_first {
                return StoreAnswer::missing(ControlPlaneError::TooLong);
            }
            actix_rt::time::sleep(wait.duration()).await;
            let listing = Listing {
                events: Vec::new(),
                revision: 1,
            };
            StoreAnswer::of(Ok(listing), Era::UNNAMED)
        })
    }

    fn write_rollout(&self, _write: RolloutWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_settled(&self, _settled: Era) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_answers(&self, _report: AnswerReport) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_evidence(&self, _write: EvidenceWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }
}

/// CONFIG: a watch whose answer was too long was repeated for as long as the store kept its history.
#[test]
fn changes_that_are_too_long_lead_to_a_new_listing() {
    run_paused(async {
        let reads = Rc::default();
        let store = LongChangesStore {
            reads: Rc::clone(&reads),
        };
        let shared = Shared::open(policy(), Box::new(store));

        let following = actix_rt::spawn(follow::run(Rc::clone(&shared)));
        actix_rt::time::sleep(Millis(1_000).duration()).await;
        following.abort();

        assert_eq!(&reads.borrow()[..4], ["list", "watch", "list", "watch"]);
        assert_eq!(
            shared.outage_tracker.borrow().grace(shared.clock.now()),
            None
        );
    });
}
