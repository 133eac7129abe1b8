//! New versions of a service without beacons, judged by several gateways that each see only some of the answers.

use actix_rt::time::sleep;

use super::model_store::{LinkState, ModelStore, Node};
use crate::fixtures::run_paused;
use crate::forward::follow::StoreEvent;
use crate::router::mix;
use crate::router::rollout::{Answer, Group, Phase, RequestProfile};
use crate::units::Millis;

const STATUS_KEY: &str = "status/rollout/pool";
const RAMP: Millis = Millis::from_secs(24);
/// Time between two requests of a service that gets 30 a second.
const INTERVAL: Millis = Millis(33);

/// A route with its part of the requests, and the part of its answers that fails on a sound version, in percent.
struct RouteLoad {
    percent: u64,
    failing_percent: u64,
}

/// One route rarely fails and one often does, also on a sound version.
const ROUTES: [RouteLoad; 2] = [
    RouteLoad {
        percent: 70,
        failing_percent: 1,
    },
    RouteLoad {
        percent: 30,
        failing_percent: 14,
    },
];

/// A day of a roll-out.
#[derive(Clone, Copy, Default)]
struct Day {
    /// Part of the new version's answers on the first route that fails, in percent, and from when on.
    bad: Option<(u64, Millis)>,
    /// Part of the old version's answers that fails while it is in trouble, in percent, from when to when.
    old_trouble: Option<(u64, Millis, Millis)>,
    /// Number of gateways that the store refuses, from when to when.
    refused: Option<(usize, Millis, Millis)>,
}

/// Plays a roll-out that several gateways judge; returns the phase that the store has in the end.
async fn play(seed: u64, gateways: u16, day: Day) -> Option<Phase> {
    let store = ModelStore::open();
    store.put_config(1);
    let nodes = Node::start_all(&store, gateways);
    sleep(Millis::from_secs(2).duration()).await;
    store.put(StoreEvent::RolloutOrder {
        service: "pool".into(),
        to: "v2".into(),
        ramp: RAMP,
    });
    let draw = |n: u64, what: u64| mix(seed << 40 ^ n << 8 ^ what);
    for n in 0..RAMP.0 / INTERVAL.0 {
        sleep(INTERVAL.duration()).await;
        let at = Millis(n * INTERVAL.0);
        if let Some((count, from, to)) = day.refused {
            let is_refused = at >= from && at < to;
            let state = if is_refused {
                LinkState::Refused
            } else {
                LinkState::Open
            };
            nodes[..count].iter().for_each(|node| node.link.set(state));
        }
        let node = usize::try_from(draw(n, 0) % u64::from(gateways)).expect("a small number");
        observe(&nodes[node], draw(n, 1), at, day);
    }
    sleep(Millis::from_secs(1).duration()).await;
    match store.get(STATUS_KEY)? {
        (StoreEvent::RolloutPhase { phase, .. }, _) => Some(phase),
        _ => None,
    }
}

/// Lets a gateway see the answer to one request.
fn observe(node: &Node, draw: u64, at: Millis, day: Day) {
    let now = node.shared.clock.now();
    let mut rollouts = node.shared.rollouts.borrow_mut();
    let Some(rollout) = rollouts.get_mut("pool") else {
        return;
    };
    let is_new = rollout.group(draw, now) == Group::New;
    let (version, route) = (
        if is_new { "v2" } else { "v1" },
        usize::from(mix(draw) % 100 >= ROUTES[0].percent),
    );
    let mut failing = ROUTES[route].failing_percent;
    match (day.bad, day.old_trouble) {
        (Some((percent, from)), _) if is_new && route == 0 && at >= from => failing = percent,
        (_, Some((percent, from, to))) if !is_new && (from..to).contains(&at) => {
            failing = failing.max(percent);
        }
        _ => {}
    }
    let answer = if mix(draw ^ 1) % 100 < failing {
        Answer::Failed
    } else {
        Answer::Good(Millis(20))
    };
    let profile = RequestProfile {
        route: route as u64 + 1,
        length: 0,
        model: 0,
    };
    rollout.observe(version, profile, answer, now);
}

/// Plays the same day with several seeds; returns how many end in each phase: complete, reverted, other.
fn count(seeds: u64, gateways: u16, day: Day) -> [u64; 3] {
    let mut counts = [0; 3];
    for seed in 0..seeds {
        run_paused(async {
            let at = match play(seed, gateways, day).await {
                Some(Phase::Complete) => 0,
                Some(Phase::Reverted) => 1,
                _ => 2,
            };
            counts[at] += 1;
        });
    }
    counts
}

const BAD_FROM_START: Option<(u64, Millis)> = Some((50, Millis(0)));

/// EXPOSURE: a version that fails half of its answers on one route was completed, since each of four gateways had seen few of them
/// among those of the other routes, and the old version was in trouble, too.
#[test]
fn a_plain_version_that_is_bad_on_one_route_is_stopped_beside_failing_old_upstreams() {
    let day = Day {
        bad: BAD_FROM_START,
        old_trouble: Some((15, Millis(11_000), Millis(19_000))),
        refused: None,
    };

    assert_eq!(count(20, 4, day), [0, 20, 0]);
}

/// EXPOSURE: as above, while the store refuses two of the four gateways.
#[test]
fn a_plain_version_that_is_bad_on_one_route_is_stopped_while_the_store_refuses_some() {
    let day = Day {
        bad: BAD_FROM_START,
        old_trouble: None,
        refused: Some((2, Millis(12_000), Millis(21_000))),
    };

    assert_eq!(count(20, 4, day), [0, 20, 0]);
}

/// EXPOSURE: a version that turned bad two seconds before the deadline was completed a second later.
#[test]
fn a_plain_version_that_turns_bad_just_before_the_deadline_is_stopped() {
    let day = Day {
        bad: Some((50, Millis(22_000))),
        ..Day::default()
    };

    assert_eq!(count(20, 4, day), [0, 20, 0]);
}

/// Good versions must not be stopped by what stops bad ones.
#[test]
fn a_good_plain_version_is_completed_on_the_same_days() {
    let days = [
        Day::default(),
        Day {
            old_trouble: Some((15, Millis(11_000), Millis(19_000))),
            ..Day::default()
        },
        Day {
            refused: Some((2, Millis(12_000), Millis(21_000))),
            ..Day::default()
        },
    ];
    for day in days {
        assert_eq!(count(20, 4, day), [20, 0, 0]);
    }
}
