//! Routing table, API keys, and how long keys are trusted.

use std::rc::Rc;

use crate::router::freshness::Freshness;
use crate::router::table::{Account, ClientLimits, RequestKind, Route, RouteTable, Target};
use crate::units::Millis;

fn route(host: &str, prefix: &str) -> Rc<Route> {
    Rc::new(Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: Millis(1_000),
        latency_target: Millis(100),
        priority: 1,
        attempts: 2,
        is_public: false,
        has_prompts: false,
        max_event_gap: Millis(0),
        models: Vec::new(),
        targets: vec![
            Target {
                service: "large".into(),
                weight: 90,
            },
            Target {
                service: "small".into(),
                weight: 10,
            },
        ],
        homes: Vec::new(),
    })
}

fn table(routes: Vec<Rc<Route>>) -> RouteTable {
    let account = Rc::new(Account {
        name: "shop".into(),
        priority: None,
        homes: Vec::new(),
    });
    let keys = vec![("key-1".into(), account)];
    RouteTable::new(1, routes, Vec::new(), Some(keys), ClientLimits::default())
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("a.example", "/"),
        route("a.example", "/x/"),
        route("a.example", "/x/y/"),
        route("b.example", "/x/y/z/"),
    ];
    let table = table(routes);
    let name = |host, path| table.route(host, path).map(|r| r.name.to_string());

    assert_eq!(
        name("a.example", "/x/y/z/1").as_deref(),
        Some("a.example/x/y/")
    );
    assert_eq!(name("a.example", "/x/q").as_deref(), Some("a.example/x/"));
    assert_eq!(name("a.example", "/xy").as_deref(), Some("a.example/"));
    assert_eq!(name("b.example", "/x/y/"), None);
    assert_eq!(name("c.example", "/"), None);
}

#[test]
fn services_get_requests_by_weight() {
    let route = route("a.example", "/");

    let large = (0..1_000).filter(|&draw| route.service(draw).is_some_and(|s| &**s == "large"));

    assert_eq!(large.count(), 900);
}

#[test]
fn keys_match_only_exactly() {
    let table = table(Vec::new());

    assert_eq!(table.account("key-1").map(|a| &*a.name), Some("shop"));
    assert_eq!(table.account("key-"), None);
    assert!(table.has_accounts());
}

/// Catch-up time of a deployment that leaves room for watches without changes.
const CATCH_UP: Millis = Millis(4_000);

/// A revoked key must not work for longer than allowed on a gateway that gets no answers from the store.
#[test]
fn keys_are_not_trusted_past_the_bound() {
    let mut freshness = Freshness::new(Some(Millis(5_000)), CATCH_UP);
    assert!(!freshness.is_trusted(Millis(0)));

    freshness.confirm(Millis(1_000));
    freshness.confirm(Millis(500));

    assert!(freshness.is_trusted(Millis(5_000)));
    assert!(!freshness.is_trusted(Millis(6_000)));
    assert_eq!(freshness.age(Millis(3_000)), Some(Millis(2_000)));
}

#[test]
fn keys_without_a_bound_are_trusted_once_known() {
    let mut freshness = Freshness::new(None, CATCH_UP);
    assert!(!freshness.is_trusted(Millis(0)));

    freshness.confirm(Millis(0));

    assert!(freshness.is_trusted(Millis::from_secs(3_600)));
}

/// While the store has no changes, one call every two seconds must be enough to keep the keys trusted.
#[test]
fn watches_without_changes_keep_keys_trusted_with_few_calls() {
    let mut freshness = Freshness::new(Some(Millis(5_000)), CATCH_UP);
    let (mut now, mut calls) = (Millis(0), 0);
    freshness.confirm(now);

    while now < Millis(60_000) {
        let (sent_at, wait) = (now, freshness.next_wait(now));
        now = now + wait + Millis(5);
        assert!(freshness.is_trusted(now));
        freshness.confirm_unchanged(sent_at, wait, now);
        calls += 1;
    }

    assert!(calls <= 60_000 / 2_000);
}

/// A watch whose connection has gone silent must be abandoned early enough for another call, however long keys may
/// be trusted.
#[test]
fn a_watch_leaves_time_to_catch_up() {
    for bound in [None, Some(Millis(5_000)), Some(Millis(60_000))] {
        let mut freshness = Freshness::new(bound, Millis(3_000));
        freshness.confirm(Millis(0));

        let wait = freshness.next_wait(Millis(0));

        assert!(wait <= Millis(3_000 - 700 - 300), "{bound:?}: {wait}");
    }
}

/// An answer before the end of the wait confirms the table only for the time at which the watch was sent.
#[test]
fn an_early_answer_confirms_only_the_time_of_the_call() {
    let mut freshness = Freshness::new(Some(Millis(5_000)), CATCH_UP);

    freshness.confirm_unchanged(Millis(100), Millis(2_000), Millis(1_500));
    assert_eq!(freshness.age(Millis(1_500)), Some(Millis(1_400)));
    freshness.confirm_unchanged(Millis(2_000), Millis(2_000), Millis(4_010));

    assert_eq!(freshness.age(Millis(4_010)), Some(Millis(1_010)));
}
