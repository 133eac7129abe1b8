//! Forwarding of an event stream, over one or more upstreams.

use bytes::{BufMut, BytesMut};

use crate::units::Millis;

use super::body::Decoder;
use super::client::ClientConn;
use super::events::Events;
use super::exchange::{self, ExchangeError};
use super::head::ResponseHead;
use super::reply::{self, BodyOut};
use super::request::{Job, Leg};
use super::shared::Shared;

/// Part of the longest pause between events after which a stream leaves an upstream that is silent on all
/// connections, in percent; the rest is for the other upstream to begin.
const SILENT_PERCENT: u64 = 70;

/// The same for an upstream that answers other requests: a busy engine reads long prompts between the
/// tokens of a stream, and going on elsewhere would add to the load.
const BUSY_PERCENT: u64 = 300;

/// Pause between two looks at an upstream that is late with an event.
const RECHECK: Millis = Millis(50);

/// Longest pause if the route gives none.
const DEFAULT_GAP: Millis = Millis(2_000);

/// What the client has of a stream.
#[derive(Debug)]
pub(super) struct Relay {
    events: Events,
    head_sent: bool,
}

/// How the part of a stream that one upstream made ended.
#[derive(Debug)]
pub(super) enum RelayEnd {
    /// The client has the whole stream.
    Complete,
    /// The client has gone.
    ClientGone,
    /// The time of the request is over.
    TimedOut,
    /// The upstream broke off.
    Lost(ExchangeError),
    /// The upstream is silent.
    Silent,
}

impl Relay {
    /// Starts after the last event that the client has.
    pub(super) fn new(resume_after: Option<u64>) -> Self {
        let mut events = Events::default();
        events.resume_after(resume_after);
        Self {
            events,
            head_sent: false,
        }
    }

    /// Tells whether the client has received a part of the answer.
    pub(super) const fn has_begun(&self) -> bool {
        self.head_sent
    }

    /// Returns the id of the last event that the client has.
    pub(super) const fn last_id(&self) -> Option<u64> {
        self.events.last_id()
    }
}

/// Forwards events until the stream ends; the head goes out with the first events.
pub(super) async fn relay(
    shared: &Shared,
    client: &mut ClientConn,
    job: &Job,
    leg: &mut Leg,
    head: &ResponseHead,
    relay: &mut Relay,
    closes: bool,
) -> RelayEnd {
    relay.events.drop_partial();
    let mut decoder = Decoder::new(head.framing);
    let mut out = BytesMut::with_capacity(1_024);
    let longest = match job.route.gap {
        Millis(0) => DEFAULT_GAP,
        gap => gap,
    };
    let gap = Millis(longest.0 * SILENT_PERCENT / 100);
    let busy_gap = Millis(longest.0 * BUSY_PERCENT / 100);
    let mut last_event = shared.clock.now();
    let timer = actix_rt::time::sleep(gap.duration());
    tokio::pin!(timer);
    loop {
        if let Err(_chunk) = decoder.decode(&mut leg.conn.buf, relay.events.input()) {
            return RelayEnd::Lost(ExchangeError::Garbled("invalid chunk"));
        }
        let Ok(mut events) = relay.events.take() else {
            return RelayEnd::Lost(ExchangeError::Garbled("event too long"));
        };
        if decoder.is_done() {
            // A body that does not end with an event is still the upstream's whole body.
            events.unsplit(relay.events.input().split());
        }
        if !events.is_empty() || decoder.is_done() {
            out.clear();
            if !relay.head_sent {
                reply::write_head(&mut out, head, BodyOut::Chunked, closes);
                relay.head_sent = true;
                note_first_byte(shared, job);
            }
            write_chunk(&mut out, &events);
            if decoder.is_done() {
                out.put_slice(b"0\r\n\r\n");
            }
            if client.write(&out).await.is_err() {
                return RelayEnd::ClientGone;
            }
            last_event = shared.clock.now();
            leg.hear(shared, last_event);
        }
        if decoder.is_done() {
            return RelayEnd::Complete;
        }
        let read = loop {
            tokio::select! {
                biased;
                read = exchange::read_more(&mut leg.conn) => break read,
                () = client.closed() => return RelayEnd::ClientGone,
                () = &mut timer => {
                    let now = shared.clock.now();
                    if now >= job.deadline {
                        return RelayEnd::TimedOut;
                    }
                    let silent_at = last_event + gap;
                    let is_heard = leg.is_heard(shared, last_event, now);
                    if now >= last_event + busy_gap || (now >= silent_at && !is_heard) {
                        return RelayEnd::Silent;
                    }
                    let wait = silent_at.min(job.deadline).since(now).max(RECHECK);
                    timer.as_mut().reset(actix_rt::time::Instant::now() + wait.duration());
                }
            }
        };
        match read {
            Ok(true) => {}
            Ok(false) if decoder.ends_with_close() && !relay.events.has_partial() => {
                return end_with_close(client, relay, head, closes).await;
            }
            Ok(false) => return RelayEnd::Lost(ExchangeError::Closed),
            Err(error) => return RelayEnd::Lost(ExchangeError::Broken(error)),
        }
    }
}

async fn end_with_close(
    client: &mut ClientConn,
    relay: &mut Relay,
    head: &ResponseHead,
    closes: bool,
) -> RelayEnd {
    let mut out = BytesMut::new();
    if !relay.head_sent {
        reply::write_head(&mut out, head, BodyOut::Chunked, closes);
        relay.head_sent = true;
    }
    out.put_slice(b"0\r\n\r\n");
    match client.write(&out).await {
        Ok(()) => RelayEnd::Complete,
        Err(_) => RelayEnd::ClientGone,
    }
}

fn note_first_byte(shared: &Shared, job: &Job) {
    let waited = shared.clock.now().since(job.arrived);
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
