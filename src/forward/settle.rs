//! Records that a new history of the store is settled, for gateways that start later.
//!
//! A gateway that starts cannot tell an older copy from the store's newest state. It waits until the history is settled, unless
//! a record says that it is.

use std::rc::Rc;

use actix_rt::time::sleep;

use crate::units::Millis;

use super::shared::Shared;

/// Interval of the checks whether the record is due, and the pause after a failed write.
const CHECK_INTERVAL: Millis = Millis(500);

/// Time over which gateways spread the record, for each of them: one write is enough, and the others need about half a second to
/// read it.
const SPREAD_PER_GATEWAY: Millis = Millis(100);

/// Records settled eras until the task is dropped.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        sleep(CHECK_INTERVAL.duration()).await;
        if !is_due(&shared) {
            continue;
        }
        let gateways = shared.gateways(shared.clock.now());
        let pause = Millis(shared.draw() % (SPREAD_PER_GATEWAY.0 * gateways));
        sleep(pause.duration()).await;
        let Some(era) = shared.history.borrow().era().filter(|_| is_due(&shared)) else {
            continue;
        };
        let sent_at = shared.clock.now();
        let answer = shared.control.write_settled(era).await;
        shared.observe_era(answer.era, sent_at);
        match answer.result {
            Ok(revision) if answer.era == Some(era) => {
                log::info!(event = "store_settled", era:% = era; "");
                shared.history.borrow_mut().record_settled(era, revision);
            }
            // A later history that has taken the write in has yet to settle.
            Ok(_) => {}
            Err(error) => {
                log::info!(event = "store_settled_unrecorded", era:% = era, error:% = error; "");
            }
        }
    }
}

/// Returns whether the present history is settled, has the configuration in force, and is not yet recorded as settled.
fn is_due(shared: &Shared) -> bool {
    let history = shared.history.borrow();
    let version = shared.table.borrow().version;
    history.needs_settled_record(shared.clock.now()) && version > 0 && history.has_config(version)
}
