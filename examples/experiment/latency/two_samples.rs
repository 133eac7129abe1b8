//! The baseline `two samples`: the first version of `Pool::pick`.

use fireflywind::route::pick::Member;

use super::model::{Dispatch, PolicyInput, engine_index};

/// Load at which all slots are taken, in permille.
const FULL_LOAD_PERMILLE: u64 = 1_000;

/// Extra load that is accepted for prefix affinity, in permille.
const AFFINITY_MARGIN_PERMILLE: u64 = 250;

/// Chooses the least loaded of the member with prefix affinity and two sampled local members. If none of them has
/// a free slot, two remote members are sampled as well. The member with prefix affinity wins within a margin.
pub fn choose(input: &PolicyInput<'_>) -> Dispatch {
    let members = input.gateway.pool.members();
    let is_local = |m: &&Member| {
        input.engines[engine_index(&m.upstream)].data_centre == input.gateway.data_centre
    };
    let local_count = members.iter().take_while(is_local).count();
    let (local, remote) = members.split_at(local_count);
    let affinity_pool = if local.is_empty() { members } else { local };
    let affine = &affinity_pool[super::index_from_draw(input.req.prefix, affinity_pool.len())];
    let mut sampled = vec![affine];
    sample(local, input.draws[0], &mut sampled);
    if sampled.iter().all(|m| m.load() >= FULL_LOAD_PERMILLE) {
        sample(remote, input.draws[1], &mut sampled);
    }
    let best = sampled.iter().min_by_key(|m| m.load());
    let best = best.expect("the affine member is sampled");
    let takes_affine = affine.load() <= best.load() + AFFINITY_MARGIN_PERMILLE
        && affine.load() < FULL_LOAD_PERMILLE;
    let chosen = if takes_affine { affine } else { best };
    Dispatch::Queue(engine_index(&chosen.upstream))
}

fn sample<'a>(members: &'a [Member], draw: u64, sampled: &mut Vec<&'a Member>) {
    if members.is_empty() {
        return;
    }
    for half in [draw & 0xffff_ffff, draw >> 32] {
        let start = super::index_from_draw(half, members.len());
        let mut candidates = members[start..].iter().chain(&members[..start]);
        sampled.extend(candidates.find(|m| sampled.iter().all(|s| s.upstream != m.upstream)));
    }
}
