//! The agent's part of the ledger: copies of charges.

use serde::{Deserialize, Serialize};

use super::keys::Key;
use super::{Charge, Flushed, backoff};
use crate::ids::Incarnation;
use crate::kv::{Change, Compare, KeyValue, KvError, MAX_VALUE_BYTES, TxnOutcome};
use crate::units::Millis;

/// Time without a heartbeat after which a gateway is considered gone.
pub const GATEWAY_SILENCE_TIMEOUT: Millis = Millis::from_secs(30);
/// Age after which a copy is written as an orphan although its gateway is alive.
///
/// It is longer than the deadline of any request. The gateway never receives the charge if the response was
/// lost and the caller has disconnected.
pub const MAX_COPY_AGE: Millis = Millis::from_secs(600);
/// Period over which agents spread their writes when a gateway is gone; about 310 agents are connected to each
/// gateway.
pub const ORPHAN_WRITE_SPREAD: Millis = Millis::from_secs(5);
/// Maximum number of copies that an agent holds: 25 MB, or 3 hours of an agent's share of the peak load.
pub const MAX_HELD_COPIES: usize = 100_000;
/// Maximum size of the charges in one page of orphans, in bytes.
pub const MAX_PAGE_BYTES: usize = 500_000;

// The other fields of a page, two incarnations and a number, take less than 1,000 bytes.
const _: () = assert!(MAX_PAGE_BYTES + 1_000 < MAX_VALUE_BYTES);

/// A page of copies to write; its content never changes once a page number is assigned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrphanPage {
    /// The gateway that accepted the requests.
    pub gateway: Incarnation,
    /// The agent that holds the copies.
    pub agent: Incarnation,
    /// Number of the page, unique among the pages of the agent.
    pub page: u64,
    /// The copies.
    pub charges: Vec<Charge>,
}

/// An action that the agent performs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeldEffect {
    /// Write the page with [`write_orphans`] and report the result.
    WriteOrphans(OrphanPage),
}

/// Result of the write of a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PageResult {
    /// The page is stored in the service, by this write or an earlier one.
    Stored,
    /// The page may not be stored in the service.
    Failed,
}

#[derive(Debug)]
struct GatewayEntry {
    gateway: Incarnation,
    last_heartbeat_at: Millis,
    is_vm_gone: bool,
    /// Copies and the time since which each is held, sorted by request; at most one per request.
    copies: Vec<(Charge, Millis)>,
    /// Copies to write as orphans: the gateway is gone or did not flush them within [`MAX_COPY_AGE`], or the agent
    /// is stopping.
    orphans: Vec<Charge>,
    page: Option<OrphanPage>,
    in_flight: bool,
    failures: u32,
    retry_at: Millis,
}

/// The copies of charges that an agent holds until a checkpoint covers them.
///
/// No copy is ever evicted to make room. The limit of [`MAX_HELD_COPIES`] is enforced at admission: an agent
/// without room refuses new requests as not run.
#[derive(Debug)]
pub struct HeldCharges {
    agent: Incarnation,
    gateways: Vec<GatewayEntry>,
    /// Number of the next page; never reused, because pages are written create-only.
    next_page: u64,
    stopping: bool,
}

impl HeldCharges {
    /// Creates an empty set of copies.
    #[must_use]
    pub const fn new(agent: Incarnation) -> Self {
        Self {
            agent,
            gateways: Vec::new(),
            next_page: 0,
            stopping: false,
        }
    }

    /// Returns the number of copies, including those in an unfinished page write.
    #[must_use]
    pub fn len(&self) -> usize {
        self.gateways
            .iter()
            .map(|entry| {
                let in_page = entry.page.as_ref().map_or(0, |page| page.charges.len());
                entry.copies.len() + entry.orphans.len() + in_page
            })
            .sum()
    }

    /// Returns whether no copies are held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether the agent may admit a request in addition to the `running` ones.
    #[must_use]
    pub fn has_room(&self, running: usize) -> bool {
        self.len() + running < MAX_HELD_COPIES
    }

    /// Adds a copy of a charge; of two copies for a request, keeps the one with the higher step and attempt.
    pub fn hold(&mut self, charge: Charge, now: Millis) {
        let entry = self.entry_mut(charge.request.gateway, now);
        match entry
            .copies
            .binary_search_by_key(&charge.request, |(copy, _)| copy.request)
        {
            Ok(at) if entry.copies[at].0.rank() >= charge.rank() => {}
            Ok(at) => entry.copies[at] = (charge, now),
            Err(at) => entry.copies.insert(at, (charge, now)),
        }
    }

    /// Records a heartbeat of a gateway.
    pub fn record_heartbeat(&mut self, gateway: Incarnation, now: Millis) {
        let entry = self.entry_mut(gateway, now);
        entry.last_heartbeat_at = entry.last_heartbeat_at.max(now);
        entry.is_vm_gone = false;
    }

    /// Records that the gateway's VM is gone according to the VM list.
    pub fn record_vm_gone(&mut self, gateway: Incarnation, now: Millis) {
        self.entry_mut(gateway, now).is_vm_gone = true;
    }

    /// Drops the copies that the gateway reports as flushed; the report also counts as a heartbeat.
    pub fn release(&mut self, gateway: Incarnation, flushed: &Flushed, now: Millis) {
        self.record_heartbeat(gateway, now);
        let entry = self.entry_mut(gateway, now);
        let covered = |charge: &Charge| flushed.closed.contains(charge.request.seq);
        entry.orphans.retain(|copy| !covered(copy));
        entry.copies.retain(|(copy, _)| !covered(copy));
        // A copy above `opened` waits for the end of an outage instead: no confirmed checkpoint could cover it.
        let is_overdue = |(copy, since): &mut (Charge, Millis)| {
            now.since(*since) >= MAX_COPY_AGE && copy.request.seq <= flushed.opened
        };
        let orphans = entry.copies.extract_if(.., is_overdue);
        entry.orphans.extend(orphans.map(|(copy, _)| copy));
    }

    /// Starts writing all copies as orphans, for a planned stop.
    pub const fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns the writes that are due: pages of copies whose gateway is gone or did not flush them.
    pub fn step(&mut self, now: Millis) -> Vec<HeldEffect> {
        let write_delay = self.write_delay();
        let mut effects = Vec::new();
        for entry in &mut self.gateways {
            if entry.must_write_all(now, write_delay, self.stopping) {
                let copies = entry.copies.drain(..).map(|(copy, _)| copy);
                entry.orphans.extend(copies);
            }
            if entry.page.is_none() {
                entry.page = entry.build_page(self.agent, self.next_page);
                self.next_page += u64::from(entry.page.is_some());
            }
            if entry.in_flight || now < entry.retry_at {
                continue;
            }
            // A numbered page is written even if its gateway is alive again.
            if let Some(page) = &entry.page {
                entry.in_flight = true;
                effects.push(HeldEffect::WriteOrphans(page.clone()));
            }
        }
        let stopping = self.stopping;
        self.gateways.retain(|entry| {
            !(entry.has_no_copies() && entry.must_write_all(now, write_delay, stopping))
        });
        effects
    }

    /// Handles the result of the write of a page.
    pub fn on_written(&mut self, gateway: Incarnation, page: u64, result: PageResult, now: Millis) {
        let entry = self.entry_mut(gateway, now);
        if entry.page.as_ref().map(|p| p.page) != Some(page) {
            return;
        }
        entry.in_flight = false;
        match result {
            PageResult::Stored => {
                entry.page = None;
                entry.failures = 0;
                entry.retry_at = now;
            }
            PageResult::Failed => {
                entry.failures = entry.failures.saturating_add(1);
                entry.retry_at = now + backoff(entry.failures);
            }
        }
    }

    fn entry_mut(&mut self, gateway: Incarnation, now: Millis) -> &mut GatewayEntry {
        let at = match self
            .gateways
            .binary_search_by_key(&gateway, |entry| entry.gateway)
        {
            Ok(at) => at,
            Err(at) => {
                self.gateways.insert(at, GatewayEntry::new(gateway, now));
                at
            }
        };
        &mut self.gateways[at]
    }

    /// Returns this agent's delay, between 0 and [`ORPHAN_WRITE_SPREAD`].
    fn write_delay(&self) -> Millis {
        let delay = self.agent.0 % u128::from(ORPHAN_WRITE_SPREAD.0);
        Millis(u64::try_from(delay).unwrap_or(0))
    }
}

impl GatewayEntry {
    const fn new(gateway: Incarnation, now: Millis) -> Self {
        Self {
            gateway,
            last_heartbeat_at: now,
            is_vm_gone: false,
            copies: Vec::new(),
            orphans: Vec::new(),
            page: None,
            in_flight: false,
            failures: 0,
            retry_at: Millis(0),
        }
    }

    fn must_write_all(&self, now: Millis, write_delay: Millis, stopping: bool) -> bool {
        let silent = now.since(self.last_heartbeat_at) >= GATEWAY_SILENCE_TIMEOUT + write_delay;
        stopping || self.is_vm_gone || silent
    }

    const fn has_no_copies(&self) -> bool {
        self.copies.is_empty() && self.orphans.is_empty() && self.page.is_none()
    }

    /// Moves as many copies from `orphans` as fit into a new page; `None` if there are none.
    fn build_page(&mut self, agent: Incarnation, page: u64) -> Option<OrphanPage> {
        let mut bytes = 0;
        let fitting = self.orphans.iter().take_while(|copy| {
            bytes += serde_json::to_vec(copy).map_or(0, |json| json.len() + 1);
            bytes <= MAX_PAGE_BYTES
        });
        let count = fitting.count();
        let charges: Vec<_> = self.orphans.drain(..count).collect();
        (!charges.is_empty()).then_some(OrphanPage {
            gateway: self.gateway,
            agent,
            page,
            charges,
        })
    }
}

impl OrphanPage {
    /// Returns the store key of the page.
    #[must_use]
    pub fn key(&self) -> String {
        Key::Orphans {
            gateway: self.gateway,
            agent: self.agent,
            page: self.page,
        }
        .to_string()
    }

    /// Returns the create-only write of the page; a conflict means that an earlier write was applied.
    ///
    /// # Panics
    /// Never: all fields have a JSON form.
    #[must_use]
    pub fn transaction(&self) -> (Vec<Compare>, Vec<Change>) {
        let key = self.key();
        let value = serde_json::to_vec(self).expect("a page has a JSON form");
        (
            vec![Compare::Absent(key.clone())],
            vec![Change::put(key, value)],
        )
    }
}

/// Writes a page of orphans.
pub async fn write_orphans(kv: &dyn KeyValue, page: &OrphanPage) -> PageResult {
    let (conditions, changes) = page.transaction();
    let outcome: Result<TxnOutcome, KvError> = kv.txn(conditions, changes).await;
    match outcome {
        Ok(TxnOutcome::Applied(_) | TxnOutcome::Conflict) => PageResult::Stored,
        Err(_) => PageResult::Failed,
    }
}
