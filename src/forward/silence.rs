//! Decides, while a request waits, when a silent upstream is abandoned.

use std::cell::Cell;
use std::rc::Rc;

use actix_rt::time::{sleep, timeout};

use crate::platform::report;
use crate::router::fleet::Upstream;
use crate::router::silence_policy::{self, Limits, Next, ProbeResult, UpstreamActivity};
use crate::units::Millis;

use super::exchange;
use super::shared::Shared;

/// Time limit for an engine to report its load; the report does not need one of its request slots.
const ASK_TIMEOUT: Millis = Millis(250);

/// How a wait for an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Silence {
    /// The request is to be sent to another upstream.
    Leave,
    /// The request's deadline has passed.
    TimedOut,
}

/// The upstream that a request waits for, and the limits of the wait.
pub(super) struct Watched<'a> {
    pub(super) shared: &'a Shared,
    pub(super) upstream: &'a Rc<Upstream>,
    pub(super) service: &'a Rc<str>,
    pub(super) id: &'a [u8],
    pub(super) limits: Limits,
    /// Whether the request has attempts left for another upstream.
    pub(super) has_attempts: bool,
}

/// Returns once the upstream is to be abandoned; `last` holds the time of the last progress of the request.
pub(super) async fn wait(watched: Watched<'_>, last: &Cell<Millis>) -> Silence {
    let shared = watched.shared;
    let mut asked: Option<(Millis, ProbeResult)> = None;
    loop {
        let now = shared.clock.now();
        let since = last.get();
        let (id, boot) = (&watched.upstream.id, watched.upstream.boot);
        let has_recent_bytes = (shared.health.borrow_mut()).has_bytes_since(id, boot, since, now);
        let gateways = super::attempt::MAX_GATEWAYS;
        let can_reroute = watched.has_attempts
            && shared.with_budget(watched.service, |b| b.has_budget(now, gateways));
        let signs = UpstreamActivity {
            since,
            has_recent_bytes,
            state: asked.filter(|(at, _)| *at >= since).map(|(_, state)| state),
            can_reroute,
        };
        match silence_policy::next(&watched.limits, &signs, now) {
            Next::Wait(pause) => sleep(pause.duration()).await,
            Next::Reroute => return Silence::Leave,
            Next::TimedOut => return Silence::TimedOut,
            Next::Probe => {
                let state = ask(&watched).await;
                log::info!(event = "asked", request:% = String::from_utf8_lossy(watched.id),
                    upstream:% = id, silent_ms = now.since(since).0, state:? = state; "");
                asked = Some((shared.clock.now(), state));
            }
        }
    }
}

async fn ask(watched: &Watched<'_>) -> ProbeResult {
    watched.shared.metrics.event("upstream_asked");
    let load = timeout(ASK_TIMEOUT.duration(), fetch(watched.upstream)).await;
    let Ok(Some(load)) = load else {
        return ProbeResult::NoSign;
    };
    let id = std::str::from_utf8(watched.id).unwrap_or_default();
    if load.waiting > 0 || load.ids.iter().any(|known| known == id) {
        ProbeResult::AtWork
    } else {
        ProbeResult::NoSign
    }
}

async fn fetch(upstream: &Upstream) -> Option<report::EngineLoad> {
    let mut conn = exchange::connect(upstream.addr).await.ok()?;
    let (load, _) = exchange::fetch_report(&mut conn, upstream.addr, false).await?;
    Some(load)
}
