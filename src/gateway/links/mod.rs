//! Links to agents, the load that agents report, and the choice of an upstream by that load.

mod status;
mod upkeep;

use std::rc::Rc;

use super::shared::Shared;
use crate::follower::InForce;
use crate::ids::{Incarnation, UpstreamId, VersionRef};
use crate::membership::{Attempt, Evidence, Members};
use crate::peer::{Link, Target};
use crate::route::pick::{LoadSource, Member, Pick, Pool, Tried};
use crate::sheet::UpstreamKind;
use crate::units::Millis;
pub(super) use status::{exchange_sheets, fetch_crash_reports, own_status, send_crash_reports};
pub(super) use upkeep::run;

#[derive(Debug)]
struct Entry {
    upstream: UpstreamId,
    attempt: Attempt,
    link: Rc<Link>,
    /// Requests of other gateways that the agent runs, as it last counted them.
    others: u32,
    /// Time of that count.
    counted_at: Millis,
    /// Time of the next exchange of sheet messages if the revisions stay the same.
    next_exchange: Millis,
}

/// Links to agents and this gateway's requests in flight there.
#[derive(Debug, Default)]
pub(super) struct Links {
    members: Members,
    /// Sorted by upstream.
    entries: Vec<Entry>,
    /// Requests of this gateway in flight, sorted by upstream.
    own_in_flight: Vec<(UpstreamId, u32)>,
    /// Usable upstreams of each target.
    pools: Vec<(Target, Pool)>,
    /// Sheet revision that the pools were built for.
    pools_revision: Option<u64>,
    /// Usable upstreams that the pools were built for.
    pooled_upstreams: Vec<UpstreamId>,
    /// Time of the next selection of the wanted upstreams.
    next_selection: Millis,
    /// Time of the next fetch of the VM list.
    next_list_fetch: Millis,
}

impl Links {
    fn find(&self, upstream: &UpstreamId) -> Option<&Entry> {
        let at = self
            .entries
            .binary_search_by(|e| e.upstream.cmp(upstream))
            .ok()?;
        self.entries.get(at)
    }

    fn own_in_flight(&self, upstream: &UpstreamId) -> u32 {
        let at = self
            .own_in_flight
            .binary_search_by(|(id, _)| id.cmp(upstream));
        at.map_or(0, |at| self.own_in_flight[at].1)
    }

    fn update_in_flight(&mut self, upstream: &UpstreamId, change: impl Fn(u32) -> u32) {
        let at = match self
            .own_in_flight
            .binary_search_by(|(id, _)| id.cmp(upstream))
        {
            Ok(at) => at,
            Err(at) => {
                self.own_in_flight.insert(at, (upstream.clone(), 0));
                at
            }
        };
        let own = change(self.own_in_flight[at].1);
        self.own_in_flight[at].1 = own;
        for (_, pool) in &mut self.pools {
            if let Some(member) = pool.member_mut(upstream) {
                member.own = own;
            }
        }
    }

    /// Returns the number of this gateway's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.own_in_flight.iter().map(|(_, own)| own).sum()
    }

    /// Returns the link to an upstream, if there is one.
    pub fn link(&self, upstream: &UpstreamId) -> Option<Rc<Link>> {
        self.find(upstream).map(|entry| Rc::clone(&entry.link))
    }

    /// Returns the incarnation of a linked agent that can receive requests now.
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
        prefix_hash: Option<u64>,
        tried: &mut Tried,
    ) -> Option<Pick> {
        let now = shared.clock.now();
        if self.pools_revision != Some(in_force.revision) {
            self.build_pools(in_force, shared);
        }
        let (_, pool) = self
            .pools
            .iter()
            .find(|(pool_target, _)| pool_target == target)?;
        loop {
            let pick = pool.pick(now, draws, prefix_hash, tried)?;
            if self.members.usable(&pick.upstream, now).is_some() {
                return Some(pick);
            }
            // The upstream was lost after the pools were built.
            tried.failed.push(pick.upstream);
        }
    }

    /// Builds the pools of all targets from the upstreams that are usable now.
    fn build_pools(&mut self, in_force: &InForce, shared: &Shared) {
        let now = shared.clock.now();
        self.pools_revision = Some(in_force.revision);
        self.pooled_upstreams = self.members.all_usable(now).into_iter().cloned().collect();
        let mut groups: Vec<(Target, Vec<Member>, Vec<Member>)> = Vec::new();
        for upstream in &in_force.sheet.upstreams {
            if self.pooled_upstreams.binary_search(&upstream.id).is_err() {
                continue;
            }
            let (targets, slots) = targets_and_slots(&upstream.serves);
            let member = Member {
                upstream: upstream.id.clone(),
                slots,
                own: self.own_in_flight(&upstream.id),
                others: 0,
                age: Millis(0),
                refused: false,
            };
            for target in targets {
                let at = groups
                    .iter()
                    .position(|(pool_target, ..)| *pool_target == target);
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
                pool.observe(
                    &entry.upstream,
                    entry.others,
                    entry.counted_at,
                    LoadSource::Report,
                );
            }
        }
    }

    /// Records the load that an agent counted, which includes this gateway's requests.
    pub fn observe_load(
        &mut self,
        upstream: &UpstreamId,
        running: u32,
        counted_at: Millis,
        source: LoadSource,
    ) {
        let others = running.saturating_sub(self.own_in_flight(upstream));
        if let Ok(at) = self.entries.binary_search_by(|e| e.upstream.cmp(upstream)) {
            self.entries[at].others = others;
            self.entries[at].counted_at = counted_at;
        }
        for (_, pool) in &mut self.pools {
            pool.observe(upstream, others, counted_at, source);
        }
    }

    /// Returns whether any upstream can receive requests for a version now.
    pub fn is_routable(&self, in_force: &InForce, version: &VersionRef, now: Millis) -> bool {
        in_force.sheet.upstreams.iter().any(|upstream| {
            let serves = matches!(
                &upstream.serves,
                UpstreamKind::Engine { versions, .. } if versions.contains(version)
            );
            serves && self.members.usable(&upstream.id, now).is_some()
        })
    }

    /// Returns the number of upstreams that can receive requests now.
    pub fn usable_count(&self, now: Millis) -> usize {
        self.members.all_usable(now).len()
    }

    /// Marks the agent of an upstream as lost after an attempt failed to reach it, so that the next request uses
    /// another upstream at once.
    pub fn mark_lost(&mut self, upstream: &UpstreamId, now: Millis) {
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
pub(super) struct InFlightGuard {
    shared: Rc<Shared>,
    upstream: UpstreamId,
}

impl InFlightGuard {
    pub fn new(shared: &Rc<Shared>, upstream: &UpstreamId) -> Self {
        shared
            .links
            .borrow_mut()
            .update_in_flight(upstream, |n| n.saturating_add(1));
        Self {
            shared: Rc::clone(shared),
            upstream: upstream.clone(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared
            .links
            .borrow_mut()
            .update_in_flight(&self.upstream, |n| n.saturating_sub(1));
    }
}

/// Returns the targets that an upstream serves and the number of its slots.
fn targets_and_slots(serves: &UpstreamKind) -> (Vec<Target>, u32) {
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
