//! Periodic work of a gateway: stores the ledger and exports metrics.

use std::rc::Rc;

use actix_rt::time::sleep;

use super::shared::Shared;
use super::{engines, pooling, presence, rollouts};
use crate::ledger::write_checkpoint;
use crate::units::Millis;

/// Time between two steps of the periodic work.
const STEP: Millis = Millis(100);

/// Keeps the lease, steps roll-outs, orders engines and pools ratings until it is aborted.
///
/// Runs beside the ledger, so that a slow key-value service delays neither by more than one call.
pub(super) async fn run_duties(shared: Rc<Shared>) {
    loop {
        presence::step(&shared).await;
        rollouts::step(&shared).await;
        engines::step(&shared).await;
        pooling::step(&shared).await;
        sleep(STEP.duration()).await;
    }
}

/// Does the periodic work until it is aborted.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        flush(&shared).await;
        export(&shared);
        sleep(STEP.duration()).await;
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

/// Tells whether every closed request is in a checkpoint that the service confirmed.
pub(super) fn is_ledger_stored(shared: &Shared) -> bool {
    let ledger = shared.ledger.borrow();
    ledger.is_flushed()
}

fn export(shared: &Shared) {
    shared.metrics.calls(shared.kv.counts());
    let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
    let now = shared.clock.now();
    shared
        .metrics
        .value("usable_upstreams", count(shared.links.borrow().usable(now)));
    let revision = i64::try_from(shared.follower.revision()).unwrap_or(i64::MAX);
    shared.metrics.value("revision", revision);
}
