//! Following the store: start, lost history, and conditional writes of roll-outs.

use std::cell::Cell;
use std::rc::Rc;

use tokio::io::AsyncWriteExt as _;
use tokio::sync::Notify;

use super::fixture::{FixedControl, connect, message, policy, read_message, start, status, table};
use crate::fixtures::run_paused;
use crate::forward::follow::{
    self, ControlPlane, ControlPlaneError, Listing, RolloutWrite, Rollouts, StoreEvent,
    decide_rollouts,
};
use crate::forward::shared::Shared;
use crate::kv::LocalFuture;
use crate::router::rollout::{Answer, Phase, RequestProfile};
use crate::units::Millis;

const GAP: Millis = Millis(2_000);

const KIND: RequestProfile = RequestProfile {
    route: 1,
    length: 10,
    model: 0,
};

/// A store whose watch gets no answer for [`GAP`] and then fails with a lost history. The next listing has an
/// order for a roll-out.
#[derive(Default)]
struct DeafControl {
    lists: Cell<u32>,
    recorded_start: Rc<Cell<Option<u64>>>,
}

impl ControlPlane for DeafControl {
    fn list(&self) -> LocalFuture<'_, Result<Listing, ControlPlaneError>> {
        self.lists.set(self.lists.get() + 1);
        let order = StoreEvent::RolloutOrder {
            service: "pool".into(),
            to: "v2".into(),
            ramp: Millis::from_secs(24),
        };
        let events = if self.lists.get() > 1 {
            vec![order]
        } else {
            Vec::new()
        };
        Box::pin(async {
            Ok(Listing {
                events,
                revision: 1,
            })
        })
    }

    fn watch(
        &self,
        _after: u64,
        _wait: Millis,
    ) -> LocalFuture<'_, Result<Listing, ControlPlaneError>> {
        Box::pin(async {
            actix_rt::time::sleep(GAP.duration()).await;
            Err(ControlPlaneError::HistoryLost)
        })
    }

    fn write_rollout(
        &self,
        write: RolloutWrite,
    ) -> LocalFuture<'_, Result<u64, ControlPlaneError>> {
        let start = write.start.map(|s| s.started_unix_ms);
        self.recorded_start.set(self.recorded_start.get().or(start));
        Box::pin(async { Ok(2) })
    }
}

/// A store whose first listing waits for a signal of the test.
struct HeldControl {
    go: Rc<Notify>,
    then: FixedControl,
}

impl ControlPlane for HeldControl {
    fn list(&self) -> LocalFuture<'_, Result<Listing, ControlPlaneError>> {
        Box::pin(async {
            self.go.notified().await;
            self.then.list().await
        })
    }

    fn watch(
        &self,
        after: u64,
        wait: Millis,
    ) -> LocalFuture<'_, Result<Listing, ControlPlaneError>> {
        self.then.watch(after, wait)
    }

    fn write_rollout(
        &self,
        write: RolloutWrite,
    ) -> LocalFuture<'_, Result<u64, ControlPlaneError>> {
        self.then.write_rollout(write)
    }
}

/// The platform may route clients to a process that has just started; they must not be refused.
#[test]
fn clients_wait_for_the_first_word_from_the_store() {
    actix_rt::System::new().block_on(async {
        let go = Rc::new(Notify::new());
        let gateway = start(HeldControl {
            go: Rc::clone(&go),
            then: FixedControl::open(vec![StoreEvent::Table(Rc::new(table()))]),
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

        go.notify_one();
        let answer = read_message(&mut stream)
            .await
            .expect("the gateway answers");

        assert_eq!(status(&answer), 404, "{answer}");
    });
}

/// All gateways decide at the same time; those that see another gateway's record must not write.
#[test]
fn a_write_is_withdrawn_if_another_gateway_was_first() {
    let mut rollouts = Rollouts::new(150);
    let (service, to): (Rc<str>, Rc<str>) = ("pool".into(), "v2".into());
    rollouts.order(&service, Rc::clone(&to), Millis::from_secs(24), Millis(0));
    let due = rollouts.due(Millis(10), Millis(10));

    let is_withdrawn_early = rollouts.withdraw(&due[0], Millis(20));
    rollouts.set_phase(&service, &to, Phase::Active, 7);
    let is_withdrawn = rollouts.withdraw(&due[0], Millis(20));

    assert!(!is_withdrawn_early && is_withdrawn);
    assert!(rollouts.due(Millis(20), Millis(20)).is_empty());
    let complete = rollouts.due(Millis::from_secs(24), Millis::from_secs(24));
    assert_eq!(complete.len(), 1);
    assert_eq!(
        (complete[0].phase, complete[0].revision),
        (Phase::Complete, 7)
    );
}

/// A version that is found to be bad just before its completion is written must not be completed.
#[test]
fn a_completion_is_withdrawn_if_the_version_is_found_bad() {
    let mut rollouts = Rollouts::new(150);
    let (service, to): (Rc<str>, Rc<str>) = ("pool".into(), "v2".into());
    let end = Millis::from_secs(24);
    rollouts.order(&service, Rc::clone(&to), end, Millis(0));
    rollouts.set_phase(&service, &to, Phase::Active, 7);
    let complete = rollouts.due(end, end);
    for _ in 0..10 {
        let rollout = rollouts.get_mut("pool").expect("the roll-out was ordered");
        rollout.observe("v2", KIND, Answer::Failed, end);
    }

    let is_withdrawn = rollouts.withdraw(&complete[0], end);

    assert!(is_withdrawn);
    assert_eq!(rollouts.due(end, end)[0].phase, Phase::Reverted);
}

/// The time of a roll-out runs from the order, not from the moment at which a gateway reads it.
#[test]
fn a_rollout_ordered_in_a_gap_starts_in_its_middle() {
    run_paused(async {
        let control = DeafControl::default();
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
