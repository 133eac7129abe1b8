//! Periodic tasks of a gateway: one stores the ledger and exports metrics, the other runs the rest.

use std::rc::Rc;

use actix_rt::time::sleep;

use super::shared::Shared;
use super::{engines, pooling, presence, rollouts};
use crate::ledger::write_checkpoint;
use crate::units::Millis;

/// Pause between two rounds of a periodic task.
const ROUND_INTERVAL: Millis = Millis(100);

/// Renews the lease, advances roll-outs, sends engine orders and pools ratings until the task is aborted.
///
/// Runs concurrently with the ledger task, so that a slow key-value service delays neither by more than one
/// call.
pub(super) async fn run_duties(shared: Rc<Shared>) {
    loop {
        presence::step(&shared).await;
        rollouts::step(&shared).await;
        engines::step(&shared).await;
        pooling::step(&shared).await;
        sleep(ROUND_INTERVAL.duration()).await;
    }
}

/// Stores the ledger and exports metrics until the task is aborted.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        flush(&shared).await;
        export(&shared);
        sleep(ROUND_INTERVAL.duration()).await;
    }
}

async fn flush(shared: &Shared) {
    let now = shared.clock.now();
    let due = shared.ledger.borrow_mut().flush(now);
    let Some(checkpoint) = due else {
        return;
    };
    let stored = shared.ledger.borrow().stored();
    let result = write_checkpoint(&*shared.kv, &checkpoint, stored).await;
    let now = shared.clock.now();
    shared
        .ledger
        .borrow_mut()
        .on_flushed(checkpoint.number, result, now);
}

/// Returns whether every closed request is in a checkpoint that the key-value service has confirmed.
pub(super) fn is_ledger_stored(shared: &Shared) -> bool {
    let ledger = shared.ledger.borrow();
    ledger.is_flushed()
}

fn export(shared: &Shared) {
    shared.metrics.set_call_counts(shared.kv.counts());
    let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
    let now = shared.clock.now();
    shared.metrics.set_gauge(
        "usable_upstreams",
        count(shared.links.borrow().usable_count(now)),
    );
    let revision = i64::try_from(shared.follower.revision()).unwrap_or(i64::MAX);
    shared.metrics.set_gauge("revision", revision);
}
