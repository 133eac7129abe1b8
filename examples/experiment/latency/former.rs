//! The baseline `two samples`: the first version of `Pool::pick`.

use fireflywind::route::pick::Member;

use super::model::{Step, View, engine_of};

/// Load at which all slots are taken, in permille.
const FULL: u64 = 1_000;

/// Extra load that is accepted for prefix affinity, in permille.
const AFFINITY_MARGIN: u64 = 250;

/// Chooses the least loaded of two sampled local members. If these have no free slot, two remote members are
/// sampled as well. The member with prefix affinity is always in the sample.
pub fn two_samples(view: &View<'_>) -> Step {
    let members = view.gateway.pool.members();
    let is_near =
        |m: &&Member| view.engines[engine_of(&m.upstream)].data_centre == view.gateway.data_centre;
    let local_count = members.iter().take_while(is_near).count();
    let (local, remote) = members.split_at(local_count);
    let near = if local.is_empty() { members } else { local };
    let affine = &near[super::index(view.req.prefix, near.len())];
    let mut sampled = vec![affine];
    sample(local, view.draws[0], &mut sampled);
    if sampled.iter().all(|m| m.load() >= FULL) {
        sample(remote, view.draws[1], &mut sampled);
    }
    let best = sampled.iter().min_by_key(|m| m.load());
    let best = best.expect("the affine member is sampled");
    let takes_affine = affine.load() <= best.load() + AFFINITY_MARGIN && affine.load() < FULL;
    let chosen = if takes_affine { affine } else { best };
    Step::Queue(engine_of(&chosen.upstream))
}

fn sample<'a>(members: &'a [Member], draw: u64, sampled: &mut Vec<&'a Member>) {
    if members.is_empty() {
        return;
    }
    for half in [draw & 0xffff_ffff, draw >> 32] {
        let start = super::index(half, members.len());
        let mut turn = members[start..].iter().chain(&members[..start]);
        sampled.extend(turn.find(|m| sampled.iter().all(|s| s.upstream != m.upstream)));
    }
}
