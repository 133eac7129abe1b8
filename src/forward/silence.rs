//! Decides, while a request waits, when a silent upstream is abandoned.

use std::cell::Cell;
use std::rc::Rc;

use actix_rt::time::{sleep, timeout};

use crate::router::fleet::Upstream;
use crate::router::silence_policy::{self, Limits, NextAction, ProbeResult, UpstreamActivity};
use crate::units::Millis;

use super::exchange::{self, FetchedReport};
use super::notices::LeavingSource;
use super::shared::Shared;

/// Time limit for an engine to report its load; the report does not need one of its request slots.
const PROBE_TIMEOUT: Millis = Millis(250);

/// How a wait for an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SilenceOutcome {
    /// The request is to be sent to another upstream.
    Leave,
    /// The request's deadline has passed.
    TimedOut,
}

/// The upstream that a request waits for, and the limits of the wait.
pub(super) struct SilenceWatch<'a> {
    pub(super) shared: &'a Shared,
    pub(super) upstream: &'a Rc<Upstream>,
    pub(super) service: &'a Rc<str>,
    pub(super) id: &'a [u8],
    pub(super) limits: Limits,
    /// Whether the request has attempts left for another upstream.
    pub(super) has_attempts: bool,
}

/// Returns once the upstream is to be abandoned; `last_progress_at` holds the time at which the request last
/// made progress.
pub(super) async fn wait(
    watch: SilenceWatch<'_>,
    last_progress_at: &Cell<Millis>,
) -> SilenceOutcome {
    let shared = watch.shared;
    let mut probed: Option<(Millis, ProbeResult)> = None;
    loop {
        let now = shared.clock.now();
        let since = last_progress_at.get();
        let (id, boot) = (&watch.upstream.id, watch.upstream.boot);
        let has_recent_bytes = (shared.health.borrow_mut()).has_bytes_since(id, boot, since, now);
        let gateways = shared.gateways_sharing_budget(now);
        let can_reroute = watch.has_attempts
            && shared.with_budget(watch.service, |b| b.has_budget(now, gateways));
        let activity = UpstreamActivity {
            since,
            has_recent_bytes,
            state: probed
                .filter(|(at, _)| *at >= since)
                .map(|(_, state)| state),
            can_reroute,
        };
        let is_reported_at_work = |since, now| {
            let mut health = shared.health.borrow_mut();
            health.entry(id, boot, now).is_reported_at_work(since, now)
        };
        match silence_policy::next(&watch.limits, &activity, now) {
            NextAction::Wait(pause) => sleep(pause.duration()).await,
            NextAction::Reroute => return SilenceOutcome::Leave,
            NextAction::TimedOut => return SilenceOutcome::TimedOut,
            // An upstream that pauses has answered not long ago.
            NextAction::Probe if shared.pauses.borrow().is_paused(id, boot, now) => {
                probed = Some((now, ProbeResult::AtWork));
            }
            // The beacon beside it has just told what a probe would.
            NextAction::Probe if is_reported_at_work(since, now) => {
                shared.metrics.count_event("upstream_reported");
                probed = Some((now, ProbeResult::AtWork));
            }
            NextAction::Probe => {
                let state = probe(&watch).await;
                log::info!(event = "asked", request:% = String::from_utf8_lossy(watch.id),
                    upstream:% = id, silent_ms = now.since(since).0, state:? = state; "");
                probed = Some((shared.clock.now(), state));
            }
        }
    }
}

async fn probe(watch: &SilenceWatch<'_>) -> ProbeResult {
    watch.shared.metrics.count_event("upstream_asked");
    let load = timeout(
        PROBE_TIMEOUT.duration(),
        fetch_report(watch.shared, watch.upstream),
    )
    .await;
    let Ok(Some(report)) = load else {
        return ProbeResult::NoSign;
    };
    let load = report.load;
    if report.is_leaving && load.boot.is_none_or(|boot| boot == watch.upstream.boot) {
        (watch.shared).record_leaving(
            &watch.upstream.id,
            watch.upstream.boot,
            LeavingSource::Probe,
        );
    }
    let id = std::str::from_utf8(watch.id).unwrap_or_default();
    if load.waiting > 0 || load.ids.iter().any(|listed| listed == id) {
        ProbeResult::AtWork
    } else {
        ProbeResult::NoSign
    }
}

async fn fetch_report(shared: &Shared, upstream: &Upstream) -> Option<FetchedReport> {
    let mut conn = exchange::connect(upstream.addr, &shared.answer_memory)
        .await
        .ok()?;
    exchange::fetch_report(&mut conn, upstream.addr, false).await
}
