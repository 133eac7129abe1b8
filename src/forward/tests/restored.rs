//! A store that comes back from a copy: gateways must trust only what belongs to its present history.

use actix_rt::time::{Instant, sleep};

use super::fixture::registered;
use super::model_store::{LinkState, ModelStore, Node};
use crate::fixtures::run_paused;
use crate::forward::follow::StoreEvent;
use crate::router::fleet::{Upstream, UpstreamState};
use crate::units::Millis;

/// Time within which a gateway must have the store's state again; the shortest bound of the deployments.
const CATCH_UP: Millis = Millis(3_000);

/// Reads a second that the stores of all deployments allow.
const MAX_READS_PER_S: usize = 2_000;

async fn pass(time: Millis) {
    sleep(time.duration()).await;
}

fn upstream(id: &str, state: UpstreamState, seq: u64) -> StoreEvent {
    let addr = "127.0.0.1:1".parse().expect("the address is valid");
    StoreEvent::Upstream(Upstream {
        id: id.into(),
        state,
        seq,
        ..registered(0, addr)
    })
}

fn ready(id: &str, seq: u64) -> StoreEvent {
    upstream(id, UpstreamState::Ready, seq)
}

/// Returns the upstreams that a gateway may use.
fn usable(node: &Node) -> Vec<String> {
    let now = node.shared.clock.now();
    let fleet = node.shared.fleet.borrow();
    fleet.ready("pool", now).map(|u| u.id.to_string()).collect()
}

/// Gateways that do not reach the store while its new history passes the revision that they watch from get no 410: they must
/// not miss what was written at lower revisions.
#[test]
fn a_change_at_a_revision_that_was_given_out_before_is_not_missed() {
    for state in [LinkState::Frozen, LinkState::Refused, LinkState::Silent] {
        run_paused(async {
            let store = ModelStore::open();
            store.put_config(1);
            let nodes = Node::start_all(&store, 3);
            pass(Millis::from_secs(5)).await;
            let copy = store.copy();
            for version in 2..6 {
                store.put_config(version);
            }
            pass(Millis::from_secs(2)).await;
            nodes[0].link.set(state);

            store.take_away();
            pass(Millis::from_secs(2)).await;
            store.restore(&copy);
            pass(Millis::from_secs(2)).await;
            store.put_config(6);
            for _ in 0..10 {
                store.remove("servers/other");
            }
            pass(Millis::from_secs(2)).await;
            nodes[0].link.set(LinkState::Open);
            pass(CATCH_UP).await;

            let versions: Vec<_> = nodes.iter().map(Node::version).collect();
            assert_eq!(versions, [6; 3], "{state:?}");
        });
    }
}

/// Between a restore and the moment at which upstreams have registered again, those that the copy lacks serve on, and those
/// that have left since are not used again.
#[test]
fn a_copy_neither_takes_upstreams_away_nor_brings_back_those_that_left() {
    run_paused(async {
        let store = ModelStore::open();
        store.put_config(1);
        for id in ["drains", "leaves", "stays"] {
            store.put(ready(id, 1));
        }
        let nodes = Node::start_all(&store, 3);
        pass(Millis::from_secs(5)).await;
        let copy = store.copy();
        store.put(upstream("drains", UpstreamState::Draining, 2));
        store.remove("servers/leaves");
        store.put(ready("joins", 1));
        pass(Millis::from_secs(2)).await;

        store.take_away();
        pass(Millis(300)).await;
        store.restore(&copy);
        let mut seen = Vec::new();
        for _ in 0..19 {
            pass(Millis(100)).await;
            seen.extend(nodes.iter().map(usable));
        }
        store.put(upstream("drains", UpstreamState::Draining, 2));
        store.put(ready("joins", 1));
        for _ in 0..30 {
            pass(Millis(100)).await;
            seen.extend(nodes.iter().map(usable));
        }

        seen.sort();
        seen.dedup();
        assert_eq!(seen, [["joins", "stays"]]);
    });
}

/// A watch can outlast a restore, and end with a departure of the new history. The gateway then lists a history without the upstream,
/// and cannot tell whether it left or has yet to register again; the departure must be in force in time all the same.
#[test]
fn a_departure_that_tells_of_the_restore_is_in_force_in_time() {
    run_paused(async {
        let store = ModelStore::open();
        store.put_config(1);
        store.put(ready("leaves", 1));
        store.put(ready("stays", 1));
        let nodes = Node::start_all(&store, 3);
        pass(Millis::from_secs(5)).await;
        let copy = store.copy();
        store.put_config(2);
        pass(Millis::from_secs(1)).await;
        store.restore(&copy);
        // The new history reaches the revision that the watches wait at.
        store.put_config(2);
        pass(Millis::from_secs(1)).await;

        store.remove("servers/leaves");
        pass(nodes[0].shared.policy().change_bound).await;

        let seen: Vec<_> = nodes.iter().map(usable).collect();
        assert_eq!(seen, [["stays"], ["stays"], ["stays"]]);
    });
}

/// A gateway that starts on the older copy knows no better; it must not serve by it before the operator has written again.
#[test]
fn a_gateway_that_starts_on_the_older_copy_does_not_serve_by_it() {
    run_paused(async {
        let store = ModelStore::open();
        store.put_config(1);
        let copy = store.copy();
        store.put_config(2);
        store.take_away();
        store.restore(&copy);

        let node = Node::start(&store, "starts");
        pass(Millis(1_900)).await;
        let (early, is_loaded) = (node.version(), node.shared.is_loaded.get());
        store.put_config(2);
        pass(Millis(100)).await;

        assert_eq!((early, is_loaded), (0, false));
        assert_eq!((node.version(), node.shared.is_ready()), (2, true));
    });
}

/// In a deployment whose store was restored long ago, a start must not wait: some gateway has recorded that the era is settled.
#[test]
fn a_gateway_that_starts_in_a_settled_era_serves_at_once() {
    run_paused(async {
        let store = ModelStore::open();
        store.put_config(1);
        let copy = store.copy();
        let nodes = Node::start_all(&store, 3);
        pass(Millis::from_secs(5)).await;
        store.restore(&copy);
        pass(Millis::from_secs(5)).await;

        let node = Node::start(&store, "starts");
        pass(Millis(100)).await;

        assert!(node.shared.is_ready());
        assert_eq!(node.version(), 1);
        assert!(
            store.settled_writes.get() <= 2 * 3,
            "{}",
            store.settled_writes.get()
        );
        drop(nodes);
    });
}

/// A revoked key must stop working in time even if the revocation is not in the copy and a gateway has never seen it.
#[test]
fn the_older_copy_does_not_confirm_that_keys_are_current() {
    run_paused(async {
        let store = ModelStore::open();
        store.put_config(1);
        let node = Node::start(&store, "g");
        pass(Millis::from_secs(5)).await;
        let copy = store.copy();
        node.link.set(LinkState::Silent);
        pass(Millis(100)).await;
        // Takes a key away.
        store.put_config(2);
        let revoked_at = node.shared.clock.now();
        pass(Millis(3_900)).await;
        store.restore(&copy);
        node.link.set(LinkState::Open);

        let bound = node
            .shared
            .policy()
            .key_revocation
            .expect("keys have a bound");
        let mut trusted_too_long = Millis(0);
        for step in 0..60 {
            if step == 19 {
                store.put_config(2);
            }
            pass(Millis(100)).await;
            let now = node.shared.clock.now();
            let accepts_key = node.version() == 1 && node.shared.freshness.borrow().is_trusted(now);
            if accepts_key {
                trusted_too_long = trusted_too_long.max(now.since(revoked_at + bound));
            }
        }

        assert_eq!(trusted_too_long, Millis(0));
        assert!(node.shared.is_ready());
        assert_eq!(node.version(), 2);
    });
}

/// With few or many gateways, some of them silent, frozen or starting: what was confirmed is in force everywhere soon after it is
/// written again, nothing older comes back meanwhile, and the listings do not exceed what the store allows.
#[test]
fn gateways_of_any_number_take_in_a_new_era_without_a_herd() {
    for count in [3, 68, 410] {
        run_paused(async {
            let store = ModelStore::open();
            store.put_config(1);
            let mut nodes = Node::start_all(&store, count);
            pass(Millis::from_secs(5)).await;
            let copy = store.copy();
            store.put_config(2);
            pass(Millis::from_secs(3)).await;
            for (n, node) in nodes.iter().enumerate() {
                match n % 5 {
                    0 => node.link.set(LinkState::Frozen),
                    1 => node.link.set(LinkState::Silent),
                    _ => {}
                }
            }
            store.take_away();
            pass(Millis::from_secs(2)).await;

            let restored_at = Instant::now();
            store.restore(&copy);
            // Some processes start on the copy.
            let last = nodes.len() - 1;
            nodes[last] = Node::start(&store, "starts");
            nodes[last].tell_count(count);
            let mut versions = Vec::new();
            for step in 0..80_u64 {
                match step {
                    10 => _ = store.put_config(2),
                    25 => _ = store.put_config(3),
                    30 => nodes.iter().for_each(|node| node.link.set(LinkState::Open)),
                    _ => {}
                }
                pass(Millis(100)).await;
                versions.extend(nodes.iter().map(Node::version));
                if step == 30 + CATCH_UP.0 / 100 {
                    assert!(nodes.iter().all(|node| node.version() == 3), "{count}");
                }
            }

            versions.sort_unstable();
            versions.dedup();
            assert_eq!(versions, [0, 2, 3], "{count}");
            let most = store.most_reads_in_a_second(restored_at);
            assert!(
                most <= MAX_READS_PER_S,
                "{most} reads in a second by {count} gateways"
            );
        });
    }
}
