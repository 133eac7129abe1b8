//! Forwarding of an event stream, over one or more upstreams.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{BufMut, BytesMut};

use crate::router::rollout::{Answer, PACE_EVENTS};
use crate::router::silence_policy::Limits;
use crate::units::Millis;

use super::answer_times;
use super::attempt::observe_version;
use super::body::Decoder;
use super::client::ClientConn;
use super::events::EventBuffer;
use super::exchange::{self, ExchangeError};
use super::head::ResponseHead;
use super::job::Job;
use super::pool::Conn;
use super::reply::{self, BodyFraming};
use super::shared::Shared;
use super::silence::{self, SilenceOutcome, SilenceWatch};

/// Share of the longest event gap, in percent, after which a stream is moved away from an upstream that is
/// silent on all connections; the rest is left for the next upstream to begin.
const SILENCE_LIMIT_PERCENT: u64 = 70;

/// The same for an upstream that answers other requests: a busy engine processes long prompts between the
/// tokens of a stream, and resuming the stream elsewhere would add to the load.
const BUSY_LIMIT_PERCENT: u64 = 300;

/// Bytes without a further event id after which a stream is aborted: the longest event and as much for its
/// framing.
const MAX_BYTES_WITHOUT_EVENT: usize = 128 * 1024;

/// Longest event gap if the route sets none.
const DEFAULT_EVENT_GAP: Millis = Millis(2_000);

/// What the client has received of a stream, across the upstreams that it comes from.
#[derive(Debug)]
pub(super) struct Relay {
    events: EventBuffer,
    is_head_sent: bool,
}

/// How the forwarding of a stream from one upstream ended.
#[derive(Debug)]
pub(super) enum RelayEnd {
    /// The client has received the whole stream.
    Complete,
    /// The client has closed its connection or cannot be written to.
    ClientGone,
    /// The connection to the upstream broke or its bytes were invalid.
    Lost(ExchangeError),
    /// The upstream was silent for too long, or the request's deadline has passed.
    Silent(SilenceOutcome),
}

impl Relay {
    /// Starts after the last event that the client has received.
    pub(super) fn new(resume_after: Option<u64>) -> Self {
        let mut events = EventBuffer::default();
        events.resume_after(resume_after);
        Self {
            events,
            is_head_sent: false,
        }
    }

    /// Returns whether the client has received a part of the answer.
    pub(super) const fn has_begun(&self) -> bool {
        self.is_head_sent
    }

    /// Returns the id of the last event that the client has received.
    pub(super) const fn last_id(&self) -> Option<u64> {
        self.events.last_id()
    }
}

/// Returns how long an upstream may be silent between two events.
pub(super) fn limits(shared: &Shared, job: &Job) -> Limits {
    let longest = match job.route.max_event_gap {
        Millis(0) => DEFAULT_EVENT_GAP,
        gap => gap,
    };
    Limits {
        silence_limit: Millis(longest.0 * SILENCE_LIMIT_PERCENT / 100),
        busy_limit: Millis(longest.0 * BUSY_LIMIT_PERCENT / 100),
        deadline: job.deadline,
        can_probe: job.is_engine(shared),
    }
}

/// Forwards events until the stream ends; the head is sent with the first events.
pub(super) async fn relay(
    watch: SilenceWatch<'_>,
    client: &mut ClientConn,
    job: &Job,
    conn: &mut Conn,
    head: &ResponseHead,
    relay: &mut Relay,
    closes: bool,
) -> RelayEnd {
    relay.events.drop_partial();
    let shared = watch.shared;
    let upstream = Rc::clone(watch.upstream);
    let mut decoder = Decoder::new(head.framing);
    let mut out = BytesMut::with_capacity(1_024);
    let last_progress_at = Cell::new(shared.clock.now());
    let silence = silence::wait(watch, &last_progress_at);
    tokio::pin!(silence);
    // Counts what waits for the client, as well as the start of an event.
    let mut share = shared.answer_memory.share();
    let mut last_event = (relay.last_id(), conn.received);
    let mut pace = Pace::default();
    loop {
        if let Err(_chunk) = decoder.decode(&mut conn.buf, relay.events.input()) {
            return RelayEnd::Lost(ExchangeError::Invalid("invalid chunk"));
        }
        conn.share.shrink(conn.buf.len());
        if let Err(full) = share.set(relay.events.input().len()) {
            return RelayEnd::Lost(full.into());
        }
        let Ok(mut events) = relay.events.take() else {
            return RelayEnd::Lost(ExchangeError::Invalid("event too long"));
        };
        if decoder.is_done() {
            // The body is complete even if its last bytes do not end an event, so they are forwarded too.
            events.unsplit(relay.events.input().split());
        }
        if !events.is_empty() || decoder.is_done() {
            out.clear();
            if !relay.is_head_sent {
                reply::write_head(&mut out, head, BodyFraming::Chunked, closes);
                relay.is_head_sent = true;
                record_first_byte(shared, job);
            }
            write_chunk(&mut out, &events);
            if decoder.is_done() {
                out.put_slice(b"0\r\n\r\n");
            }
            if client.write(&out).await.is_err() {
                return RelayEnd::ClientGone;
            }
            let now = shared.clock.now();
            let pause = now.since(last_progress_at.replace(now));
            job.longest_pause.set(job.longest_pause.get().max(pause));
            (shared.health.borrow_mut()).record_bytes(&upstream.id, upstream.boot, now);
            shared.record_run_progress(job, now);
            if let Some(time) = pace.observe(relay.last_id(), now) {
                job.pace.set(Some(time));
                answer_times::record_pace(shared, job, time);
                observe_version(shared, job, &upstream, Answer::Paced(time));
            }
        }
        if decoder.is_done() {
            return RelayEnd::Complete;
        }
        if relay.last_id() != last_event.0 {
            last_event = (relay.last_id(), conn.received);
        } else if conn.received - last_event.1 > MAX_BYTES_WITHOUT_EVENT {
            return RelayEnd::Lost(ExchangeError::Invalid("bytes without an event"));
        }
        let read = tokio::select! {
            biased;
            read = exchange::read_more(conn) => read,
            () = client.closed() => return RelayEnd::ClientGone,
            silence = &mut silence => return RelayEnd::Silent(silence),
        };
        match read {
            Ok(true) => {}
            Ok(false)
                if decoder.ends_with_close()
                    && !relay.events.has_partial()
                    && conn.has_ended_cleanly() =>
            {
                return finish_at_close(client, relay, head, closes).await;
            }
            Ok(false) => return RelayEnd::Lost(ExchangeError::Closed),
            Err(error) => return RelayEnd::Lost(ExchangeError::Broken(error)),
        }
    }
}

/// Measures the pace of a stream once, over its first events.
#[derive(Debug, Default)]
struct Pace {
    first: Option<(u64, Millis)>,
    is_measured: bool,
}

impl Pace {
    /// Records the id of the last event; returns the time per [`PACE_EVENTS`] events once, when enough have come.
    fn observe(&mut self, id: Option<u64>, now: Millis) -> Option<Millis> {
        let id = id.filter(|_| !self.is_measured)?;
        let (first, since) = *self.first.get_or_insert((id, now));
        let events = id.saturating_sub(first);
        if events < PACE_EVENTS {
            return None;
        }
        self.is_measured = true;
        Some(Millis(now.since(since).0 * PACE_EVENTS / events))
    }
}

async fn finish_at_close(
    client: &mut ClientConn,
    relay: &mut Relay,
    head: &ResponseHead,
    closes: bool,
) -> RelayEnd {
    let mut out = BytesMut::new();
    if !relay.is_head_sent {
        reply::write_head(&mut out, head, BodyFraming::Chunked, closes);
        relay.is_head_sent = true;
    }
    out.put_slice(b"0\r\n\r\n");
    match client.write(&out).await {
        Ok(()) => RelayEnd::Complete,
        Err(_) => RelayEnd::ClientGone,
    }
}

fn record_first_byte(shared: &Shared, job: &Job) {
    let waited = shared.clock.now().since(job.arrived);
    job.first_byte.set(Some(waited));
    let seconds = waited.duration().as_secs_f64();
    shared.metrics.first_byte("-", &job.route.name, seconds);
}

fn write_chunk(out: &mut BytesMut, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    let mut size = [0_u8; 16];
    let mut at = size.len();
    let mut left = data.len();
    while left > 0 {
        at -= 1;
        size[at] = b"0123456789abcdef"[left & 15];
        left >>= 4;
    }
    out.put_slice(&size[at..]);
    out.put_slice(b"\r\n");
    out.put_slice(data);
    out.put_slice(b"\r\n");
}
