//! Fetches the first sheet from agents named in the settings while the key-value service is unavailable.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::time::sleep;

use super::links;
use super::shared::Shared;
use crate::ids::UpstreamId;
use crate::membership::{CONNECT_TIMEOUT, SILENCE_TIMEOUT};
use crate::peer::Link;
use crate::units::Millis;

/// Time to wait for the first sheet from the key-value service before the seeds are queried.
const KV_WAIT: Millis = Millis::from_secs(1);

/// Pause between two rounds over the seeds.
const ROUND_INTERVAL: Millis = Millis::from_secs(1);

/// Queries the seeds in turn until a sheet is in force.
pub(super) async fn run(shared: Rc<Shared>, seeds: Vec<SocketAddr>) {
    sleep(KV_WAIT.duration()).await;
    while shared.follower.in_force().is_none() && !seeds.is_empty() {
        for seed in &seeds {
            if shared.follower.in_force().is_none() {
                fetch_sheet(&shared, *seed).await;
            }
        }
        sleep(ROUND_INTERVAL.duration()).await;
    }
}

async fn fetch_sheet(shared: &Shared, seed: SocketAddr) {
    let Ok(link) = Link::connect(seed, &shared.peer_key, CONNECT_TIMEOUT).await else {
        return;
    };
    let status = links::own_status(shared, true);
    let Ok(agent) = link.status(&status, SILENCE_TIMEOUT).await else {
        return;
    };
    let name = agent.name;
    shared.follower.set_peers(std::slice::from_ref(&name));
    shared.follower.pull_from(&name);
    links::exchange_sheets(shared, &UpstreamId::from(name.as_str()), &link).await;
    log::info!(event = "seed_asked", agent = name.as_str(), revision = shared.follower.revision(); "");
}
