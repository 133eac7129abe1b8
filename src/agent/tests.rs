//! Tests of admission, prices and slots.

use std::rc::Rc;

use super::slots::{SlotRequest, Slots};
use super::{admission, price};
use crate::clock::Clock;
use crate::fixtures::{self, check_property, run_paused};
use crate::ids::{Incarnation, RequestId, VersionRef};
use crate::ledger::Item;
use crate::peer::{RunRequest, Target};
use crate::refusal::{Code, RunStatus};
use crate::sheet::{Price, Priority, Sheet, VersionState};
use crate::units::{Micros, Millis, Tokens};

const DEADLINE: Millis = Millis::from_secs(60);

fn request(account: &str, target: Target) -> RunRequest {
    RunRequest {
        request: RequestId {
            gateway: Incarnation(1),
            seq: 1,
        },
        step: 0,
        attempt: 0,
        account: account.into(),
        class: "tags".into(),
        target,
        pinned: false,
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        content_type: String::new(),
        body: bytes::Bytes::new(),
        idempotency_key: None,
        idempotent: true,
        wait: true,
        deadline: DEADLINE,
        revision: 1,
    }
}

fn small() -> Target {
    Target::Version(VersionRef::new("small", "v1"))
}

fn with_state(state: VersionState) -> Sheet {
    let mut sheet = fixtures::sheet();
    let small = sheet.models.iter_mut().find(|m| m.id.as_str() == "small");
    small.expect("the fixture has the model").versions[0].state = state;
    sheet
}

fn is_granted(slot_request: &SlotRequest) -> bool {
    matches!(slot_request, SlotRequest::Granted(_))
}

// Guards against a request that runs although its account, version or upstream does not allow it.
#[test]
fn only_what_the_sheet_allows_is_admitted() {
    let sheet = fixtures::sheet();
    let engine = "engine-a".into();
    let large = || Target::Version(VersionRef::new("large", "v1"));
    let orders = || Target::Service("orders".into());
    let code = |sheet: &Sheet, upstream: &str, req: &RunRequest| {
        admission::admit(sheet, &upstream.into(), req).map_err(|refusal| {
            assert_eq!(refusal.ran, RunStatus::NotRun);
            refusal.code
        })
    };

    assert_eq!(
        admission::admit(&sheet, &engine, &request("school", small())),
        Ok(4)
    );
    let refused = [
        ("engine-b", request("school", large()), Code::Forbidden),
        ("engine-a", request("nobody", small()), Code::Forbidden),
        ("engine-a", request("shop", large()), Code::NoUpstream),
        ("orders-a", request("school", orders()), Code::Forbidden),
        ("orders-a", request("shop", small()), Code::NoUpstream),
        ("engine-a", request("shop", orders()), Code::NoUpstream),
        ("elsewhere", request("shop", small()), Code::NoUpstream),
    ];
    for (upstream, req, expected) in refused {
        assert_eq!(
            code(&sheet, upstream, &req),
            Err(expected),
            "{upstream} {req:?}"
        );
    }
}

// Guards against a request for a withdrawn version, and against one without a session for a draining version.
#[test]
fn draining_versions_admit_only_their_sessions_and_withdrawn_ones_nothing() {
    let engine = "engine-a".into();
    let mut pinned = request("shop", small());
    pinned.pinned = true;
    let admitted = |state, req: &RunRequest| {
        admission::admit(&with_state(state), &engine, req).map_err(|refusal| refusal.code)
    };

    let new = request("shop", small());
    assert_eq!(admitted(VersionState::Draining, &pinned), Ok(4));
    assert_eq!(
        admitted(VersionState::Draining, &new),
        Err(Code::VersionWithdrawn)
    );
    assert_eq!(
        admitted(VersionState::Withdrawn, &pinned),
        Err(Code::VersionWithdrawn)
    );
}

// Guards against a call that is charged at the price of another one, and against a wrong token price.
#[test]
fn the_price_of_the_longest_matching_prefix_applies() {
    let mut sheet = fixtures::sheet();
    let price = |item: &str, prefix: &str, amount| Price {
        item: item.to_owned(),
        method: "POST".to_owned(),
        path_prefix: prefix.to_owned(),
        amount: Micros(amount),
    };
    sheet.services[0].prices = vec![
        price("order", "/orders", 5),
        price("express", "/orders/express", 9),
    ];
    let charged = |path: &str, method: &str| {
        let mut req = request("shop", Target::Service("orders".into()));
        req.path = path.to_owned();
        req.method = method.to_owned();
        let charge = price::call(&sheet, &req, &"orders".into());
        charge.map(|charge| (charge.item, charge.amount))
    };
    let call = |item: &str, amount| Some((Item::Call(item.to_owned()), Micros(amount)));

    assert_eq!(charged("/orders", "POST"), call("order", 5));
    assert_eq!(charged("/orders/7?x=1", "POST"), call("order", 5));
    assert_eq!(charged("/orders/express/7", "POST"), call("express", 9));
    assert_eq!(charged("/orders-of-others", "POST"), None);
    assert_eq!(charged("/orders", "GET"), None);
    let charge = price::tokens(
        &sheet,
        &request("shop", small()),
        Tokens(500),
        Tokens(1_500),
    );
    assert_eq!(charge.map(|c| c.amount), Some(Micros(400_000)));
}

// Guards against a request of low priority that is served before one of high priority.
#[test]
fn a_free_slot_goes_to_the_highest_priority() {
    run_paused(async {
        let slots = Slots::new(Clock::start());
        let held = slots
            .request_slot(1, Priority::Low, DEADLINE)
            .expect("a slot is free");
        let low = slots
            .request_slot(1, Priority::Low, DEADLINE)
            .expect("the request is queued");
        let high = slots
            .request_slot(1, Priority::High, DEADLINE)
            .expect("the request is queued");
        let order = Rc::new(std::cell::RefCell::new(Vec::new()));
        let wait = |name: &'static str, slot_request: SlotRequest| {
            let order = Rc::clone(&order);
            async move {
                let slot = slot_request.wait().await;
                order.borrow_mut().push(name);
                drop(slot);
            }
        };

        let (low, high) = (wait("low", low), wait("high", high));
        drop(held);
        futures_util::future::join(low, high).await;

        assert_eq!(*order.borrow(), ["high", "low"]);
    });
}

// Guards against a slot that is lost or granted twice when a request is dropped while it waits, or just after
// the slot was handed to it.
#[test]
fn slots_are_neither_lost_nor_granted_twice() {
    fn property(ops: Vec<(bool, u8)>, count: u8) -> bool {
        run_paused(async {
            let count = u32::from(count % 4) + 1;
            let slots = Slots::new(Clock::start());
            let mut slot_requests = Vec::new();
            for (enter, arg) in ops {
                if enter {
                    let priority = [Priority::Low, Priority::Normal, Priority::High];
                    let priority = priority[usize::from(arg % 3)];
                    slot_requests.extend(slots.request_slot(count, priority, DEADLINE));
                } else if !slot_requests.is_empty() {
                    drop(slot_requests.remove(usize::from(arg) % slot_requests.len()));
                }
            }
            drop(slot_requests);
            let held: Vec<_> = (0..=count)
                .map(|_| slots.request_slot(count, Priority::High, DEADLINE))
                .collect();
            let free = held
                .iter()
                .flatten()
                .filter(|slot_request| is_granted(slot_request))
                .count();
            free == usize::try_from(count).unwrap_or_default()
        })
    }
    check_property(1, property as fn(Vec<(bool, u8)>, u8) -> bool);
}
