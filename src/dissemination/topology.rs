//! The relay tree of a fleet.

use super::PeerId;
use crate::ids::DataCentre;
use crate::membership::rank;

/// Number of processes per data centre that watch the service; also the size of each pair of the tree.
pub const READERS_PER_DATA_CENTRE: usize = 2;
/// Number of child pairs of each pair in the tree, so that a process has four children and two parents.
///
/// At the target size, `experiment spread` measured 2.8 KB/s at the most loaded process with 2 child pairs.
/// With 3 it measured 3.6 KB/s, above the limit of 3 KB/s, and changes did not spread faster.
pub const FAN_OUT: usize = 2;

/// The neighbours of one process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Processes from which a status is requested every second.
    pub parents: Vec<PeerId>,
    /// Processes that are notified of a change, as the parents are.
    pub children: Vec<PeerId>,
    /// Whether the process watches the service.
    pub is_reader: bool,
}

/// Returns the neighbours of `me` among the members, or none if the members do not include `me`.
///
/// Each data centre's members are ranked by rendezvous hashing; the first two are its readers. Members form
/// pairs in this order, and both processes of a pair have both of the pair above as parents. The parents of
/// a data centre's readers are the readers of the next data centre by name, so that a data centre that
/// cannot reach the service still gets changes.
#[must_use]
pub fn neighbours(me: &PeerId, members: &[(PeerId, DataCentre)]) -> Neighbours {
    let Some((_, own)) = members.iter().find(|(id, _)| id == me) else {
        return Neighbours::default();
    };
    let ranked = rank_members(own, members);
    let at = ranked.iter().position(|id| id == me).unwrap_or(0);
    let pair = at / READERS_PER_DATA_CENTRE;
    let is_reader = pair == 0;
    let first_child = pair * FAN_OUT + 1;
    let mut children = pair_members(&ranked, first_child..first_child + FAN_OUT);
    let parents = if is_reader {
        let mut centres: Vec<_> = members.iter().map(|(_, centre)| centre).collect();
        centres.sort_unstable();
        centres.dedup();
        let at = centres.binary_search(&own).unwrap_or(0);
        let before = centres[(at + centres.len() - 1) % centres.len()];
        let after = centres[(at + 1) % centres.len()];
        let readers =
            |centre: &DataCentre| pair_members(&self::rank_members(centre, members), 0..1);
        let not_own = |centre: &&DataCentre| *centre != own;
        children.extend(Some(before).filter(not_own).into_iter().flat_map(readers));
        Some(after).filter(not_own).map(readers).unwrap_or_default()
    } else {
        let parent = (pair - 1) / FAN_OUT;
        pair_members(&ranked, parent..parent + 1)
    };
    children.retain(|id| !parents.contains(id));
    Neighbours {
        parents,
        children,
        is_reader,
    }
}

/// Returns the members of a data centre in order of decreasing rank.
fn rank_members(centre: &DataCentre, members: &[(PeerId, DataCentre)]) -> Vec<PeerId> {
    let of_centre = members.iter().filter(|(_, of)| of == centre);
    let mut ranked: Vec<_> = of_centre
        .map(|(id, _)| (!rank(centre.as_str(), id.as_str()), id))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, id)| id.clone()).collect()
}

fn pair_members(ranked: &[PeerId], pairs: std::ops::Range<usize>) -> Vec<PeerId> {
    let to = (pairs.end * READERS_PER_DATA_CENTRE).min(ranked.len());
    let from = (pairs.start * READERS_PER_DATA_CENTRE).min(to);
    ranked[from..to].to_vec()
}
