//! Performs the effects of the membership: connects to agents, pings them and disconnects from them.

use std::rc::Rc;

use actix_rt::time::sleep;

use super::super::shared::Shared;
use super::status::{apply_status, exchange_sheets, is_exchange_due, own_status};
use super::{Entry, targets_and_slots};
use crate::follower::InForce;
use crate::ids::{DataCentre, UpstreamId};
use crate::kv::vms::{self, VmState};
use crate::membership::{
    Attempt, CONNECT_TIMEOUT, Effect, Evidence, SILENCE_TIMEOUT, SUBSET_SIZE, VmListing,
};
use crate::peer::{Link, Status, Target};
use crate::units::Millis;

/// Time between two selections of the wanted upstreams.
const SELECTION_INTERVAL: Millis = Millis::from_secs(1);

/// Time between two fetches of the VM list.
const LIST_FETCH_INTERVAL: Millis = Millis::from_secs(2);

/// Time between two steps of the membership.
const STEP_INTERVAL: Millis = Millis(100);

/// Maintains the links to the agents of the wanted upstreams until the task is aborted.
pub(in super::super) async fn run(shared: Rc<Shared>) {
    loop {
        select_upstreams(&shared);
        fetch_vm_list(&shared);
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
        sleep(STEP_INTERVAL.duration()).await;
    }
}

/// Selects the upstreams to connect to; lost ones are replaced by others.
fn select_upstreams(shared: &Shared) {
    let Some(in_force) = shared.follower.in_force() else {
        return;
    };
    let mut links = shared.links.borrow_mut();
    let now = shared.clock.now();
    if now < links.next_selection {
        return;
    }
    links.next_selection = now + SELECTION_INTERVAL;
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
    links.members.set_wanted(&wanted, now);
    links.members.retain(|id| sheet.upstream(id).is_some());
    let names: Vec<_> = wanted.iter().map(|id| id.as_str().to_owned()).collect();
    drop(links);
    shared.follower.set_peers(&names);
}

/// Rebuilds the pools if the set of usable upstreams has changed.
fn refresh_pools(shared: &Shared) {
    let Some(in_force) = shared.follower.in_force() else {
        return;
    };
    let now = shared.clock.now();
    let mut links = shared.links.borrow_mut();
    let is_current = links
        .members
        .all_usable(now)
        .into_iter()
        .eq(&links.pooled_upstreams);
    if !is_current {
        links.build_pools(&in_force, shared);
    }
}

/// Fetches the VM list if a fetch is due.
fn fetch_vm_list(shared: &Rc<Shared>) {
    let Some(addr) = shared.vm_list else {
        return;
    };
    let now = shared.clock.now();
    if now < shared.links.borrow().next_list_fetch {
        return;
    }
    shared.links.borrow_mut().next_list_fetch = now + LIST_FETCH_INTERVAL;
    let shared = Rc::clone(shared);
    actix_rt::spawn(async move {
        match vms::fetch(addr).await {
            Ok(list) => {
                let listed = list.vms.iter().map(|vm| {
                    let listed = match vm.state {
                        VmState::Live => VmListing::Live,
                        VmState::Leaving => VmListing::Leaving,
                    };
                    (UpstreamId::from(vm.name.as_str()), listed)
                });
                let listed: Vec<_> = listed.collect();
                let now = shared.clock.now();
                shared
                    .links
                    .borrow_mut()
                    .members
                    .apply_vm_list(&listed, now);
            }
            // The list is only a hint; direct evidence takes precedence over it.
            Err(error) => log::debug!(event = "vm_list_failed", error:% = error; ""),
        }
    });
}

/// Groups upstreams by the target that they serve.
fn groups(in_force: &InForce) -> Vec<Vec<(UpstreamId, DataCentre)>> {
    let mut groups: Vec<(Target, Vec<_>)> = Vec::new();
    for upstream in &in_force.sheet.upstreams {
        let (targets, _) = targets_and_slots(&upstream.serves);
        for target in targets {
            let entry = (upstream.id.clone(), upstream.data_centre.clone());
            match groups
                .iter_mut()
                .find(|(group_target, _)| *group_target == target)
            {
                Some((_, group)) => group.push(entry),
                None => groups.push((target, vec![entry])),
            }
        }
    }
    groups.into_iter().map(|(_, group)| group).collect()
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
    // All crash reports are sent, so that a replaced agent has the suspects before it runs a request.
    let status = own_status(&shared, true);
    match link.status(&status, SILENCE_TIMEOUT).await {
        Ok(agent) if agent.name == upstream.as_str() => {
            observe(Evidence::Connected(attempt, agent.incarnation));
            insert_entry(&shared, upstream.clone(), attempt, &link, &agent);
            apply_status(&shared, &upstream, &agent);
            exchange_sheets(&shared, &upstream, &link).await;
        }
        Ok(agent) => {
            let (upstream, other) = (upstream.as_str(), agent.name.as_str());
            log::warn!(event = "wrong_agent", upstream = upstream, found = other; "");
            observe(Evidence::Refused(attempt));
        }
        Err(_) => observe(Evidence::Refused(attempt)),
    }
}

fn insert_entry(
    shared: &Shared,
    upstream: UpstreamId,
    attempt: Attempt,
    link: &Rc<Link>,
    agent: &Status,
) {
    let link = Rc::clone(link);
    let entry = Entry {
        upstream,
        attempt,
        link,
        others: agent.running,
        counted_at: shared.clock.now(),
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
    match link
        .status(&own_status(&shared, false), SILENCE_TIMEOUT)
        .await
    {
        Ok(agent) => {
            apply_status(&shared, &upstream, &agent);
            if is_exchange_due(&shared, &upstream, agent.revision) {
                exchange_sheets(&shared, &upstream, &link).await;
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
