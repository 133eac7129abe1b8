//! State that the modules of an agent share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::admission;
use super::answers::Answers;
use super::leases::RecordLease;
use super::orders::Orders;
use super::slots::Slots;
use crate::clock::Clock;
use crate::follower::{Follower, InForce};
use crate::idempotency::{RECORD_CACHE_BYTES, RecordCache};
use crate::ids::{DataCentre, Incarnation, UpstreamId};
use crate::kv::KeyValue;
use crate::ledger::HeldCharges;
use crate::peer::RunRequest;
use crate::refusal::Refusal;
use crate::settings;
use crate::suspect::{self, MAX_REPORTS, Suspects};
use crate::telemetry::Metrics;
use crate::units::Millis;
use crate::upstream::Timeouts;
use crate::upstream::engine::EngineClient;
use crate::upstream::service::ServiceClient;

/// Client of the agent's upstream.
#[derive(Debug)]
pub(super) enum Client {
    Engine(EngineClient),
    Service(ServiceClient),
}

/// State of one agent.
#[derive(Debug)]
pub(super) struct Shared {
    pub upstream: UpstreamId,
    pub data_centre: DataCentre,
    pub incarnation: Incarnation,
    pub clock: Clock,
    pub kv: Rc<dyn KeyValue>,
    pub follower: Follower,
    pub client: Client,
    pub answers: RefCell<Answers>,
    pub held_charges: RefCell<HeldCharges>,
    pub record_cache: RefCell<RecordCache>,
    pub suspects: RefCell<suspect::CrashAdmission>,
    /// Notified when a run ends; wakes requests that wait for another suspect to finish.
    pub run_ended: tokio::sync::Notify,
    pub orders: RefCell<Option<Orders>>,
    pub slots: Rc<Slots>,
    /// Requests that run or wait for a slot.
    pub running: Cell<u32>,
    pub record_lease: Cell<Option<RecordLease>>,
    /// Sequence number of the last keyed call.
    pub last_keyed_call: Cell<u64>,
    /// Keyed calls whose outcome is not stored yet.
    pub outcome_writes: Cell<u32>,
    pub leaving: Cell<bool>,
    /// Time of the last step of the periodic work.
    pub last_step: Cell<Millis>,
    /// Time at which a stall was detected; `None` once the sheet is confirmed.
    pub stall_detected_at: Cell<Option<Millis>>,
    /// Whether the engine answers; `false` from a crash until the engine answers again.
    pub engine_up: Cell<bool>,
    pub metrics: Metrics,
}

impl Shared {
    pub fn open(cfg: &settings::Agent, kv: Rc<dyn KeyValue>) -> Rc<Self> {
        let incarnation = Incarnation::random();
        let clock = Clock::start();
        let timeouts = Timeouts::default();
        let client = match cfg.kind {
            settings::AgentKind::Engine => {
                Client::Engine(EngineClient::new(cfg.upstream_addr, timeouts))
            }
            settings::AgentKind::Service => {
                Client::Service(ServiceClient::new(cfg.upstream_addr, timeouts))
            }
        };
        let name = cfg.upstream.as_str();
        Rc::new(Self {
            upstream: cfg.upstream.clone(),
            data_centre: cfg.data_centre.clone(),
            incarnation,
            clock,
            follower: Follower::open(name, Rc::clone(&kv), clock, crate::ids::random_u64()),
            kv,
            client,
            answers: RefCell::default(),
            held_charges: RefCell::new(HeldCharges::new(incarnation)),
            record_cache: RefCell::new(RecordCache::new(RECORD_CACHE_BYTES)),
            suspects: RefCell::new(suspect::CrashAdmission::new(
                incarnation,
                Suspects::new(MAX_REPORTS),
            )),
            run_ended: tokio::sync::Notify::new(),
            orders: RefCell::default(),
            slots: Slots::new(clock),
            running: Cell::new(0),
            record_lease: Cell::new(None),
            last_keyed_call: Cell::new(0),
            outcome_writes: Cell::new(0),
            leaving: Cell::new(false),
            last_step: Cell::new(clock.now()),
            stall_detected_at: Cell::new(None),
            engine_up: Cell::new(true),
            metrics: Metrics::open(),
        })
    }
}

impl Shared {
    /// Repeats admission for a request that waited for a slot, if the sheet in force has changed since.
    ///
    /// # Errors
    /// The [`Refusal`] of a request that the current sheet does not allow; it has not run.
    pub fn recheck_admission(&self, admitted: &InForce, req: &RunRequest) -> Result<(), Refusal> {
        match self.follower.in_force() {
            Some(current) if current.revision != admitted.revision => {
                admission::admit(&current.sheet, &self.upstream, req).map(drop)
            }
            _ => Ok(()),
        }
    }
}
