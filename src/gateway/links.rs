//! Links to agents: performs the effects of the membership and keeps what agents report.

use std::rc::Rc;

use actix_rt::time::sleep;

use super::shared::Shared;
use crate::follower::InForce;
use crate::ids::{Incarnation, ServiceId, UpstreamId, VersionRef};
use crate::membership::{
    Attempt, CONNECT_TIMEOUT, Effect, Evidence, Listed, Members, SILENCE, SUBSET_SIZE,
};
use crate::peer::{Link, Status, Target};
use crate::platform::vms::{self, VmState};
use crate::route::pick::{Member, Pick, Pool, Source, Tried};
use crate::sheet::UpstreamKind;
use crate::suspect;
use crate::units::Millis;

/// Time between two choices of the wanted upstreams.
const WANT_INTERVAL: Millis = Millis::from_secs(1);

/// Time between two looks at the VM list.
const LIST_INTERVAL: Millis = Millis::from_secs(2);

/// Time between two exchanges of sheet messages with an agent of the same revision.
///
/// They confirm the sheet to a process that is cut off from the key-value service, which may serve for hours
/// without.
const EXCHANGE_INTERVAL: Millis = Millis::from_secs(10);

/// Time between two steps of the membership.
const STEP: Millis = Millis(100);

/// Exchanges of sheet messages in a row with one agent; a sheet of 1 MB takes four.
const MAX_EXCHANGES: usize = 16;

#[derive(Debug)]
struct Entry {
    upstream: UpstreamId,
    attempt: Attempt,
    link: Rc<Link>,
    /// Requests that other gateways have there, as the agent counted them last.
    others: u32,
    /// Time at which the agent counted.
    counted: Millis,
    /// Time at which sheet messages are exchanged although the revisions are the same.
    next_exchange: Millis,
}

/// Links to agents and the work of this gateway there.
#[derive(Debug, Default)]
pub(super) struct Links {
    members: Members,
    /// Sorted by upstream.
    entries: Vec<Entry>,
    /// Requests of this gateway in flight, sorted by upstream.
    own: Vec<(UpstreamId, u32)>,
    /// Pools of the targets, built for a sheet revision and a set of usable upstreams.
    pools: Vec<(Target, Pool)>,
    pools_of: Option<u64>,
    pooled: Vec<UpstreamId>,
    /// Time at which the wanted upstreams are chosen anew.
    next_want: Millis,
    /// Time of the next look at the VM list.
    next_list: Millis,
}

impl Links {
    fn find(&self, upstream: &UpstreamId) -> Option<&Entry> {
        let at = self
            .entries
            .binary_search_by(|e| e.upstream.cmp(upstream))
            .ok()?;
        self.entries.get(at)
    }

    fn own(&self, upstream: &UpstreamId) -> u32 {
        let at = self.own.binary_search_by(|(id, _)| id.cmp(upstream));
        at.map_or(0, |at| self.own[at].1)
    }

    fn count(&mut self, upstream: &UpstreamId, change: impl Fn(u32) -> u32) {
        let at = match self.own.binary_search_by(|(id, _)| id.cmp(upstream)) {
            Ok(at) => at,
            Err(at) => {
                self.own.insert(at, (upstream.clone(), 0));
                at
            }
        };
        let own = change(self.own[at].1);
        self.own[at].1 = own;
        for (_, pool) in &mut self.pools {
            if let Some(member) = pool.member_mut(upstream) {
                member.own = own;
            }
        }
    }

    /// Returns the requests of this gateway that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.own.iter().map(|(_, own)| own).sum()
    }

    /// Returns the link to an upstream, if there is one.
    pub fn link(&self, upstream: &UpstreamId) -> Option<Rc<Link>> {
        self.find(upstream).map(|entry| Rc::clone(&entry.link))
    }

    /// Returns the incarnation of a linked agent that may receive work now.
    pub fn incarnation(&self, upstream: &UpstreamId, now: Millis) -> Option<Incarnation> {
        self.members.usable(upstream, now)
    }

    /// Returns all links.
    pub fn all(&self) -> Vec<(UpstreamId, Rc<Link>)> {
        self.entries
            .iter()
            .map(|e| (e.upstream.clone(), Rc::clone(&e.link)))
            .collect()
    }

    /// Chooses an upstream for the next attempt of a request to a target.
    pub fn pick(
        &mut self,
        in_force: &InForce,
        target: &Target,
        shared: &Shared,
        draws: [u64; 2],
        prefix: Option<u64>,
        tried: &mut Tried,
    ) -> Option<Pick> {
        let now = shared.clock.now();
        if self.pools_of != Some(in_force.revision) {
            self.build_pools(in_force, shared);
        }
        let (_, pool) = self.pools.iter().find(|(known, _)| known == target)?;
        loop {
            let pick = pool.pick(now, draws, prefix, tried)?;
            if self.members.usable(&pick.upstream, now).is_some() {
                return Some(pick);
            }
            // It was lost since the pools were built.
            tried.failed.push(pick.upstream);
        }
    }

    /// Builds the pools of all targets from the upstreams that are usable now.
    fn build_pools(&mut self, in_force: &InForce, shared: &Shared) {
        let now = shared.clock.now();
        self.pools_of = Some(in_force.revision);
        self.pooled = self.members.all_usable(now).into_iter().cloned().collect();
        let mut groups: Vec<(Target, Vec<Member>, Vec<Member>)> = Vec::new();
        for upstream in &in_force.sheet.upstreams {
            if self.pooled.binary_search(&upstream.id).is_err() {
                continue;
            }
            let (targets, slots) = served(&upstream.serves);
            let member = Member {
                upstream: upstream.id.clone(),
                slots,
                own: self.own(&upstream.id),
                others: 0,
                age: Millis(0),
                refused: false,
            };
            for target in targets {
                let at = groups.iter().position(|(known, ..)| *known == target);
                let at = at.unwrap_or_else(|| {
                    groups.push((target, Vec::new(), Vec::new()));
                    groups.len() - 1
                });
                let (_, local, remote) = &mut groups[at];
                let is_local = upstream.data_centre == shared.data_centre;
                if is_local { local } else { remote }.push(member.clone());
            }
        }
        let pools = groups
            .into_iter()
            .map(|(target, l, r)| (target, Pool::new(l, r)));
        self.pools = pools.collect();
        for entry in &self.entries {
            for (_, pool) in &mut self.pools {
                pool.observe(&entry.upstream, entry.others, entry.counted, Source::Report);
            }
        }
    }

    /// Takes the load that an agent counted, with this gateway's requests in it.
    pub fn observe_load(
        &mut self,
        upstream: &UpstreamId,
        running: u32,
        counted: Millis,
        source: Source,
    ) {
        let others = running.saturating_sub(self.own(upstream));
        if let Ok(at) = self.entries.binary_search_by(|e| e.upstream.cmp(upstream)) {
            self.entries[at].others = others;
            self.entries[at].counted = counted;
        }
        for (_, pool) in &mut self.pools {
            pool.observe(upstream, others, counted, source);
        }
    }

    /// Tells whether some upstream may receive work for a version now.
    pub fn is_routable(&self, in_force: &InForce, version: &VersionRef, now: Millis) -> bool {
        in_force.sheet.upstreams.iter().any(|upstream| {
            let serves = matches!(
                &upstream.serves,
                UpstreamKind::Engine { versions, .. } if versions.contains(version)
            );
            serves && self.members.usable(&upstream.id, now).is_some()
        })
    }

    /// Returns the number of upstreams that may receive work now.
    pub fn usable(&self, now: Millis) -> usize {
        self.members.all_usable(now).len()
    }

    /// Notes an attempt that found its agent gone, so that the next request goes elsewhere at once.
    pub fn note_lost(&mut self, upstream: &UpstreamId, now: Millis) {
        if let Some(entry) = self.find(upstream) {
            let attempt = entry.attempt;
            self.members
                .observe(upstream, Evidence::Closed(attempt), now);
        }
        self.entries.retain(|e| e.upstream != *upstream);
    }
}

/// Counts a request as in flight at an upstream until it is dropped.
#[derive(Debug)]
pub(super) struct InFlight {
    shared: Rc<Shared>,
    upstream: UpstreamId,
}

impl InFlight {
    pub fn new(shared: &Rc<Shared>, upstream: &UpstreamId) -> Self {
        shared
            .links
            .borrow_mut()
            .count(upstream, |n| n.saturating_add(1));
        Self {
            shared: Rc::clone(shared),
            upstream: upstream.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared
            .links
            .borrow_mut()
            .count(&self.upstream, |n| n.saturating_sub(1));
    }
}

/// Keeps links to the wanted agents until it is aborted.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        want(&shared);
        look_at_list(&shared);
        let now = shared.clock.now();
        let effects = shared.links.borrow_mut().members.step(now);
        refresh_pools(&shared);
        for effect in effects {
            match effect {
                Effect::Connect(upstream, attempt) => {
                    actix_rt::spawn(connect(Rc::clone(&shared), upstream, attempt));
                }
                Effect::Disconnect(upstream) => {
                    shared
                        .links
                        .borrow_mut()
                        .entries
                        .retain(|e| e.upstream != upstream);
                }
                Effect::Ping(upstream) => {
                    actix_rt::spawn(ping(Rc::clone(&shared), upstream));
                }
            }
        }
        sleep(STEP.duration()).await;
    }
}

/// Chooses the upstreams to be connected to; those that are lost are replaced by others.
fn want(shared: &Shared) {
    let Some(in_force) = shared.follower.in_force() else {
        return;
    };
    let mut links = shared.links.borrow_mut();
    let now = shared.clock.now();
    if now < links.next_want {
        return;
    }
    links.next_want = now + WANT_INTERVAL;
    let sheet = &in_force.sheet;
    let mut wanted: Vec<UpstreamId> = Vec::new();
    for group in groups(&in_force) {
        wanted.extend(links.members.targets(
            &shared.name,
            &shared.data_centre,
            &group,
            SUBSET_SIZE,
            now,
        ));
    }
    wanted.sort_unstable();
    wanted.dedup();
    links.members.want(&wanted, now);
    links.members.retain(|id| sheet.upstream(id).is_some());
    let names: Vec<_> = wanted.iter().map(|id| id.as_str().to_owned()).collect();
    drop(links);
    shared.follower.set_peers(&names);
}

/// Builds the pools anew if another set of upstreams is usable.
fn refresh_pools(shared: &Shared) {
    let Some(in_force) = shared.follower.in_force() else {
        return;
    };
    let now = shared.clock.now();
    let mut links = shared.links.borrow_mut();
    let is_current = links.members.all_usable(now).into_iter().eq(&links.pooled);
    if !is_current {
        links.build_pools(&in_force, shared);
    }
}

/// Returns what an upstream serves and its slots.
fn served(serves: &UpstreamKind) -> (Vec<Target>, u32) {
    match serves {
        UpstreamKind::Engine { versions, slots } => (
            versions.iter().cloned().map(Target::Version).collect(),
            *slots,
        ),
        UpstreamKind::Service { service, slots } => {
            (vec![Target::Service(service.clone())], *slots)
        }
    }
}

/// Asks for the VM list if it is due.
fn look_at_list(shared: &Rc<Shared>) {
    let Some(addr) = shared.vm_list else {
        return;
    };
    let now = shared.clock.now();
    if now < shared.links.borrow().next_list {
        return;
    }
    shared.links.borrow_mut().next_list = now + LIST_INTERVAL;
    let shared = Rc::clone(shared);
    actix_rt::spawn(async move {
        match vms::fetch(addr).await {
            Ok(list) => {
                let listed = list.vms.iter().map(|vm| {
                    let listed = match vm.state {
                        VmState::Live => Listed::Live,
                        VmState::Leaving => Listed::Leaving,
                    };
                    (UpstreamId::from(vm.name.as_str()), listed)
                });
                let listed: Vec<_> = listed.collect();
                let now = shared.clock.now();
                shared.links.borrow_mut().members.list(&listed, now);
            }
            // The list is an aid only; direct evidence goes before it.
            Err(error) => log::debug!(event = "vm_list_failed", error:% = error; ""),
        }
    });
}

/// Groups upstreams by what they serve: one group for each version and each service.
fn groups(in_force: &InForce) -> Vec<Vec<(UpstreamId, crate::ids::DataCentre)>> {
    let sheet = &in_force.sheet;
    let mut versions: Vec<(VersionRef, Vec<_>)> = Vec::new();
    let mut services: Vec<(ServiceId, Vec<_>)> = Vec::new();
    for upstream in &sheet.upstreams {
        let entry = (upstream.id.clone(), upstream.data_centre.clone());
        match &upstream.serves {
            UpstreamKind::Engine {
                versions: served, ..
            } => {
                for version in served {
                    add(&mut versions, version, entry.clone());
                }
            }
            UpstreamKind::Service { service, .. } => add(&mut services, service, entry),
        }
    }
    let versions = versions.into_iter().map(|(_, group)| group);
    versions
        .chain(services.into_iter().map(|(_, group)| group))
        .collect()
}

fn add<K: Ord + Clone, V>(groups: &mut Vec<(K, Vec<V>)>, key: &K, value: V) {
    match groups.binary_search_by(|(known, _)| known.cmp(key)) {
        Ok(at) => groups[at].1.push(value),
        Err(at) => groups.insert(at, (key.clone(), vec![value])),
    }
}

async fn connect(shared: Rc<Shared>, upstream: UpstreamId, attempt: Attempt) {
    let observe = |evidence| {
        let now = shared.clock.now();
        shared
            .links
            .borrow_mut()
            .members
            .observe(&upstream, evidence, now);
    };
    let in_force = shared.follower.in_force();
    let Some(addr) = in_force.and_then(|f| f.sheet.upstream(&upstream).map(|u| u.agent)) else {
        observe(Evidence::Refused(attempt));
        return;
    };
    let link = match Link::connect(addr, &shared.peer_key, CONNECT_TIMEOUT).await {
        Ok(link) => Rc::new(link),
        Err(error) => {
            log::debug!(event = "connect_failed", upstream = upstream.as_str(), error:% = error; "");
            observe(Evidence::Refused(attempt));
            return;
        }
    };
    // All reports go along, so that an agent that was replaced learns of suspects before it runs anything.
    let status = own_status(&shared, true);
    match link.status(&status, SILENCE).await {
        Ok(agent) if agent.name == upstream.as_str() => {
            observe(Evidence::Connected(attempt, agent.incarnation));
            keep(&shared, upstream.clone(), attempt, &link, &agent);
            take_status(&shared, &upstream, &agent);
            exchange(&shared, &upstream, &link).await;
        }
        Ok(agent) => {
            let (upstream, other) = (upstream.as_str(), agent.name.as_str());
            log::warn!(event = "wrong_agent", upstream = upstream, found = other; "");
            observe(Evidence::Refused(attempt));
        }
        Err(_) => observe(Evidence::Refused(attempt)),
    }
}

fn keep(shared: &Shared, upstream: UpstreamId, attempt: Attempt, link: &Rc<Link>, agent: &Status) {
    let link = Rc::clone(link);
    let entry = Entry {
        upstream,
        attempt,
        link,
        others: agent.running,
        counted: shared.clock.now(),
        next_exchange: Millis(0),
    };
    let mut links = shared.links.borrow_mut();
    match links
        .entries
        .binary_search_by(|e| e.upstream.cmp(&entry.upstream))
    {
        Ok(at) => links.entries[at] = entry,
        Err(at) => links.entries.insert(at, entry),
    }
}

async fn ping(shared: Rc<Shared>, upstream: UpstreamId) {
    let found = {
        let links = shared.links.borrow();
        links
            .find(&upstream)
            .map(|e| (Rc::clone(&e.link), e.attempt))
    };
    let Some((link, attempt)) = found else {
        return;
    };
    match link.status(&own_status(&shared, false), SILENCE).await {
        Ok(agent) => {
            take_status(&shared, &upstream, &agent);
            if is_exchange_due(&shared, &upstream, agent.revision) {
                exchange(&shared, &upstream, &link).await;
            }
        }
        Err(error) => {
            log::debug!(event = "ping_failed", upstream = upstream.as_str(), error:% = error; "");
            let now = shared.clock.now();
            let mut links = shared.links.borrow_mut();
            links
                .members
                .observe(&upstream, Evidence::Closed(attempt), now);
            links
                .entries
                .retain(|e| e.upstream != upstream || e.attempt != attempt);
        }
    }
}

/// Tells whether sheet messages are to be exchanged: at once if the revisions differ, else from time to time.
fn is_exchange_due(shared: &Shared, upstream: &UpstreamId, revision: u64) -> bool {
    let now = shared.clock.now();
    let mut links = shared.links.borrow_mut();
    let Ok(at) = links.entries.binary_search_by(|e| e.upstream.cmp(upstream)) else {
        return false;
    };
    let entry = &mut links.entries[at];
    let is_due = revision != shared.follower.revision() || now >= entry.next_exchange;
    if is_due {
        entry.next_exchange = now + EXCHANGE_INTERVAL;
    }
    is_due
}

/// Takes what an agent says about itself.
fn take_status(shared: &Shared, upstream: &UpstreamId, agent: &Status) {
    let now = shared.clock.now();
    let mut links = shared.links.borrow_mut();
    links
        .members
        .observe(upstream, Evidence::Heard(agent.incarnation), now);
    if agent.leaving {
        links
            .members
            .observe(upstream, Evidence::Leaving(agent.incarnation), now);
    }
    links.observe_load(upstream, agent.running, now, Source::Report);
    drop(links);
    if let Some(reports) = suspect::decode(&agent.suspects) {
        let now = shared.clock.unix();
        shared.suspects.borrow_mut().merge(&reports, now);
    }
}

/// Returns what the gateway says about itself; `all` repeats every crash report that it knows.
pub(super) fn own_status(shared: &Shared, all: bool) -> Status {
    let flushed = serde_json::to_vec(shared.ledger.borrow().flushed());
    let now = shared.clock.unix();
    let suspects = shared.suspects.borrow();
    let reports = suspects.reports().iter();
    let recent = reports
        .filter(|r| all || now.since(r.at) < Millis::from_secs(10))
        .copied();
    Status {
        name: shared.name.clone(),
        incarnation: shared.incarnation,
        revision: shared.follower.revision(),
        leaving: shared.stopping.get(),
        running: 0,
        flushed: flushed.unwrap_or_default().into(),
        suspects: suspect::encode(&recent.collect::<Vec<_>>()).into(),
    }
}

/// Exchanges sheet messages with an agent until neither side has more.
pub(super) async fn exchange(shared: &Shared, upstream: &UpstreamId, link: &Link) {
    for _ in 0..MAX_EXCHANGES {
        let Some(messages) = shared.follower.take_messages(upstream.as_str()) else {
            return;
        };
        let Ok(replies) = link.exchange(&messages, SILENCE).await else {
            return;
        };
        if !replies.is_empty() && shared.follower.on_messages(&replies).is_none() {
            log::warn!(event = "sheet_messages_malformed", upstream = upstream.as_str(); "");
            return;
        }
    }
}

/// Tells all agents of the crash reports that are known, before a caller hears of the crash.
pub(super) async fn spread_suspects(shared: &Shared) {
    let reports = suspect::encode(shared.suspects.borrow().reports());
    let links = shared.links.borrow().all();
    let told = links
        .iter()
        .map(|(_, link)| link.suspects(&reports, SILENCE));
    futures_util::future::join_all(told).await;
}

/// Takes the crash reports of an agent at once, without a wait for the next heartbeat.
pub(super) async fn fetch_suspects(shared: &Shared, upstream: &UpstreamId, link: &Link) {
    if let Ok(agent) = link.status(&own_status(shared, false), SILENCE).await {
        take_status(shared, upstream, &agent);
    }
}
