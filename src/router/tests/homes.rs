//! Home regions of routes and client accounts.

use std::rc::Rc;

use crate::router::homes::{Regions, is_home};
use crate::router::table::{Account, RequestKind, Route};
use crate::units::Millis;

fn regions() -> Regions {
    let regions = [("y", "west"), ("x", "east"), ("z", "north")];
    Regions::new(
        regions
            .map(|(name, region)| (name.into(), region.into()))
            .to_vec(),
    )
}

fn names(texts: &[&str]) -> Vec<Rc<str>> {
    texts.iter().map(|text| Rc::from(*text)).collect()
}

fn route(homes: &[&str]) -> Route {
    Route {
        name: "r".into(),
        host: "h.example".into(),
        prefix: "/".into(),
        kind: RequestKind::Idempotent,
        timeout: Millis(1_000),
        latency_target: Millis(100),
        priority: 1,
        attempts: 2,
        is_public: false,
        has_prompts: false,
        max_event_gap: Millis(0),
        models: Vec::new(),
        targets: Vec::new(),
        homes: names(homes),
    }
}

fn account(homes: &[&str]) -> Account {
    Account {
        name: "shop".into(),
        priority: None,
        homes: names(homes),
    }
}

fn allowed(route_homes: &[&str], account_homes: Option<&[&str]>) -> Vec<&'static str> {
    let (route, account) = (route(route_homes), account_homes.map(account));
    let all = ["x", "y", "z", "unknown"];
    let is_allowed = |name: &&str| is_home(&route, account.as_ref(), &regions(), name);
    all.into_iter().filter(is_allowed).collect()
}

#[test]
fn requests_without_homes_may_go_anywhere() {
    assert_eq!(allowed(&[], None), ["x", "y", "z", "unknown"]);
    assert_eq!(allowed(&[], Some(&[])), ["x", "y", "z", "unknown"]);
}

/// A data centre that the settings do not name may be anywhere.
#[test]
fn requests_with_homes_stay_in_their_regions() {
    assert_eq!(allowed(&["west"], None), ["y"]);
    assert_eq!(allowed(&[], Some(&["north", "east"])), ["x", "z"]);
}

#[test]
fn homes_of_the_route_and_of_the_account_both_bind() {
    assert_eq!(allowed(&["west", "east"], Some(&["east", "north"])), ["x"]);
    assert_eq!(allowed(&["west"], Some(&["east"])), [""; 0]);
}
