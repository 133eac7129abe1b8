//! Roll-outs across a restore of the store: what was recorded stays in force, is recorded again, and has one outcome.

use std::rc::Rc;

use actix_rt::time::sleep;

use super::model_store::{Copy, LinkState, ModelStore, Node};
use crate::fixtures::run_paused;
use crate::forward::follow::StoreEvent;
use crate::router::rollout::{Answer, Phase, RequestProfile};
use crate::units::Millis;

const STATUS_KEY: &str = "status/rollout/pool";

async fn pass(time: Millis) {
    sleep(time.duration()).await;
}

fn order(to: &str) -> StoreEvent {
    StoreEvent::RolloutOrder {
        service: "pool".into(),
        to: to.into(),
        ramp: Millis::from_secs(60),
    }
}

fn status(to: &str, phase: Phase) -> StoreEvent {
    StoreEvent::RolloutPhase {
        service: "pool".into(),
        to: to.into(),
        phase,
        revision: 0,
    }
}

fn phase(node: &Node) -> Option<(Rc<str>, Phase)> {
    let rollouts = node.shared.rollouts.borrow();
    let rollout = rollouts.get("pool")?;
    Some((Rc::clone(&rollout.to), rollout.phase()))
}

fn recorded(store: &ModelStore) -> Option<Phase> {
    match store.get(STATUS_KEY)? {
        (StoreEvent::RolloutPhase { phase, .. }, _) => Some(phase),
        _ => None,
    }
}

/// Starts three gateways and a roll-out to `v2` that is under way; returns a copy from then.
async fn rollout_under_way() -> (Rc<ModelStore>, Vec<Node>, Copy) {
    let store = ModelStore::open();
    store.put_config(1);
    let nodes = Node::start_all(&store, 3);
    pass(Millis::from_secs(5)).await;
    store.put(order("v2"));
    pass(Millis::from_secs(2)).await;
    assert_eq!(recorded(&store), Some(Phase::Active));
    let copy = store.copy();
    (store, nodes, copy)
}

/// The platform stops the old upstreams at the completion; a copy in which the roll-out is under way must not undo it, and the
/// operator, who reads the store, must find it again.
#[test]
fn an_outcome_that_the_copy_lacks_stays_in_force_and_is_recorded_again() {
    for outcome in [Phase::Complete, Phase::Reverted] {
        run_paused(async {
            let (store, nodes, copy) = rollout_under_way().await;
            store.put(status("v2", outcome));
            pass(Millis::from_secs(1)).await;

            store.take_away();
            pass(Millis(500)).await;
            store.restore(&copy);
            for _ in 0..30 {
                pass(Millis(100)).await;
                for node in &nodes {
                    assert_eq!(phase(node), Some(("v2".into(), outcome)));
                }
            }

            assert_eq!(recorded(&store), Some(outcome));
        });
    }
}

/// The record of a roll-out that is gone, order and all, must be written again with the condition of the new history.
#[test]
fn a_rollout_that_the_copy_lacks_goes_on_where_it_was() {
    run_paused(async {
        let store = ModelStore::open();
        store.put_config(1);
        let nodes = Node::start_all(&store, 3);
        pass(Millis::from_secs(5)).await;
        let copy = store.copy();
        store.put(order("v2"));
        pass(Millis::from_secs(2)).await;
        let started = |node: &Node| {
            let rollouts = node.shared.rollouts.borrow();
            rollouts
                .get("pool")
                .map(crate::router::rollout::Rollout::started)
        };
        let before: Vec<_> = nodes.iter().map(started).collect();

        store.restore(&copy);
        pass(Millis::from_secs(1)).await;
        store.put(order("v2"));
        pass(Millis::from_secs(2)).await;

        let after: Vec<_> = nodes.iter().map(started).collect();
        let moved = before.iter().zip(&after).map(|(before, after)| {
            let (before, after) = (
                before.expect("it is ordered"),
                after.expect("it is ordered"),
            );
            before.since(after).max(after.since(before))
        });
        assert!(moved.max() <= Some(Millis(50)), "{before:?} {after:?}");
        assert_eq!(recorded(&store), Some(Phase::Active));
    });
}

/// A gateway that has not heard of a completion must not record another outcome in the new history before the others have
/// recorded the completion again.
#[test]
fn a_gateway_that_missed_the_outcome_does_not_record_another_one() {
    run_paused(async {
        let (store, nodes, copy) = rollout_under_way().await;
        nodes[1].link.set(LinkState::Silent);
        pass(Millis(100)).await;
        store.put(status("v2", Phase::Complete));
        pass(Millis::from_secs(1)).await;
        store.take_away();
        pass(Millis(500)).await;
        store.restore(&copy);
        nodes[1].link.set(LinkState::Open);
        nodes[0].link.set(LinkState::Refused);
        nodes[2].link.set(LinkState::Refused);
        pass(Millis(800)).await;
        let now = nodes[1].shared.clock.now();
        let profile = RequestProfile {
            route: 1,
            length: 10,
            model: 0,
        };
        for _ in 0..10 {
            let mut rollouts = nodes[1].shared.rollouts.borrow_mut();
            let rollout = rollouts.get_mut("pool").expect("it is ordered");
            rollout.observe("v2", profile, Answer::Failed, now);
        }
        pass(Millis(200)).await;
        let early = recorded(&store);
        nodes[0].link.set(LinkState::Open);
        pass(Millis::from_secs(4)).await;

        assert_eq!(early, Some(Phase::Active));
        assert_eq!(recorded(&store), Some(Phase::Complete));
        assert_eq!(phase(&nodes[1]), Some(("v2".into(), Phase::Complete)));
    });
}

/// An earlier order that the copy lists must not replace the one that the operator gave since; it counts only if the operator
/// does not write again.
#[test]
fn an_earlier_order_in_the_copy_does_not_replace_a_later_one() {
    for is_written_again in [true, false] {
        run_paused(async {
            let (store, nodes, _) = rollout_under_way().await;
            store.put(status("v2", Phase::Complete));
            let copy = store.copy();
            store.put(order("v3"));
            pass(Millis::from_secs(2)).await;

            store.restore(&copy);
            pass(Millis(1_800)).await;
            let unsettled: Vec<_> = nodes.iter().map(phase).collect();
            if is_written_again {
                store.put(order("v3"));
            }
            pass(Millis::from_secs(3)).await;

            assert!(
                unsettled
                    .iter()
                    .all(|p| *p == Some(("v3".into(), Phase::Active)))
            );
            let settled = if is_written_again {
                ("v3".into(), Phase::Active)
            } else {
                ("v2".into(), Phase::Complete)
            };
            assert!(
                nodes.iter().all(|n| phase(n) == Some(settled.clone())),
                "{is_written_again}"
            );
        });
    }
}
