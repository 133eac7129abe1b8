//! Pools the pass rates of all gateways through the key-value service.
//!
//! Counts only grow and are merged by their maximum, so an old, repeated or missing report does no harm.

use super::shared::Shared;
use crate::kv::{Change, KvError};
use crate::rating::Row;
use crate::units::Millis;

/// Time between two exchanges; an estimate of this age still has most of its evidence.
const EXCHANGE_INTERVAL: Millis = Millis::from_secs(30);

/// Key prefix of the reports, followed by the gateway's incarnation.
const REPORT_PREFIX: &str = "/fireflywind/ratings/";

/// Exchanges pass rates if an exchange is due.
pub(super) async fn step(shared: &Shared) {
    let now = shared.clock.now();
    if now < shared.quality.borrow().next_exchange {
        return;
    }
    shared.quality.borrow_mut().next_exchange = now + EXCHANGE_INTERVAL;
    if let Err(error) = exchange(shared).await {
        log::debug!(event = "rating_exchange_failed", error:% = error; "");
    }
}

async fn exchange(shared: &Shared) -> Result<(), KvError> {
    let lease = shared.presence.borrow().lease();
    let report = shared.quality.borrow().table.report();
    // Without a lease, the report would never expire after its gateway has stopped.
    if let Some(lease) = lease
        && !report.is_empty()
    {
        let key = format!("{REPORT_PREFIX}{}", shared.incarnation);
        let value = serde_json::to_vec(&report).unwrap_or_default().into();
        let put = Change::Put {
            key,
            value,
            lease: Some(lease),
        };
        shared.kv.txn(Vec::new(), vec![put]).await?;
    }
    let now = shared.clock.unix();
    for entry in shared.kv.list(REPORT_PREFIX).await? {
        match serde_json::from_slice::<Vec<Row>>(&entry.value) {
            Ok(rows) => shared.quality.borrow_mut().table.merge(&rows, now),
            Err(error) => {
                let key = entry.key.as_str();
                log::warn!(event = "rating_report_malformed", key, error:% = error; "");
            }
        }
    }
    Ok(())
}
