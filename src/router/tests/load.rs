//! Choice of upstreams and models under load, and the retry budget.

use crate::fixtures;
use crate::router::pick::{self, Candidate, Lane, PickRequest, Reason};
use crate::router::retry::{RetryBounds, RetryBudget};
use crate::router::sizes::{Size, SizeMix};
use crate::router::{hash, mix};
use crate::units::Millis;

fn candidate(n: u64) -> Candidate {
    Candidate {
        hash: hash(&n.to_le_bytes()),
        is_local: true,
        slots: 32,
        in_flight: 0,
        pending: 0,
        awaiting_output: None,
        own_awaiting_output: 0,
        running: 0,
        lane_cost: 0,
        serves_small: false,
        failures: 0,
        is_ejected: false,
        is_tried: false,
    }
}

/// Mean work of a request on the smallest and on the larger models, in prompt tokens of the largest model.
const MEAN_WORK: [u64; 2] = [600, 6_000];

/// Share of the upstreams that serve the smallest model, in permille.
const SMALL_SHARE: u64 = 180;

fn request(affinity: Option<u64>, token_permille: u64) -> PickRequest {
    PickRequest {
        affinity,
        token_permille,
        arriving: 0,
        mean_work: MEAN_WORK,
    }
}

fn pick_for(all: &[Candidate], affinity: Option<u64>, draw: u64) -> Option<(usize, Reason)> {
    pick::pick(all, request(affinity, 1_000), draw)
}

fn candidates(count: u64) -> Vec<Candidate> {
    (0..count).map(candidate).collect()
}

#[test]
fn a_prefix_stays_with_its_upstream() {
    let all = candidates(18);
    let first = pick_for(&all, Some(7), 0);

    let again = (1..50).map(|draw| pick_for(&all, Some(7), draw));

    assert!(matches!(first, Some((_, Reason::Prefix))));
    assert!(again.into_iter().all(|picked| picked == first));
}

/// When an upstream is lost, only its own prefixes move to other upstreams.
#[test]
fn losing_an_upstream_moves_only_its_prefixes() {
    let all = candidates(18);
    let mut fewer = all.clone();
    fewer[3].is_ejected = true;

    for prefix in 0..500 {
        let (before, _) = pick_for(&all, Some(prefix), 0).expect("an upstream is picked");
        let (after, _) = pick_for(&fewer, Some(prefix), 0).expect("an upstream is picked");
        assert!(before == after || before == 3);
    }
}

/// A hot prefix that gets most of the traffic must spread over several upstreams.
#[test]
fn a_hot_prefix_spreads_before_its_upstream_is_overloaded() {
    let mut all = candidates(18);
    for n in 0..90_u64 {
        // Four of five requests share one prefix.
        let prefix = if n % 5 == 0 { mix(n) } else { 1 };
        let (at, _) = pick_for(&all, Some(prefix), n).expect("an upstream is picked");
        all[at].in_flight += 1;
    }

    let most = all.iter().map(|c| c.in_flight).max();

    // The mean is five; the bound is 1.3 times the mean plus two.
    assert!(most.is_some_and(|most| most <= 9));
}

/// If a prompt that takes seconds to process is pending at the preferred upstream, other requests go elsewhere.
#[test]
fn a_pending_long_prompt_overrides_prefix_affinity() {
    let mut all = candidates(18);
    let (preferred, _) = pick_for(&all, Some(9), 0).expect("an upstream is picked");
    all[preferred].pending = 50_000;

    let (at, _) = pick_for(&all, Some(9), 0).expect("an upstream is picked");

    assert_ne!(at, preferred);
}

#[test]
fn tried_and_ejected_upstreams_are_the_last_choice() {
    let mut all = candidates(3);
    all[0].is_ejected = true;
    all[1].is_tried = true;
    let (at, _) = pick_for(&all, None, 0).expect("an upstream is picked");
    assert_eq!(at, 2);

    all[2].is_ejected = true;

    let (at, reason) = pick_for(&all, None, 0).expect("an upstream is picked");
    assert!(at != 1 && reason == Reason::LastChoice);
    assert_eq!(pick_for(&[], None, 0), None);
}

fn observed(prompts: &[u64]) -> SizeMix {
    let mut sizes = SizeMix::default();
    for &prompt in prompts {
        sizes.observe(Size { prompt, output: 0 });
    }
    sizes
}

/// Each class of these prompts makes up a third of the tokens.
fn three_classes() -> SizeMix {
    let prompts = [(100, 1_000), (1_000, 100), (10_000, 10)].map(|(size, n)| vec![size; n]);
    let mut mixed = Vec::new();
    for n in 0..1_000 {
        mixed.extend(prompts.iter().filter_map(|p| p.get(n)));
    }
    // The first 400 prompts: the long ones come first, so decay gives the short ones the highest weight.
    observed(&mixed[..400])
}

#[test]
fn lanes_are_disjoint_and_cover_all() {
    let all = candidates(18);
    let sizes = three_classes();
    let in_lane = |lane| {
        let mut divided = all.clone();
        pick::assign_lanes(&mut divided, lane, SMALL_SHARE);
        (0..all.len())
            .filter(|&at| divided[at].lane_cost == 0)
            .collect::<Vec<_>>()
    };
    let large = |prompt| Lane::Large {
        sizes: &sizes,
        prompt,
    };

    let lanes = [Lane::Small, large(1), large(1_000), large(1_000_000)].map(in_lane);
    let mut together = lanes.concat();
    together.sort_unstable();

    assert_eq!(together, (0..18).collect::<Vec<_>>());
    assert!(lanes.iter().all(|lane| lane.len() >= 3));
}

/// If all upstreams of a lane are ejected, its requests use the other lanes.
#[test]
fn a_lane_without_a_usable_upstream_uses_the_others() {
    let mut all = candidates(8);
    pick::assign_lanes(&mut all, Lane::Small, SMALL_SHARE);
    for candidate in &mut all {
        candidate.is_ejected = candidate.lane_cost == 0;
    }

    let (at, reason) = pick_for(&all, Some(1), 0).expect("an upstream is picked");

    assert!(!all[at].is_ejected);
    assert_eq!(reason, Reason::Prefix);
}

/// After a burst or a loss of upstreams, the few upstreams of the smallest model can be busy while those of the
/// larger models have capacity. Requests of the smallest model must then use these.
#[test]
fn a_busy_lane_spills_into_the_others() {
    let mut all = candidates(14);
    for candidate in &mut all {
        candidate.awaiting_output = Some(0);
    }
    pick::assign_lanes(&mut all, Lane::Small, SMALL_SHARE);
    let small_model = request(Some(1), 100);
    let (quiet, _) = pick::pick(&all, small_model, 0).expect("an upstream is picked");
    assert_eq!(all[quiet].lane_cost, 0);
    for candidate in all.iter_mut().filter(|c| c.lane_cost == 0) {
        candidate.pending = 10_000;
    }

    let (busy, reason) = pick::pick(&all, small_model, 0).expect("an upstream is picked");

    assert!(all[busy].lane_cost > 0);
    assert_eq!(reason, Reason::Backlog);
}

/// With heavy-tailed prompt sizes, a twentieth of the prompts makes up half of the tokens.
#[test]
fn classes_have_equal_shares_of_the_work() {
    let prompts: Vec<u64> = (0..400)
        .map(|n| if n % 20 == 0 { 38_000 } else { 2_000 })
        .collect();

    let sizes = observed(&prompts);

    assert_eq!(sizes.class(2_000, 2), Some(0));
    assert_eq!(sizes.class(38_000, 2), Some(1));
    assert_eq!(sizes.class(100_000, 4), Some(3));
    assert_eq!(sizes.class(1, 4), Some(0));
}

/// Short prompts with long outputs are as much work as longer prompts.
#[test]
fn outputs_count_as_work() {
    let mut sizes = SizeMix::default();
    for n in 0..400 {
        let (prompt, output) = if n % 2 == 0 { (500, 350) } else { (4_000, 0) };
        sizes.observe(Size { prompt, output });
    }

    assert_eq!(sizes.class(500, 2), Some(0));
    assert_eq!(sizes.class(4_000, 2), Some(1));
}

/// If all gateways start at once, no size class may get all of the first requests, since sizes are not known yet.
#[test]
fn larger_models_share_all_their_upstreams_before_sizes_are_known() {
    let sizes = observed(&[10]);
    let mut all = candidates(18);
    let lane = Lane::Large {
        sizes: &sizes,
        prompt: 1_000_000,
    };

    pick::assign_lanes(&mut all, lane, SMALL_SHARE);

    assert_eq!(sizes.class(1_000_000, 4), None);
    let small = all.iter().filter(|c| c.serves_small).count();
    assert_eq!(all.iter().filter(|c| c.lane_cost == 0).count(), 18 - small);
}

/// Many gateways share the upstreams and each observes only its own requests, so a backlog that an upstream
/// reports must override prefix affinity.
#[test]
fn a_reported_backlog_overrides_prefix_affinity() {
    let mut all = candidates(18);
    for candidate in &mut all {
        candidate.awaiting_output = Some(0);
    }
    let (preferred, _) = pick_for(&all, Some(9), 0).expect("an upstream is picked");
    all[preferred].awaiting_output = Some(3);

    let (at, reason) = pick_for(&all, Some(9), 0).expect("an upstream is picked");

    assert_ne!(at, preferred);
    assert_eq!(reason, Reason::Backlog);
}

/// In any window, the extra sends of eight gateways stay within the ratio of the requests plus the slack. The
/// requests are the highest count of three windows: the current one, and those that end half a window and one
/// window earlier.
#[test]
fn extra_sends_stay_within_the_shared_budget() {
    fn property(steps: Vec<(u8, u8, bool)>) {
        let bounds = RetryBounds {
            ratio: 0.5,
            window: Millis(10_000),
            slack: 40.0,
        };
        let gateways = 8;
        let mut budgets = vec![RetryBudget::new(bounds); gateways];
        let (mut now, mut requests, mut extra) = (Millis(100_000), Vec::new(), Vec::new());
        for (gateway, pause, is_retry) in steps {
            now = now + Millis(u64::from(pause) * 4);
            let budget = &mut budgets[usize::from(gateway) % gateways];
            if !is_retry {
                budget.record_request(now);
                requests.push(now);
            } else if budget.take(now, gateways) {
                extra.push(now);
            }
            let count = |times: &[Millis], end: u64| {
                let window = end - bounds.window.0..=end;
                times.iter().filter(|t| window.contains(&t.0)).count()
            };
            let ends = [now.0, now.0 - 5_000, now.0 - 10_000];
            let most = ends.map(|end| count(&requests, end)).into_iter().max();
            assert!(count(&extra, now.0) <= most.unwrap_or(0) / 2 + 40);
        }
    }
    fixtures::check_property(11, property as fn(Vec<(u8, u8, bool)>));
}

/// While many requests escalate and upstreams crash, a request whose small answer was discarded must still have a
/// send left for another upstream.
#[test]
fn escalations_leave_a_part_of_the_budget_for_failures() {
    let bounds = RetryBounds {
        ratio: 0.9,
        window: Millis(10_000),
        slack: 176.0,
    };
    let (mut budget, gateways, now) = (RetryBudget::new(bounds), 68, Millis(100_000));
    for _ in 0..100 {
        budget.record_request(now);
    }

    let escalations = (0..200)
        .filter(|_| budget.take_for_escalation(now, gateways))
        .count();
    let retries = (0..200).filter(|_| budget.take(now, gateways)).count();

    // Of 72 sends for the requests and 2 of the slack.
    assert_eq!((escalations, retries), (70, 4));
}
