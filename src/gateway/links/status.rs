//! Messages between a gateway and an agent other than requests: status, sheet messages and crash reports.

use super::super::shared::Shared;
use crate::ids::UpstreamId;
use crate::membership::{Evidence, SILENCE_TIMEOUT};
use crate::peer::{Link, Status};
use crate::route::pick::LoadSource;
use crate::suspect;
use crate::units::Millis;

/// Time between two exchanges of sheet messages with an agent that has the same revision.
///
/// They confirm the sheet to a process that is cut off from the key-value service, so that it can serve
/// without that service for hours.
const EXCHANGE_INTERVAL: Millis = Millis::from_secs(10);

/// Maximum number of consecutive exchanges of sheet messages with one agent; a sheet of 1 MB takes four.
const MAX_EXCHANGE_ROUNDS: usize = 16;

/// Returns whether an exchange of sheet messages is due, and if so, schedules the next one.
///
/// It is due at once if the revisions differ, otherwise at every [`EXCHANGE_INTERVAL`].
pub(super) fn is_exchange_due(shared: &Shared, upstream: &UpstreamId, revision: u64) -> bool {
    let now = shared.clock.now();
    let mut links = shared.links.borrow_mut();
    let Ok(at) = links.entries.binary_search_by(|e| e.upstream.cmp(upstream)) else {
        return false;
    };
    let entry = &mut links.entries[at];
    let is_due = revision != shared.follower.revision() || now >= entry.next_exchange;
    if is_due {
        entry.next_exchange = now + EXCHANGE_INTERVAL;
    }
    is_due
}

/// Applies an agent's status.
pub(super) fn apply_status(shared: &Shared, upstream: &UpstreamId, agent: &Status) {
    let now = shared.clock.now();
    let mut links = shared.links.borrow_mut();
    links
        .members
        .observe(upstream, Evidence::MessageReceived(agent.incarnation), now);
    if agent.leaving {
        links
            .members
            .observe(upstream, Evidence::Leaving(agent.incarnation), now);
    }
    links.observe_load(upstream, agent.running, now, LoadSource::Report);
    drop(links);
    if let Some(reports) = suspect::decode(&agent.suspects) {
        let now = shared.clock.unix();
        shared.suspects.borrow_mut().merge(&reports, now);
    }
}

/// Returns this gateway's status, with every known crash report if `all` is set, otherwise with recent ones.
pub(in super::super) fn own_status(shared: &Shared, all: bool) -> Status {
    let flushed = serde_json::to_vec(shared.ledger.borrow().flushed());
    let now = shared.clock.unix();
    let suspects = shared.suspects.borrow();
    let reports = suspects.reports().iter();
    let recent = reports
        .filter(|r| all || now.since(r.at) < suspect::REPORT_RESEND_PERIOD)
        .copied();
    Status {
        name: shared.name.clone(),
        incarnation: shared.incarnation,
        revision: shared.follower.revision(),
        leaving: shared.stopping.get(),
        running: 0,
        flushed: flushed.unwrap_or_default().into(),
        suspects: suspect::encode(&recent.collect::<Vec<_>>()).into(),
    }
}

/// Exchanges sheet messages with an agent until neither side has more.
pub(in super::super) async fn exchange_sheets(shared: &Shared, upstream: &UpstreamId, link: &Link) {
    for _ in 0..MAX_EXCHANGE_ROUNDS {
        let Some(messages) = shared.follower.take_messages(upstream.as_str()) else {
            return;
        };
        let Ok(replies) = link.exchange(&messages, SILENCE_TIMEOUT).await else {
            return;
        };
        if !replies.is_empty() && shared.follower.on_messages(&replies).is_none() {
            log::warn!(event = "sheet_messages_malformed", upstream = upstream.as_str(); "");
            return;
        }
    }
}

/// Sends all known crash reports to all agents, before a caller is notified of the crash.
pub(in super::super) async fn send_crash_reports(shared: &Shared) {
    let reports = suspect::encode(shared.suspects.borrow().reports());
    let links = shared.links.borrow().all();
    let sends = links
        .iter()
        .map(|(_, link)| link.suspects(&reports, SILENCE_TIMEOUT));
    futures_util::future::join_all(sends).await;
}

/// Fetches the crash reports of an agent at once instead of with the next heartbeat.
pub(in super::super) async fn fetch_crash_reports(
    shared: &Shared,
    upstream: &UpstreamId,
    link: &Link,
) {
    if let Ok(agent) = link
        .status(&own_status(shared, false), SILENCE_TIMEOUT)
        .await
    {
        apply_status(shared, upstream, &agent);
    }
}
