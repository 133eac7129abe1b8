//! A store in memory that can be restored from a copy, and gateways that follow it on the paused clock.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use actix_rt::time::{Instant, sleep, timeout};
use tokio::sync::Notify;

use super::fixture::policy;
use crate::forward::follow::{
    self, ControlPlane, ControlPlaneError, Listing, RolloutWrite, StoreAnswer, StoreEvent,
};
use crate::forward::rollouts::decide_rollouts;
use crate::forward::shared::{Policy, Shared};
use crate::forward::{containment, settle};
use crate::kv::LocalFuture;
use crate::router::comparison::AnswerReport;
use crate::router::hash;
use crate::router::history::Era;
use crate::router::table::{ClientLimits, RouteTable};
use crate::suspect::EvidenceWrite;
use crate::units::Millis;

/// One way between a gateway and the store.
const LATENCY: Millis = Millis(2);

/// Time after which a gateway gives up a call that gets no answer.
const CALL_TIMEOUT: Millis = Millis(700);

/// Interval at which beacons tell a gateway the number of gateways.
const REPORT_INTERVAL: Millis = Millis(500);

/// Interval at which a gateway removes upstreams whose grace has ended.
const EXPIRE_INTERVAL: Millis = Millis(1_000);

const CONFIG_KEY: &str = "op/config";
const SETTLED_KEY: &str = "own/settled";
const UPSTREAM_PREFIX: &str = "servers/";
const OPERATOR_PREFIX: &str = "op/";
const ORDER_PREFIX: &str = "op/rollout/";
const EVACUATION_PREFIX: &str = "op/evacuate/";
const STATUS_PREFIX: &str = "status/rollout/";
const START_PREFIX: &str = "own/rollout/";
const CRASHES_PREFIX: &str = "own/crashes/";
const CONTAINED_PREFIX: &str = "own/contained/";
const ANSWERS_PREFIX: &str = "own/answers/";

/// The key prefixes of a listing's pages.
const PAGES: [&str; 4] = [OPERATOR_PREFIX, STATUS_PREFIX, "own/", UPSTREAM_PREFIX];

/// What the store has at one moment.
#[derive(Clone, Default)]
pub(super) struct Copy {
    items: BTreeMap<String, (StoreEvent, u64)>,
    /// Changes in order; `None` is a removal.
    changes: Vec<(u64, String, Option<StoreEvent>)>,
    revision: u64,
}

/// The store.
pub(super) struct ModelStore {
    present: RefCell<Copy>,
    era: Cell<u64>,
    is_away: Cell<bool>,
    changed: Notify,
    /// When calls that read arrived.
    reads: RefCell<Vec<Instant>>,
    /// Records of settled eras that were written.
    pub(super) settled_writes: Cell<u32>,
}

/// How a gateway reaches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    Open,
    /// Calls fail at once.
    Refused,
    /// Calls get no answer.
    Silent,
    /// The gateway stands still: what is on its way in either direction stays there.
    Frozen,
}

/// The way between one gateway and the store.
pub(super) struct Link {
    store: Rc<ModelStore>,
    state: Cell<LinkState>,
    changed: Notify,
}

/// A gateway and its way to the store.
pub(super) struct Node {
    pub(super) shared: Rc<Shared>,
    pub(super) link: Rc<Link>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl ModelStore {
    pub(super) fn open() -> Rc<Self> {
        Rc::new(Self {
            present: RefCell::default(),
            era: Cell::new(1),
            is_away: Cell::new(false),
            changed: Notify::new(),
            reads: RefCell::default(),
            settled_writes: Cell::new(0),
        })
    }

    /// Writes an item as the operator or an upstream would.
    pub(super) fn put(&self, event: StoreEvent) -> u64 {
        let key = key_of(&event);
        self.change(key, Some(event))
    }

    pub(super) fn remove(&self, key: &str) {
        self.change(key.to_owned(), None);
    }

    pub(super) fn put_config(&self, version: u64) -> u64 {
        self.put(StoreEvent::Table(config(version), 0))
    }

    fn change(&self, key: String, event: Option<StoreEvent>) -> u64 {
        let mut present = self.present.borrow_mut();
        present.revision += 1;
        let revision = present.revision;
        match &event {
            Some(event) => (present.items).insert(key.clone(), (event.clone(), revision)),
            None => present.items.remove(&key),
        };
        present.changes.push((revision, key, event));
        drop(present);
        self.changed.notify_waiters();
        revision
    }

    pub(super) fn get(&self, key: &str) -> Option<(StoreEvent, u64)> {
        self.present.borrow().items.get(key).cloned()
    }

    pub(super) fn revision(&self) -> u64 {
        self.present.borrow().revision
    }

    pub(super) fn copy(&self) -> Copy {
        self.present.borrow().clone()
    }

    /// Takes the store away; calls fail until it is restored.
    pub(super) fn take_away(&self) {
        self.is_away.set(true);
        self.changed.notify_waiters();
    }

    /// Lets the store go on from a copy.
    pub(super) fn restore(&self, copy: &Copy) {
        *self.present.borrow_mut() = copy.clone();
        self.era.update(|era| era + 1);
        self.is_away.set(false);
        self.changed.notify_waiters();
    }

    /// Returns the largest number of reads within a second since a moment.
    pub(super) fn most_reads_in_a_second(&self, since: Instant) -> usize {
        let reads = self.reads.borrow();
        let first = reads.partition_point(|at| *at < since);
        let reads = &reads[first..];
        let count_from = |(n, at): (usize, &Instant)| {
            let end = *at + Millis(1_000).duration();
            reads[n..].partition_point(|at| *at < end)
        };
        reads.iter().enumerate().map(count_from).max().unwrap_or(0)
    }

    fn listing(&self, prefix: &str) -> Listing {
        let present = self.present.borrow();
        let items = present
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        Listing {
            events: items
                .map(|(_, (event, revision))| with_revision(event, *revision))
                .collect(),
            revision: present.revision,
        }
    }

    /// Returns the changes after a revision, or `None` if there are none.
    fn changes(&self, after: u64) -> Option<Result<Listing, ControlPlaneError>> {
        let present = self.present.borrow();
        if after > present.revision {
            return Some(Err(ControlPlaneError::HistoryLost));
        }
        let changes = present.changes.iter().filter(|(at, ..)| *at > after);
        let events: Vec<_> = changes
            .filter_map(|(at, key, event)| match event {
                Some(event) => Some(with_revision(event, *at)),
                None => removal_of(key),
            })
            .collect();
        let revision = present.revision;
        (revision > after).then_some(Ok(Listing { events, revision }))
    }

    fn era(&self) -> Era {
        Era(self.era.get())
    }
}

impl Link {
    pub(super) fn set(&self, state: LinkState) {
        self.state.set(state);
        self.changed.notify_waiters();
    }

    async fn wait_while_frozen(&self) {
        loop {
            let changed = self.changed.notified();
            if self.state.get() != LinkState::Frozen {
                return;
            }
            changed.await;
        }
    }

    /// Carries a call to the store; fails if it does not arrive.
    async fn send(&self, is_read: bool) -> Result<(), ControlPlaneError> {
        self.wait_while_frozen().await;
        sleep(LATENCY.duration()).await;
        if self.state.get() == LinkState::Silent {
            sleep(CALL_TIMEOUT.duration()).await;
        }
        if self.state.get() != LinkState::Open || self.store.is_away.get() {
            return Err(ControlPlaneError::Unavailable("refused".into()));
        }
        if is_read {
            self.store.reads.borrow_mut().push(Instant::now());
        }
        Ok(())
    }

    /// Carries an answer back; it is lost if the way is cut.
    async fn receive<T>(&self, answer: StoreAnswer<T>) -> StoreAnswer<T> {
        sleep(LATENCY.duration()).await;
        self.wait_while_frozen().await;
        if self.state.get() == LinkState::Open {
            return answer;
        }
        sleep(CALL_TIMEOUT.duration()).await;
        StoreAnswer::missing(ControlPlaneError::Unavailable("no answer".into()))
    }

    async fn write(
        &self,
        conditions: Vec<(String, u64)>,
        puts: Vec<StoreEvent>,
        deletes: Vec<String>,
    ) -> StoreAnswer<u64> {
        if let Err(error) = self.send(false).await {
            return StoreAnswer::missing(error);
        }
        let store = &self.store;
        let is_met = conditions.iter().all(|(key, expected)| {
            let present = store.get(key).map_or(0, |(_, revision)| revision);
            present == *expected
        });
        let result = if is_met {
            for key in &deletes {
                store.remove(key);
            }
            let written = puts
                .into_iter()
                .map(|event| store.put(event))
                .collect::<Vec<_>>();
            Ok(written.first().copied().unwrap_or_else(|| store.revision()))
        } else {
            Err(ControlPlaneError::Conflict)
        };
        let answer = StoreAnswer::of(result, store.era());
        self.receive(answer).await
    }
}

impl ControlPlane for Rc<Link> {
    fn list(&self) -> LocalFuture<'_, StoreAnswer<Listing>> {
        Box::pin(async {
            let mut whole: Option<(Listing, Era)> = None;
            for prefix in PAGES {
                if let Err(error) = self.send(true).await {
                    return StoreAnswer::missing(error);
                }
                let answer = StoreAnswer::of(Ok(self.store.listing(prefix)), self.store.era());
                let StoreAnswer { result, era } = self.receive(answer).await;
                let (page, era) = match (result, era) {
                    (Ok(page), Some(era)) => (page, era),
                    (Err(error), era) => {
                        return StoreAnswer {
                            result: Err(error),
                            era,
                        };
                    }
                    (Ok(_), None) => unreachable!("an answer has an era"),
                };
                match &mut whole {
                    None => whole = Some((page, era)),
                    Some((_, first)) if *first != era => {
                        return StoreAnswer::of(Err(ControlPlaneError::HistoryChanged), era);
                    }
                    Some((listing, _)) => {
                        listing.events.extend(page.events);
                        listing.revision = listing.revision.min(page.revision);
                    }
                }
            }
            let (listing, era) = whole.expect("there is a page");
            StoreAnswer::of(Ok(listing), era)
        })
    }

    fn watch(&self, after: u64, wait: Millis) -> LocalFuture<'_, StoreAnswer<Listing>> {
        Box::pin(async move {
            if let Err(error) = self.send(true).await {
                return StoreAnswer::missing(error);
            }
            let end = Instant::now() + wait.duration();
            let result = loop {
                let changed = self.store.changed.notified();
                if self.store.is_away.get() {
                    return self
                        .receive(StoreAnswer::missing(ControlPlaneError::Unavailable(
                            "cut".into(),
                        )))
                        .await;
                }
                if let Some(result) = self.store.changes(after) {
                    break result;
                }
                let left = end.saturating_duration_since(Instant::now());
                if left.is_zero() || timeout(left, changed).await.is_err() {
                    break Ok(Listing {
                        events: Vec::new(),
                        revision: after,
                    });
                }
            };
            self.receive(StoreAnswer::of(result, self.store.era()))
                .await
        })
    }

    fn write_rollout(&self, write: RolloutWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        let (service, to) = (Rc::clone(&write.service), Rc::clone(&write.to));
        let mut conditions = vec![(format!("{STATUS_PREFIX}{service}"), write.revision)];
        conditions.extend((write.settled_revision).map(|rev| (SETTLED_KEY.to_owned(), rev)));
        let mut puts = vec![StoreEvent::RolloutPhase {
            service: Rc::clone(&service),
            to,
            phase: write.phase,
            revision: 0,
        }];
        puts.extend(
            write
                .start
                .map(|start| StoreEvent::RolloutStart { service, start }),
        );
        Box::pin(self.write(conditions, puts, Vec::new()))
    }

    fn write_settled(&self, settled: Era) -> LocalFuture<'_, StoreAnswer<u64>> {
        self.store.settled_writes.update(|count| count + 1);
        Box::pin(self.write(
            Vec::new(),
            vec![StoreEvent::Settled(settled, 0)],
            Vec::new(),
        ))
    }

    fn write_answers(&self, report: AnswerReport) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(self.write(Vec::new(), vec![StoreEvent::Answers(report)], Vec::new()))
    }

    fn write_evidence(&self, write: EvidenceWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        let (mut puts, mut deletes, mut conditions) = (Vec::new(), Vec::new(), Vec::new());
        if let Some(change) = write.containment {
            let key = format!("{CONTAINED_PREFIX}{}", change.key);
            conditions.push((key.clone(), change.revision));
            conditions.extend((write.settled_revision).map(|rev| (SETTLED_KEY.to_owned(), rev)));
            match change.record {
                Some(record) => puts.push(StoreEvent::Contained {
                    record,
                    revision: 0,
                }),
                None => deletes.push(key),
            }
        }
        puts.push(StoreEvent::CrashReport(write.report));
        Box::pin(self.write(conditions, puts, deletes))
    }
}

impl Node {
    /// Starts a gateway.
    pub(super) fn start(store: &Rc<ModelStore>, name: &str) -> Self {
        let link = Rc::new(Link {
            store: Rc::clone(store),
            state: Cell::new(LinkState::Open),
            changed: Notify::new(),
        });
        let policy = Policy {
            name: name.into(),
            ..policy()
        };
        let seed = hash(name.as_bytes());
        let shared = Shared::open_seeded(policy, Box::new(Rc::clone(&link)), seed);
        let tasks = vec![
            actix_rt::spawn(follow::run(Rc::clone(&shared))),
            actix_rt::spawn(decide_rollouts(Rc::clone(&shared))),
            actix_rt::spawn(containment::run(Rc::clone(&shared))),
            actix_rt::spawn(settle::run(Rc::clone(&shared))),
            actix_rt::spawn(expire_upstreams(Rc::clone(&shared))),
        ];
        Self {
            shared,
            link,
            tasks,
        }
    }

    /// Starts a fleet of gateways that know their number.
    pub(super) fn start_all(store: &Rc<ModelStore>, count: u16) -> Vec<Self> {
        let nodes = (0..count).map(|n| Self::start(store, &format!("g{n}")));
        let nodes: Vec<_> = nodes.collect();
        for node in &nodes {
            node.tell_count(count);
        }
        nodes
    }

    /// Keeps telling a gateway how many there are, as beacons do.
    pub(super) fn tell_count(&self, count: u16) {
        let shared = Rc::clone(&self.shared);
        actix_rt::spawn(async move {
            loop {
                shared.record_gateways(count, shared.clock.now());
                sleep(REPORT_INTERVAL.duration()).await;
            }
        });
    }

    /// Returns the version of the configuration in force.
    pub(super) fn version(&self) -> u64 {
        self.shared.table.borrow().version
    }
}

async fn expire_upstreams(shared: Rc<Shared>) {
    loop {
        sleep(EXPIRE_INTERVAL.duration()).await;
        follow::expire(&shared, shared.clock.now());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

pub(super) fn config(version: u64) -> Rc<RouteTable> {
    let limits = ClientLimits::default();
    Rc::new(RouteTable::new(
        version,
        Vec::new(),
        Vec::new(),
        None,
        limits,
    ))
}

fn key_of(event: &StoreEvent) -> String {
    match event {
        StoreEvent::Settled(..) => SETTLED_KEY.to_owned(),
        StoreEvent::Table(..) => CONFIG_KEY.to_owned(),
        StoreEvent::Upstream(upstream) => format!("{UPSTREAM_PREFIX}{}", upstream.id),
        StoreEvent::RolloutOrder { service, .. } => format!("{ORDER_PREFIX}{service}"),
        StoreEvent::RolloutPhase { service, .. } => format!("{STATUS_PREFIX}{service}"),
        StoreEvent::RolloutStart { service, .. } => format!("{START_PREFIX}{service}"),
        StoreEvent::CrashReport(report) => {
            let first = report.crashes.first().map_or("none", |c| &*c.upstream);
            format!("{CRASHES_PREFIX}{first}")
        }
        StoreEvent::Answers(report) => {
            format!("{ANSWERS_PREFIX}{}/{}", report.service, report.gateway)
        }
        StoreEvent::Contained { record, .. } => format!("{CONTAINED_PREFIX}{}", record.key()),
        StoreEvent::Evacuated(data_centre) => format!("{EVACUATION_PREFIX}{data_centre}"),
        StoreEvent::UpstreamRemoved(_)
        | StoreEvent::EvacuationRemoved(_)
        | StoreEvent::RolloutRemoved(_)
        | StoreEvent::ContainmentRemoved(_) => unreachable!("removals are not items"),
    }
}

fn removal_of(key: &str) -> Option<StoreEvent> {
    if let Some(id) = key.strip_prefix(UPSTREAM_PREFIX) {
        return Some(StoreEvent::UpstreamRemoved(id.into()));
    }
    if let Some(data_centre) = key.strip_prefix(EVACUATION_PREFIX) {
        return Some(StoreEvent::EvacuationRemoved(data_centre.into()));
    }
    if let Some(key) = key.strip_prefix(CONTAINED_PREFIX) {
        return key.parse().ok().map(StoreEvent::ContainmentRemoved);
    }
    let service = key.strip_prefix(ORDER_PREFIX)?;
    Some(StoreEvent::RolloutRemoved(service.into()))
}

fn with_revision(event: &StoreEvent, at: u64) -> StoreEvent {
    let mut event = event.clone();
    if let StoreEvent::RolloutPhase { revision, .. }
    | StoreEvent::Contained { revision, .. }
    | StoreEvent::Table(_, revision)
    | StoreEvent::Settled(_, revision) = &mut event
    {
        *revision = at;
    }
    event
}
