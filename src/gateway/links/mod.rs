//! Links to agents, what agents report, and the choice of an upstream from it.

mod status;
mod upkeep;

use std::rc::Rc;

use super::shared::Shared;
use crate::follower::InForce;
use crate::ids::{Incarnation, UpstreamId, VersionRef};
use crate::membership::{Attempt, Evidence, Members};
use crate::peer::{Link, Target};
use crate::route::pick::{Member, Pick, Pool, Source, Tried};
use crate::sheet::UpstreamKind;
use crate::units::Millis;
pub(super) use status::{exchange, fetch_suspects, own_status, spread_suspects};
pub(super) use upkeep::run;

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
