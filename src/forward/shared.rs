//! State that is shared by all connections of a gateway.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::clock::Clock;
use crate::ids;
use crate::router::admission::Admission;
use crate::router::answer_times::AnswerTimes;
use crate::router::cascade::Cascade;
use crate::router::cold::{ColdBound, ColdUpstreams};
use crate::router::demand::{Demand, ModelClass};
use crate::router::departures::Departures;
use crate::router::evacuations::Evacuations;
use crate::router::fleet::{Fleet, OutageTracker, Upstream};
use crate::router::freshness::Freshness;
use crate::router::health::{HealthTable, MAX_REPORT_AGE};
use crate::router::history::History;
use crate::router::homes::Regions;
use crate::router::lateness::Lateness;
use crate::router::named_limits::{LimitChange, NamedLimits, Sharing};
use crate::router::pace::Paces;
use crate::router::pauses::Pauses;
use crate::router::retry::{RetryBounds, RetryBudget};
use crate::router::sessions::Sessions;
use crate::router::sizes::SizeMix;
use crate::router::table::RouteTable;
use crate::suspect::{Evidence, Exposures};
use crate::telemetry::metrics::Metrics;
use crate::units::Millis;

use super::follow::ControlPlane;
use super::memory::Memory;
use super::pool::Pool;
use super::rollouts::Rollouts;

/// Time for which a reported number of gateways counts; gateways renew their subscriptions every second.
const GATEWAY_COUNT_LIFETIME: Millis = Millis::from_secs(5);

/// Number of gateways that share the slack of the retry budget as long as no load report names more, and the limits of
/// upstreams as long as no load report names any.
const MIN_GATEWAYS_SHARING_BUDGET: u64 = 32;

/// Part of the process's memory that holds what clients send.
const REQUEST_MEMORY_DIVISOR: usize = 3;

/// Part of the process's memory that holds what upstreams send.
const ANSWER_MEMORY_DIVISOR: usize = 8;

/// Settings of a gateway that its routing decisions depend on.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Name of the gateway.
    pub name: Rc<str>,
    /// Data centre of the gateway.
    pub data_centre: Rc<str>,
    /// Memory of the process, in bytes.
    pub memory: usize,
    /// Bounds of the retry budget.
    pub retries: RetryBounds,
    /// Longest time for which a revoked API key may still be accepted.
    pub key_revocation: Option<Millis>,
    /// Share of a service's requests that may reach a bad version, in permille.
    pub exposure_permille: u64,
    /// Time after which two requests of a session no longer belong together.
    pub session_idle_timeout: Millis,
    /// Time from the stop request until the process is killed.
    pub stop_grace: Millis,
    /// Time within which the gateway's view must be current again after its store connections have gone silent.
    pub catch_up: Millis,
    /// Interval in which upstreams renew their entries in the store.
    pub heartbeat: Millis,
    /// Time within which a change in the store must be in force.
    pub change_bound: Millis,
    /// Longest time after the start for which clients wait for the first listing of the store.
    pub startup_wait: Millis,
    /// Bound on the requests that cold upstreams get.
    pub cold: Option<ColdBound>,
    /// Region of each data centre.
    pub regions: Rc<Regions>,
    /// Whether requests that have time wait at the gateway while the upstreams are short of room.
    pub orders_under_shortage: bool,
}

/// A planned stop. Times are of the gateway's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Stop {
    /// When it was requested.
    pub(super) requested_at: Millis,
    /// When requests that are still unanswered get an answer from this gateway, shortly before the process ends.
    pub(super) answers_at: Millis,
}

/// Time after the stop request from which a request is only taken if its deadline is before the end. Those that were
/// taken earlier have most of the grace.
const LATE_IN_STOP: Millis = Millis(3_000);

/// State of a gateway.
pub struct Shared {
    /// Settings in force.
    pub policy: RefCell<Rc<Policy>>,
    /// Clock of the runtime, with the Unix time.
    pub clock: Clock,
    /// Start of the process by the clock of the VM.
    pub(super) started_unix: Millis,
    /// Client of the platform's store.
    pub control: Box<dyn ControlPlane>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Configuration in force.
    pub table: RefCell<Rc<RouteTable>>,
    /// A configuration that was read from a history that is not settled, at a gateway that has no other.
    offered_table: RefCell<Option<Rc<RouteTable>>>,
    /// Registered upstreams.
    pub fleet: RefCell<Fleet>,
    /// Observed health and load of upstreams.
    pub health: RefCell<HealthTable>,
    /// Version groups that recent sessions were routed to.
    pub sessions: RefCell<Sessions>,
    /// Escalation between models, by route.
    pub cascades: RefCell<Vec<(Rc<str>, Cascade)>>,
    /// Distribution of prompt sizes, by which upstreams of larger models are divided.
    pub sizes: RefCell<SizeMix>,
    /// Idle connections to upstreams.
    pub pool: RefCell<Pool>,
    /// Roll-outs by service.
    pub rollouts: RefCell<Rollouts>,
    /// Age of the configuration with its API keys.
    pub freshness: RefCell<Freshness>,
    /// History of the store that the view belongs to.
    pub(crate) history: RefCell<History>,
    /// Data centres that operators have evacuated.
    pub(crate) evacuations: RefCell<Evacuations>,
    /// Outages of the store, to distinguish expired registrations from removed ones.
    pub outage_tracker: RefCell<OutageTracker>,
    /// Upstreams that leave, with the requests sent to them since.
    pub departures: RefCell<Departures>,
    /// Whether the store was listed at least once.
    pub is_loaded: Cell<bool>,
    /// Notified when a response of the store was applied.
    pub loaded: Notify,
    /// Whether a stop was requested.
    pub is_stopping: Cell<bool>,
    /// The planned end of this gateway, once a stop was requested.
    pub(super) stop: Cell<Option<Stop>>,
    /// Notified when a stop was requested.
    pub(super) stop_requested: Notify,
    /// Notified when a stopping gateway is to accept no more connections.
    pub stop_accepting: Notify,
    /// Closes client connections that carry no request, near the end of a stop.
    pub close_idle: Notify,
    /// Whether idle client connections are being closed.
    pub is_closing_idle: Cell<bool>,
    /// Client connections that are open.
    pub open_connections: Cell<usize>,
    /// Memory for what clients send.
    pub(super) request_memory: Rc<Memory>,
    /// Memory for what upstreams send.
    pub(super) answer_memory: Rc<Memory>,
    /// Limits that upstreams name.
    pub(crate) named_limits: RefCell<NamedLimits>,
    /// Upstreams that are or may be cold.
    pub(crate) cold: RefCell<ColdUpstreams>,
    /// Paces of upstreams that have just started or recovered.
    pub(super) paces: RefCell<Paces>,
    /// Pauses that upstreams ask for.
    pub(crate) pauses: RefCell<Pauses>,
    /// Runs of this gateway at upstreams, in flight and recently ended.
    pub(super) exposures: RefCell<Exposures>,
    /// What is known of crashes of upstreams.
    pub(super) evidence: RefCell<Evidence>,
    /// Notified when there is new evidence.
    pub(super) evidence_changed: Notify,
    /// Upstream processes that are being checked for a crash, by id and boot.
    pub(super) crash_checks: RefCell<Vec<(Rc<str>, u64)>>,
    /// Requests that are being served.
    pub in_flight: Cell<usize>,
    budgets: RefCell<Vec<(Rc<str>, RetryBudget)>>,
    lateness: RefCell<Vec<(Rc<str>, Lateness)>>,
    demands: RefCell<Vec<(Rc<str>, Demand)>>,
    answer_times: RefCell<Vec<(Rc<str>, AnswerTimes)>>,
    /// Admission by service, for the smallest and for the larger models.
    admissions: RefCell<Vec<(Rc<str>, [Admission; 2])>>,
    /// Number of gateways that the last load report names, and when it arrived.
    reported_gateways: Cell<(u16, Millis)>,
    /// Highest number of gateways that load reports of the last seconds name, and when it was named last.
    most_gateways: Cell<(u16, Millis)>,
    random: Cell<u64>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("policy", &self.policy)
            .finish_non_exhaustive()
    }
}

impl Shared {
    /// Creates the state, without a configuration and upstreams.
    #[must_use]
    pub fn open(policy: Policy, control: Box<dyn ControlPlane>) -> Rc<Self> {
        Self::open_seeded(policy, control, ids::random_u64())
    }

    /// Creates the state of a gateway whose jitter follows from a seed.
    #[must_use]
    pub fn open_seeded(policy: Policy, control: Box<dyn ControlPlane>, seed: u64) -> Rc<Self> {
        let freshness = Freshness::new(policy.key_revocation, policy.catch_up);
        let outage_tracker = OutageTracker::new(policy.heartbeat, policy.catch_up);
        let rollouts = Rollouts::new(policy.exposure_permille);
        let request_memory = Memory::open(policy.memory / REQUEST_MEMORY_DIVISOR);
        let answer_memory = Memory::open(policy.memory / ANSWER_MEMORY_DIVISOR);
        let clock = Clock::start();
        let evidence = Evidence::new(Rc::clone(&policy.name), clock.unix());
        Rc::new(Self {
            policy: RefCell::new(Rc::new(policy)),
            started_unix: clock.unix(),
            clock,
            control,
            metrics: Metrics::open(),
            table: RefCell::default(),
            offered_table: RefCell::default(),
            fleet: RefCell::default(),
            health: RefCell::default(),
            sessions: RefCell::default(),
            cascades: RefCell::default(),
            sizes: RefCell::default(),
            pool: RefCell::default(),
            rollouts: RefCell::new(rollouts),
            freshness: RefCell::new(freshness),
            history: RefCell::default(),
            evacuations: RefCell::default(),
            outage_tracker: RefCell::new(outage_tracker),
            departures: RefCell::default(),
            is_loaded: Cell::default(),
            loaded: Notify::new(),
            is_stopping: Cell::default(),
            stop: Cell::default(),
            stop_requested: Notify::new(),
            stop_accepting: Notify::new(),
            close_idle: Notify::new(),
            is_closing_idle: Cell::default(),
            open_connections: Cell::default(),
            request_memory,
            answer_memory,
            named_limits: RefCell::default(),
            cold: RefCell::default(),
            paces: RefCell::default(),
            pauses: RefCell::default(),
            exposures: RefCell::default(),
            evidence: RefCell::new(evidence),
            evidence_changed: Notify::new(),
            crash_checks: RefCell::default(),
            in_flight: Cell::default(),
            budgets: RefCell::default(),
            lateness: RefCell::default(),
            demands: RefCell::default(),
            answer_times: RefCell::default(),
            admissions: RefCell::default(),
            reported_gateways: Cell::default(),
            most_gateways: Cell::default(),
            random: Cell::new(seed),
        })
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn policy(&self) -> Rc<Policy> {
        Rc::clone(&self.policy.borrow())
    }

    /// Puts changed settings into force.
    pub fn set_policy(&self, policy: Policy) {
        (self.freshness.borrow_mut()).set_bounds(policy.key_revocation, policy.catch_up);
        (self.outage_tracker.borrow_mut()).set_bounds(policy.heartbeat, policy.catch_up);
        for (_, budget) in self.budgets.borrow_mut().iter_mut() {
            budget.set_bounds(policy.retries);
        }
        (self.request_memory).set_limit(policy.memory / REQUEST_MEMORY_DIVISOR);
        (self.answer_memory).set_limit(policy.memory / ANSWER_MEMORY_DIVISOR);
        (self.rollouts.borrow_mut()).set_exposure(policy.exposure_permille);
        *self.policy.borrow_mut() = Rc::new(policy);
    }

    /// Returns whether a request with this deadline comes too late in a stop to be finished for sure.
    #[must_use]
    pub(super) fn is_too_late(&self, deadline: Millis) -> bool {
        let now = self.clock.now();
        self.stop.get().is_some_and(|stop| {
            let is_late = now.since(stop.requested_at) >= LATE_IN_STOP || now >= stop.answers_at;
            is_late && deadline > stop.answers_at
        })
    }

    /// Waits until requests that are unanswered in a stop get an answer from this gateway.
    pub(super) async fn end_of_stop(&self) {
        loop {
            if let Some(stop) = self.stop.get() {
                let left = stop.answers_at.since(self.clock.now());
                actix_rt::time::sleep(left.duration()).await;
                return;
            }
            self.stop_requested.notified().await;
        }
    }

    /// Returns whether an answer announces that its connection is closed; `keep_alive` is whether the client
    /// requested to keep it open.
    #[must_use]
    pub const fn closes(&self, keep_alive: bool) -> bool {
        !keep_alive || self.is_stopping.get()
    }

    /// Returns a pseudo-random number; for load spreading and jitter, not for secrets.
    pub fn draw(&self) -> u64 {
        let next = self.random.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.random.set(next);
        crate::router::mix(next)
    }

    /// Takes in a configuration of the store; a gateway that has none yet waits until the history is settled.
    pub(super) fn offer_table(&self, table: Rc<RouteTable>) {
        let now = self.clock.now();
        if self.table.borrow().version > 0 || self.history.borrow().is_config_settled(now) {
            self.offered_table.take();
            self.set_table(table);
            return;
        }
        log::info!(event = "configuration_held", version = table.version,
            settles_in_ms = self.history.borrow().settles_in(now).unwrap_or_default().0; "");
        *self.offered_table.borrow_mut() = Some(table);
    }

    /// Puts the configuration that waited into force once the history is settled, and lets clients in.
    pub(super) fn put_offered_table(&self, now: Millis) {
        if !self.history.borrow().is_config_settled(now) {
            return;
        }
        if let Some(table) = self.offered_table.take() {
            self.set_table(table);
        }
        self.is_loaded.set(true);
        self.loaded.notify_one();
    }

    /// Puts a configuration into force, unless it is older than the current one.
    pub fn set_table(&self, table: Rc<RouteTable>) {
        let current = self.table.borrow().version;
        if table.version < current {
            log::warn!(event = "configuration_outdated", version = table.version, known = current; "");
            return;
        }
        if table.version > current {
            log::info!(event = "configuration", version = table.version, replaces = current,
                routes = table.routes().len(); "");
        }
        *self.table.borrow_mut() = table;
    }

    /// Returns whether the gateway can serve new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let is_trusted = self.freshness.borrow().is_trusted(now);
        self.is_loaded.get() && !self.is_stopping.get() && is_trusted
    }

    /// Calls `f` with the retry budget of a service.
    pub fn with_budget<T>(&self, service: &Rc<str>, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        f(entry(&mut budgets, service, || {
            RetryBudget::new(self.policy().retries)
        }))
    }

    /// Calls `f` with the lateness estimate of a service's larger models.
    pub fn with_lateness<T>(&self, service: &Rc<str>, f: impl FnOnce(&mut Lateness) -> T) -> T {
        let mut lateness = self.lateness.borrow_mut();
        f(entry(&mut lateness, service, Lateness::default))
    }

    /// Records how many gateways subscribe to an upstream's loads.
    pub fn record_gateways(&self, count: u16, now: Millis) {
        self.reported_gateways.set((count, now));
        let (most, at) = self.most_gateways.get();
        if count >= most || now.since(at) > GATEWAY_COUNT_LIFETIME {
            self.most_gateways.set((count, now));
        }
    }

    /// Returns the number of gateways that share the upstreams, at least 1.
    #[must_use]
    pub fn gateways(&self, now: Millis) -> u64 {
        let (count, at) = self.reported_gateways.get();
        let is_recent = now.since(at) <= MAX_REPORT_AGE;
        u64::from(if is_recent { count } else { 0 }).max(1)
    }

    /// Logs a change of the limit that an upstream names.
    pub(crate) fn log_limit_change(&self, upstream: &Upstream, change: Option<LimitChange>) {
        if let Some(change) = change {
            log::warn!(event = "upstream_limit", upstream:% = upstream.id, boot = upstream.boot, change:? = change,
                limited_upstreams = self.named_limits.borrow().len(); "");
        }
    }

    /// Returns this gateway and the number of gateways among which limits of upstreams are divided.
    ///
    /// A beacon that has just started knows only some of the gateways, so the highest number of the last seconds counts.
    #[must_use]
    pub(super) fn sharing(&self, now: Millis) -> Sharing {
        let (most, at) = self.most_gateways.get();
        let is_recent = most > 0 && now.since(at) <= GATEWAY_COUNT_LIFETIME;
        let gateways = if is_recent {
            u64::from(most)
        } else {
            MIN_GATEWAYS_SHARING_BUDGET
        };
        Sharing {
            gateway: crate::router::hash(self.policy().name.as_bytes()),
            gateways,
            lease: None,
        }
    }

    /// Returns this gateway's part of the limit that an upstream names.
    #[must_use]
    pub(super) fn sharing_at(&self, upstream: &Upstream, now: Millis) -> Sharing {
        Sharing {
            lease: (self.cold.borrow()).lease(&upstream.id, upstream.boot, now),
            ..self.sharing(now)
        }
    }

    /// Returns the number of gateways among which the slack of the retry budget is divided.
    #[must_use]
    pub fn gateways_sharing_budget(&self, now: Millis) -> usize {
        let gateways = self.gateways(now).max(MIN_GATEWAYS_SHARING_BUDGET);
        usize::try_from(gateways).unwrap_or(usize::MAX)
    }

    /// Calls `f` with the recent work for a service.
    pub fn with_demand<T>(&self, service: &Rc<str>, f: impl FnOnce(&mut Demand) -> T) -> T {
        let mut demands = self.demands.borrow_mut();
        f(entry(&mut demands, service, Demand::default))
    }

    /// Calls `f` with the times of a service's answers.
    pub fn with_answer_times<T>(
        &self,
        service: &Rc<str>,
        f: impl FnOnce(&mut AnswerTimes) -> T,
    ) -> T {
        let mut times = self.answer_times.borrow_mut();
        f(entry(&mut times, service, AnswerTimes::default))
    }

    /// Calls `f` with the admission to a service's upstreams of a class of models.
    pub fn with_admission<T>(
        &self,
        service: &Rc<str>,
        class: ModelClass,
        f: impl FnOnce(&mut Admission) -> T,
    ) -> T {
        let mut admissions = self.admissions.borrow_mut();
        let classes = entry(&mut admissions, service, <[Admission; 2]>::default);
        f(&mut classes[class as usize])
    }

    /// Calls `f` with the cascade of a route.
    pub fn with_cascade<T>(&self, route: &Rc<str>, f: impl FnOnce(&mut Cascade) -> T) -> T {
        let mut cascades = self.cascades.borrow_mut();
        f(entry(&mut cascades, route, Cascade::default))
    }
}

/// Returns the entry for a name in a sorted list; inserts one if there is none.
fn entry<'a, T>(
    list: &'a mut Vec<(Rc<str>, T)>,
    name: &Rc<str>,
    make: impl FnOnce() -> T,
) -> &'a mut T {
    let at = match list.binary_search_by(|(key, _)| key.cmp(name)) {
        Ok(at) => at,
        Err(at) => {
            list.insert(at, (Rc::clone(name), make()));
            at
        }
    };
    &mut list[at].1
}
