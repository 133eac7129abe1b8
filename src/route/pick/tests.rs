//! Tests of the choice of an upstream.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes owned values"
)]

use quickcheck::Arbitrary;

use super::*;
use crate::fixtures::check_property;

/// Time of the picks; the loads of a new pool were counted at time zero.
const NOW: Millis = Millis(1_000);

fn member(n: usize, own: u8, others: u8) -> Member {
    Member {
        upstream: format!("engine-{n:03}").into(),
        slots: 8,
        own: own.into(),
        others: others.into(),
        age: Millis(0),
        refused: false,
    }
}

fn pool(loads: &[(u8, u8)], local: usize) -> Pool {
    let members: Vec<_> = loads
        .iter()
        .enumerate()
        .map(|(n, (own, others))| member(n, *own, *others))
        .collect();
    let (local, remote) = members.split_at(local.min(members.len()));
    Pool::new(local.to_vec(), remote.to_vec())
}

// Guards against a pick outside the pool, a pick of a tried member, and no pick although a member is left.
#[test]
fn a_pick_is_an_untried_member() {
    fn property(loads: Vec<(u8, u8)>, local: usize, tried: Vec<usize>, draws: (u64, u64)) -> bool {
        let pool = pool(&loads, local % (loads.len() + 1));
        let failed: Vec<_> = tried.iter().map(|n| member(n % 8, 0, 0).upstream).collect();
        let left = pool.pick_by_scan(&failed).is_some();
        let tried = Tried {
            full: Vec::new(),
            failed,
        };

        match pool.pick(NOW, [draws.0, draws.1], Some(draws.0), &tried) {
            Some(pick) => {
                let known = pool.members().iter().any(|m| m.upstream == pick.upstream);
                known && !tried.failed.contains(&pick.upstream)
            }
            None => !left,
        }
    }
    check_property(
        1,
        property as fn(Vec<(u8, u8)>, usize, Vec<usize>, (u64, u64)) -> bool,
    );
}

// Guards against a record from which the choice cannot be replayed.
#[test]
fn a_pick_repeats_from_its_record() {
    fn property(loads: Vec<(u8, u8)>, draws: (u64, u64)) -> bool {
        let pool = pool(&loads, loads.len());
        let Some(pick) = pool.pick(NOW, [draws.0, draws.1], Some(draws.1), &Tried::default())
        else {
            return loads.is_empty();
        };
        let text = serde_json::to_string(&pick).expect("a pick serialises");
        let read: Pick = serde_json::from_str(&text).expect("a pick reads back");
        choose(read.sampled.clone(), read.affine) == Some(pick)
    }
    check_property(2, property as fn(Vec<(u8, u8)>, (u64, u64)) -> bool);
}

// Guards against traffic to another data centre while the gateway's own one has free slots.
#[test]
fn the_own_data_centre_is_preferred_while_it_has_free_slots() {
    let pool = pool(&[(7, 0), (7, 0), (0, 0), (0, 0)], 2);

    for draw in 0..100 {
        let pick = pool
            .pick(NOW, [draw, draw], None, &Tried::default())
            .expect("the pool has members");
        assert!(["engine-000", "engine-001"].contains(&pick.upstream.as_str()));
    }
}

// Guards against a full data centre that keeps its requests although another has free slots.
#[test]
fn a_full_data_centre_spills_over() {
    let pool = pool(&[(8, 0), (0, 8), (0, 0), (0, 0)], 2);

    let pick = pool
        .pick(NOW, [1, 2], None, &Tried::default())
        .expect("the pool has members");

    assert!(["engine-002", "engine-003"].contains(&pick.upstream.as_str()));
}

// Guards against a request that is refused everywhere and never waits, or that waits before its last probe.
#[test]
fn a_request_probes_a_bounded_number_and_then_waits_at_the_shortest_queue() {
    fn property(loads: Vec<(u8, u8)>, draws: Vec<(u64, u64)>) -> bool {
        let pool = pool(&loads, loads.len() / 2);
        let mut tried = Tried::default();
        for n in 0..=MAX_PROBES.min(loads.len()) {
            let (first, second) = draws.get(n).copied().unwrap_or_default();
            let Some(pick) = pool.pick(NOW, [first, second], Some(first), &tried) else {
                return loads.is_empty();
            };
            if pick.wait {
                let full = pool.members().iter();
                let full = full.filter(|m| tried.full.contains(&m.upstream));
                let chosen = full.clone().find(|m| m.upstream == pick.upstream);
                let shortest = full.map(Member::load).min();
                let is_last = n == MAX_PROBES.min(loads.len());
                return is_last && chosen.map(Member::load) == shortest;
            }
            if tried.full.contains(&pick.upstream) {
                return false;
            }
            tried.full.push(pick.upstream);
        }
        false
    }
    check_property(3, property as fn(Vec<(u8, u8)>, Vec<(u64, u64)>) -> bool);
}

// Guards against a late report whose older count replaces a newer one.
#[test]
fn an_older_count_does_not_replace_a_newer_one() {
    let mut pool = pool(&[(0, 0), (0, 0)], 2);
    let upstream = member(1, 0, 0).upstream;

    pool.observe(&upstream, 7, Millis(900), LoadSource::Reply);
    pool.observe(&upstream, 2, Millis(500), LoadSource::Report);

    assert_eq!(pool.members()[1].others, 7);
}

// Guards against a gateway that does not use a free slot that a reply has just reported.
#[test]
fn an_upstream_that_just_replied_with_free_slots_is_picked() {
    let mut pool = pool(&[(0, 6); 24], 24);
    let upstream = member(13, 0, 0).upstream;
    pool.observe(&upstream, 5, Millis(900), LoadSource::Reply);

    for draw in 0..100 {
        let pick = pool.pick(NOW, [draw, draw], None, &Tried::default());
        assert_eq!(pick.map(|p| p.upstream), Some(upstream.clone()));
    }
}

// Guards against an outdated low load that is preferred to a recent one.
#[test]
fn an_older_load_is_closer_to_the_default() {
    fn property(load: (u8, u8), age: u32) -> bool {
        let at = |age| Member {
            age: Millis(age),
            ..member(0, load.0, load.1)
        };
        let distance = |m: Member| m.expected_load().abs_diff(DEFAULT_LOAD_PERMILLE);
        let age = u64::from(age);
        at(0).expected_load() == at(0).load()
            && distance(at(age + 100)) <= distance(at(age))
            && distance(at(u64::MAX)) <= 1
    }
    check_property(4, property as fn((u8, u8), u32) -> bool);
}

// Guards against prefix affinity that sends requests to an upstream that is probably full.
#[test]
fn prefix_affinity_accepts_bounded_load() {
    fn property(loads: Vec<(u8, u8)>, draws: (u64, u64)) -> bool {
        let pool = pool(&loads, loads.len());
        let pick = pool.pick(Millis(0), [draws.0, 0], Some(draws.1), &Tried::default());
        let Some(pick) = pick.filter(|p| p.why == PickReason::PrefixAffinity) else {
            return true;
        };
        let chosen = pick.sampled.iter().find(|m| m.upstream == pick.upstream);
        let lowest = pick.sampled.iter().map(Member::load).min();
        let bound =
            lowest.map(|load| AFFINITY_LOAD_LIMIT_PERMILLE.max(load + AFFINITY_MARGIN_PERMILLE));
        chosen.is_some_and(|m| m.load() < FULL_LOAD_PERMILLE && Some(m.load()) <= bound)
    }
    check_property(5, property as fn(Vec<(u8, u8)>, (u64, u64)) -> bool);
}

// Guards against gateways that all choose the same upstream from the same report.
#[test]
fn gateways_with_the_same_report_spread_their_requests() {
    let loads: Vec<_> = (0..24).map(|n| (0, n % 8)).collect();
    let pool = pool(&loads, 24);
    let mut rng = quickcheck::Gen::from_size_and_seed(1, 6);
    let mut sent = [0; 24];

    for _ in 0..240 {
        let draws = [u64::arbitrary(&mut rng), u64::arbitrary(&mut rng)];
        let pick = pool.pick(NOW, draws, None, &Tried::default());
        let upstream = pick.expect("the pool has members").upstream;
        let at = pool.members().iter().position(|m| m.upstream == upstream);
        sent[at.expect("the pick is a member")] += 1;
    }

    // With two samples, each of the three least loaded members is expected in 2 of 24 draws, that is 20 of 240
    // requests; the rest of the bound allows for chance.
    assert!(sent.iter().all(|n| *n <= 40), "{sent:?}");
}

// Guards against a decision whose cost grows with the size of the pool.
#[test]
fn a_pick_compares_a_bounded_number_of_members() {
    let mut pool = pool(&[(4, 4); 200], 100);
    for n in 0..200 {
        pool.observe(&member(n, 0, 0).upstream, 4, NOW, LoadSource::Reply);
    }

    let pick = pool.pick(NOW, [1, 2], Some(3), &Tried::default());

    let most = 1 + MAX_RECENT_MEMBERS + 4;
    assert!(pick.is_some_and(|p| p.sampled.len() <= most));
}
