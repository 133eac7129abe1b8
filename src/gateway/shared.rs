//! State shared by the parts of a gateway.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use super::engines::Engines;
use super::links::Links;
use super::presence::Presence;
use super::quality::Quality;
use super::rollouts::Rollouts;
use crate::clock::Clock;
use crate::follower::Follower;
use crate::ids::{DataCentre, Incarnation};
use crate::kv::KeyValue;
use crate::ledger::GatewayLedger;
use crate::limits::{Circuits, LimitTable, RetryBudget};
use crate::peer::PeerKey;
use crate::record::{Record, Ring};
use crate::session::SessionKeys;
use crate::settings;
use crate::suspect::{MAX_REPORTS, Suspects};
use crate::telemetry::Metrics;

/// Memory for the latest explanation records, in bytes.
const RECORD_RING_BYTES: usize = 8 << 20;

/// State of one gateway.
#[derive(Debug)]
pub(super) struct Shared {
    pub name: String,
    pub data_centre: DataCentre,
    pub incarnation: Incarnation,
    pub clock: Clock,
    pub kv: Rc<dyn KeyValue>,
    pub peer_key: PeerKey,
    pub follower: Follower,
    pub sessions: SessionKeys,
    pub ledger: RefCell<GatewayLedger>,
    pub links: RefCell<Links>,
    pub suspects: RefCell<Suspects>,
    pub quality: RefCell<Quality>,
    pub rating: Option<SocketAddr>,
    pub presence: RefCell<Presence>,
    pub rollouts: RefCell<Rollouts>,
    pub engines: RefCell<Engines>,
    pub vm_list: Option<SocketAddr>,
    pub limits: RefCell<LimitTable>,
    pub retries: RefCell<RetryBudget>,
    pub circuits: RefCell<Circuits>,
    pub records: RefCell<Ring>,
    pub stopping: Cell<bool>,
    pub metrics: Metrics,
}

impl Shared {
    pub fn open(
        cfg: &settings::Gateway,
        kv: Rc<dyn KeyValue>,
        peer_key: PeerKey,
        sessions: SessionKeys,
    ) -> Rc<Self> {
        let incarnation = Incarnation::random();
        let clock = Clock::start();
        Rc::new(Self {
            name: cfg.name.clone(),
            data_centre: cfg.data_centre.clone(),
            incarnation,
            clock,
            follower: Follower::open(&cfg.name, Rc::clone(&kv), clock, crate::ids::random_u64()),
            kv,
            peer_key,
            sessions,
            ledger: RefCell::new(GatewayLedger::new(incarnation)),
            links: RefCell::default(),
            suspects: RefCell::new(Suspects::new(MAX_REPORTS)),
            quality: RefCell::new(Quality::new(incarnation)),
            rating: cfg.rating,
            presence: RefCell::default(),
            rollouts: RefCell::default(),
            engines: RefCell::default(),
            vm_list: cfg.vm_list,
            limits: RefCell::new(LimitTable::new(1)),
            retries: RefCell::default(),
            circuits: RefCell::default(),
            records: RefCell::new(Ring::new(RECORD_RING_BYTES)),
            stopping: Cell::new(false),
            metrics: Metrics::open(),
        })
    }

    /// Stores a record in the ring and writes it to the log.
    pub fn save_record(&self, record: &Record) {
        let json = self.records.borrow_mut().push(record);
        log::info!(
            event = "request",
            id:% = record.request,
            account = record.account.as_str(),
            outcome = record.outcome.as_str(),
            ms = record.duration.0,
            record = String::from_utf8_lossy(&json).as_ref();
            ""
        );
    }
}
