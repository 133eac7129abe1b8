//! Computes a bill from the stored records of the ledger.

use super::keys::{Key, PREFIX};
use super::{Charge, Checkpoint, Intervals, OrphanPage, Totals};
use crate::idempotency::{RECORD_PREFIX, Record, RecordState};
use crate::ids::{Incarnation, RequestId};
use crate::kv::{KeyValue, KvError};

/// The union of all records of the ledger, with each request counted once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bill {
    /// Totals by account and product.
    pub totals: Totals,
    /// Number of requests whose outcome is known, charged or not.
    pub requests: u64,
    /// Requests that no record closes or charges, up to the highest known request of each gateway.
    ///
    /// They include requests that are still running at a live gateway.
    pub unknown: Vec<(Incarnation, Intervals)>,
    /// Records that could not be parsed and are not included in the totals.
    pub unreadable: Vec<UnreadableRecord>,
}

/// A record that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableRecord {
    /// Store key of the record.
    pub key: String,
    /// Why the record could not be parsed.
    pub why: String,
}

#[derive(Debug, Default)]
struct Records {
    checkpoints: Vec<Checkpoint>,
    charges: Vec<Charge>,
    unreadable: Vec<UnreadableRecord>,
}

impl Bill {
    /// Computes the bill from the records of the ledger, given as keys and values.
    #[must_use]
    pub fn union<K: AsRef<str>, V: AsRef<[u8]>>(entries: &[(K, V)]) -> Self {
        Self::union_with(entries, &[], &[])
    }

    /// Computes the bill from the records of the ledger and of keyed calls.
    ///
    /// `charges` are the charges of completed keyed calls, `intents` the requests of keyed calls without an
    /// outcome. The request of an intent is listed as unknown unless another record contains its outcome.
    #[must_use]
    pub fn union_with<K: AsRef<str>, V: AsRef<[u8]>>(
        entries: &[(K, V)],
        charges: &[Charge],
        intents: &[RequestId],
    ) -> Self {
        let mut records = Records::default();
        for (key, value) in entries {
            records.add(key.as_ref(), value.as_ref());
        }
        records.charges.extend_from_slice(charges);
        records.into_bill(intents)
    }
}

impl Records {
    fn add(&mut self, key: &str, value: &[u8]) {
        if let Err(why) = self.try_add(key, value) {
            let key = key.to_owned();
            self.unreadable.push(UnreadableRecord { key, why });
        }
    }

    fn try_add(&mut self, key: &str, value: &[u8]) -> Result<(), String> {
        match Key::parse(key) {
            Some(Key::Checkpoint(gateway)) => {
                let checkpoint: Checkpoint =
                    serde_json::from_slice(value).map_err(|error| error.to_string())?;
                if checkpoint.gateway != gateway {
                    return Err("the checkpoint belongs to another gateway".to_owned());
                }
                self.checkpoints.push(checkpoint);
            }
            Some(Key::Orphans { gateway, .. }) => {
                let page: OrphanPage =
                    serde_json::from_slice(value).map_err(|error| error.to_string())?;
                let belongs = |c: &Charge| c.request.gateway == gateway && c.request.seq > 0;
                if !page.charges.iter().all(belongs) {
                    return Err("a charge does not belong to a request of the gateway".to_owned());
                }
                self.charges.extend(page.charges);
            }
            None => return Err("the key is not a key of the ledger".to_owned()),
        }
        Ok(())
    }

    fn into_bill(mut self, intents: &[RequestId]) -> Bill {
        self.checkpoints.sort_by_key(|c| c.gateway);
        self.drop_replaced_charges();
        let mut bill = Bill {
            unreadable: self.unreadable,
            ..Bill::default()
        };
        for row in self.checkpoints.iter().flat_map(|c| c.totals.rows()) {
            bill.totals.add_row(row.clone());
        }
        for charge in &self.charges {
            bill.totals.add(charge);
        }
        let charged = self.charges.iter().map(|c| c.request);
        let mut known_requests: Vec<_> = charged.chain(intents.iter().copied()).collect();
        known_requests.sort_unstable();
        for gateway in all_gateways(&self.checkpoints, &known_requests) {
            let checkpoint = self.checkpoints.iter().find(|c| c.gateway == gateway);
            let mut closed_or_charged = checkpoint.map(|c| c.closed.clone()).unwrap_or_default();
            let of_gateway = self.charges.iter().filter(|c| c.request.gateway == gateway);
            for charge in of_gateway {
                closed_or_charged.insert(charge.request.seq);
            }
            let highest_known = known_requests.iter().rfind(|id| id.gateway == gateway);
            let highest = checkpoint
                .map_or(0, |c| c.opened)
                .max(closed_or_charged.last())
                .max(highest_known.map_or(0, |id| id.seq));
            bill.requests = bill.requests.saturating_add(closed_or_charged.count());
            let unknown = closed_or_charged.missing(highest);
            if unknown.count() > 0 {
                bill.unknown.push((gateway, unknown));
            }
        }
        bill
    }

    /// Keeps one charge per request that no checkpoint covers: the one with the highest step and attempt.
    fn drop_replaced_charges(&mut self) {
        let checkpoints = &self.checkpoints;
        self.charges.retain(|charge| {
            let id = charge.request;
            let of_gateway = checkpoints.binary_search_by_key(&id.gateway, |c| c.gateway);
            of_gateway.map_or(true, |at| !checkpoints[at].closed.contains(id.seq))
        });
        // The derived ordering compares request, step and attempt first.
        self.charges.sort_unstable_by(|a, b| b.cmp(a));
        self.charges.dedup_by_key(|charge| charge.request);
    }
}

fn all_gateways(checkpoints: &[Checkpoint], known_requests: &[RequestId]) -> Vec<Incarnation> {
    let from_checkpoints = checkpoints.iter().map(|c| c.gateway);
    let mut gateways: Vec<_> = from_checkpoints
        .chain(known_requests.iter().map(|id| id.gateway))
        .collect();
    gateways.sort_unstable();
    gateways.dedup();
    gateways
}

/// Reads the ledger and the records of keyed calls from the service and computes the bill.
///
/// # Errors
/// Returns [`KvError`] if a read failed.
pub async fn read_bill(kv: &dyn KeyValue) -> Result<Bill, KvError> {
    let entries = kv.list(PREFIX).await?;
    let entries: Vec<_> = entries
        .iter()
        .map(|entry| (entry.key.as_str(), entry.value.as_ref()))
        .collect();
    let (mut charges, mut intents, mut unreadable) = (Vec::new(), Vec::new(), Vec::new());
    for entry in kv.list(RECORD_PREFIX).await? {
        match parse_keyed_record(&entry.value) {
            Ok(KeyedRecord::Charged(charge)) => charges.push(charge),
            Ok(KeyedRecord::Intent(request)) => intents.push(request),
            Ok(KeyedRecord::Free) => {}
            Err(why) => unreadable.push(UnreadableRecord {
                key: entry.key,
                why,
            }),
        }
    }
    let mut bill = Bill::union_with(&entries, &charges, &intents);
    bill.unreadable.extend(unreadable);
    Ok(bill)
}

/// Contribution of a keyed call's record to a bill.
enum KeyedRecord {
    Charged(Charge),
    Intent(RequestId),
    Free,
}

fn parse_keyed_record(value: &[u8]) -> Result<KeyedRecord, String> {
    let record = Record::from_json(value).map_err(|error| error.to_string())?;
    match record.state {
        RecordState::Intent => Ok(KeyedRecord::Intent(record.by.request)),
        RecordState::NotRun => Ok(KeyedRecord::Free),
        RecordState::Done(outcome) if outcome.charge.is_null() => Ok(KeyedRecord::Free),
        RecordState::Done(outcome) => {
            let charge = serde_json::from_value(outcome.charge);
            charge
                .map(KeyedRecord::Charged)
                .map_err(|error| format!("charge: {error}"))
        }
    }
}
