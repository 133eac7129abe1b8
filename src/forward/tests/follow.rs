//! Following the store across a gap.

use std::cell::Cell;
use std::rc::Rc;

use super::fixture::policy;
use crate::fixtures::run_paused;
use crate::forward::follow::{
    self, Control, ControlError, Listing, Notice, RolloutWrite, decide_rollouts,
};
use crate::forward::shared::Shared;
use crate::kv::LocalFuture;
use crate::units::Millis;

const GAP: Millis = Millis(2_000);

/// A store that is deaf for [`GAP`] and then has lost its history; an order for a roll-out came meanwhile.
#[derive(Default)]
struct DeafControl {
    lists: Cell<u32>,
    recorded_start: Rc<Cell<Option<u64>>>,
}

impl Control for DeafControl {
    fn list(&self) -> LocalFuture<'_, Result<Listing, ControlError>> {
        self.lists.set(self.lists.get() + 1);
        let order = Notice::RolloutOrder {
            service: "pool".into(),
            to: "v2".into(),
            ramp: Millis::from_secs(24),
        };
        let notices = if self.lists.get() > 1 {
            vec![order]
        } else {
            Vec::new()
        };
        Box::pin(async {
            Ok(Listing {
                notices,
                revision: 1,
            })
        })
    }

    fn watch(&self, _after: u64, _wait: Millis) -> LocalFuture<'_, Result<Listing, ControlError>> {
        Box::pin(async {
            actix_rt::time::sleep(GAP.duration()).await;
            Err(ControlError::HistoryLost)
        })
    }

    fn write_rollout(&self, write: RolloutWrite) -> LocalFuture<'_, Result<u64, ControlError>> {
        let start = write.start.map(|s| s.started_unix_ms);
        self.recorded_start.set(self.recorded_start.get().or(start));
        Box::pin(async { Ok(2) })
    }
}

/// A deadline runs from the order, not from the moment at which a gateway hears of it.
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
