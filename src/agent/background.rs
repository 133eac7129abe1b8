//! Periodic work of an agent and its admin listener.

use std::rc::Rc;

use actix_rt::time::sleep;
use serde_json::json;

use super::shared::Shared;
use super::stall;
use crate::http::{Handler, Incoming, Outgoing};
use crate::ledger::{HeldEffect, write_orphans};
use crate::units::Millis;

/// Interval between steps of the periodic work.
const STEP_INTERVAL: Millis = Millis(250);

/// Runs the periodic work until the task is aborted.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        stall::record_step(&shared);
        let now = shared.clock.now();
        shared.answers.borrow_mut().sweep(now);
        let effects = shared.held_charges.borrow_mut().step(now);
        for HeldEffect::WriteOrphans(page) in effects {
            let shared = Rc::clone(&shared);
            actix_rt::spawn(async move {
                let result = write_orphans(&*shared.kv, &page).await;
                let now = shared.clock.now();
                shared
                    .held_charges
                    .borrow_mut()
                    .on_written(page.gateway, page.page, result, now);
            });
        }
        export_metrics(&shared);
        sleep(STEP_INTERVAL.duration()).await;
    }
}

fn export_metrics(shared: &Shared) {
    shared.metrics.set_call_counts(shared.kv.counts());
    let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
    shared
        .metrics
        .set_gauge("answers", count(shared.answers.borrow().len()));
    shared
        .metrics
        .set_gauge("charge_copies", count(shared.held_charges.borrow().len()));
    shared
        .metrics
        .set_gauge("running", i64::from(shared.running.get()));
    let revision = i64::try_from(shared.follower.revision()).unwrap_or(i64::MAX);
    shared.metrics.set_gauge("revision", revision);
}

/// Returns the handler of the admin listener.
pub(super) fn admin_handler(shared: Rc<Shared>) -> Handler {
    Rc::new(move |incoming: Incoming| {
        let outgoing = respond(&shared, &incoming.path);
        Box::pin(async move { outgoing })
    })
}

fn respond(shared: &Shared, path: &str) -> Outgoing {
    let ready = !shared.leaving.get() && shared.follower.may_serve();
    match path {
        "/healthz" => Outgoing::full(200, "text/plain", "ok\n"),
        "/readyz" if ready => Outgoing::full(200, "text/plain", "ready\n"),
        "/readyz" => Outgoing::full(503, "text/plain", "not ready\n"),
        "/metrics" => Outgoing::full(200, "text/plain; version=0.0.4", shared.metrics.text()),
        "/status" => Outgoing::json(
            200,
            &json!({
                "upstream": shared.upstream,
                "data_centre": shared.data_centre,
                "incarnation": shared.incarnation,
                "revision": shared.follower.revision(),
                "leaving": shared.leaving.get(),
                "running": shared.running.get(),
            }),
        ),
        _ => Outgoing::full(404, "text/plain", "not found\n"),
    }
}
