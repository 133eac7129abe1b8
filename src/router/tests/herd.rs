//! Choice of upstreams by many gateways that read the same stale load reports.

use crate::router::demand::{Demand, ModelClass};
use crate::router::pick::{self, Candidate, PickRequest};
use crate::router::{hash, mix, spread};
use crate::units::Millis;

/// Work of each request in these tests, in prompt tokens of the largest model.
const WORK: u64 = 3_000;

fn upstream(n: u64, waiting: u64) -> Candidate {
    Candidate {
        hash: hash(&n.to_le_bytes()),
        is_local: true,
        slots: 32,
        in_flight: 0,
        pending: 0,
        awaiting_output: Some(waiting),
        own_awaiting_output: 0,
        running: 0,
        lane_cost: 0,
        serves_small: false,
        failures: 0,
        is_ejected: false,
        is_tried: false,
    }
}

/// Returns how many of `requests`, each with a prefix of its own and sent by another gateway, go to each upstream.
fn sent(upstreams: &[Candidate], requests: u64, arriving: u64) -> Vec<u64> {
    let mut sent = vec![0; upstreams.len()];
    for prefix in 0..requests {
        let request = PickRequest {
            affinity: Some(mix(prefix)),
            token_permille: 1_000,
            arriving,
            mean_work: [WORK, WORK],
        };
        let (at, _) = pick::pick(upstreams, request, prefix).expect("an upstream is picked");
        sent[at] += 1;
    }
    sent
}

/// One upstream has an empty queue, such as one that was just added. If every gateway sent it all requests until its
/// next report, its queue would become the longest.
#[test]
fn gateways_with_the_same_reports_do_not_all_use_the_emptiest_upstream() {
    let upstreams: Vec<_> = (0..20)
        .map(|n| upstream(n, if n == 0 { 0 } else { 4 }))
        .collect();
    let requests = 400;

    let spread = sent(&upstreams, requests, requests * WORK);
    let herd = sent(&upstreams, requests, 0);

    // Filled up to the common level, the empty upstream gets four requests more than the others, which get 20.
    assert_eq!(herd[0], requests);
    assert!((12..=48).contains(&spread[0]), "{spread:?}");
    assert!(spread.iter().all(|&n| n <= 40), "{spread:?}");
    assert!(spread.iter().all(|&n| n >= 5), "{spread:?}");
}

/// An upstream whose queue is above the level gets nothing until the others have caught up.
#[test]
fn an_upstream_with_a_long_queue_gets_nothing() {
    let mut upstreams: Vec<_> = (0..20).map(|n| upstream(n, 1)).collect();
    upstreams[3].awaiting_output = Some(60);

    let sent = sent(&upstreams, 200, 200 * WORK);

    assert_eq!(sent[3], 0);
}

/// With equal backlogs, each prefix has its own upstream, whatever arrives.
#[test]
fn a_prefix_keeps_its_upstream_while_backlogs_are_equal() {
    let upstreams: Vec<_> = (0..20).map(|n| upstream(n, 2)).collect();
    let pick_with = |arriving: u64, prefix: u64| {
        let request = PickRequest {
            affinity: Some(prefix),
            token_permille: 1_000,
            arriving,
            mean_work: [WORK, WORK],
        };
        pick::pick(&upstreams, request, 0)
    };

    for prefix in (0..100).map(mix) {
        assert_eq!(pick_with(0, prefix), pick_with(1_000_000, prefix));
    }
}

#[test]
fn the_level_holds_the_arriving_work() {
    assert_eq!(spread::level(&[0, 0, 0], 300), 100);
    assert_eq!(spread::level(&[0, 100, 1_000], 300), 200);
    assert_eq!(spread::level(&[5, 100, 1_000], 0), 5);
    assert_eq!(spread::level(&[500], 100), 600);
    assert_eq!(spread::level(&[], 100), 100);
}

/// The lane of the smallest model follows the work and not the number of upstreams: the more requests escalate, the
/// more upstreams the larger models get.
#[test]
fn the_lane_of_the_smallest_model_follows_its_work() {
    let share = |escalations: u64| {
        let mut demand = Demand::default();
        for n in 0..400 {
            let now = Millis(n * 10);
            demand.record(ModelClass::Smallest, 600, now);
            if n % 10 < escalations {
                demand.record(ModelClass::Larger, 6_000, now);
            }
        }
        demand.small_share_permille()
    };

    let shares = [0, 2, 5, 10].map(share);

    assert!(shares.is_sorted_by(|a, b| a >= b), "{shares:?}");
    assert!(shares[0] > shares[3], "{shares:?}");
    // The square root of a tenth of the work is about a quarter of the sum of both square roots.
    assert!((200..=280).contains(&shares[3]), "{shares:?}");
}

#[test]
fn the_expected_work_follows_the_rate() {
    let mut demand = Demand::default();
    for n in 0..1_000 {
        demand.record(ModelClass::Larger, 1_000, Millis(n * 20));
    }
    let now = Millis(20_000);

    // Fifty requests a second bring ten in 200 ms.
    let within = demand.work_within(ModelClass::Larger, Millis(200), now);
    let later = demand.work_within(ModelClass::Larger, Millis(200), now + Millis::from_secs(20));

    assert!((9_000..=11_000).contains(&within), "{within}");
    assert!(later < 100, "{later}");
    assert_eq!(demand.mean_work(ModelClass::Larger) / 100, 10);
}
