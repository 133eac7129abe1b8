//! HTTP client of the platform's store.

use std::cell::{Cell, RefCell};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::time::Instant;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::Deserialize;
use serde_json::json;
use serde_with::serde_as;

use crate::forward::exchange::{self, BufferedBody, ExchangeError, HeldBody};
use crate::forward::follow::{ControlPlane, ControlPlaneError, Listing, RolloutWrite, StoreAnswer};
use crate::forward::head::ResponseHead;
use crate::forward::memory::Memory;
use crate::forward::pool::Conn;
use crate::kv::LocalFuture;
use crate::router::comparison::AnswerReport;
use crate::router::history::Era;
use crate::suspect::{EVIDENCE_LIFETIME, EvidenceWrite};
use crate::units::Millis;
use crate::units::whole::Whole;

use super::{headers, items};

/// Time limit for the head of an answer, in addition to the waiting time of a watch, and for each further read of
/// the body. A healthy store answers within milliseconds.
const ANSWER_TIMEOUT: Millis = Millis(700);

/// The same limit for a call that follows a failed one, so that a slow store can still answer. A store that has
/// gone silent loses the call; the next one must deliver the changes within three seconds of the store's recovery.
const SLOW_ANSWER_TIMEOUT: Millis = Millis(1_500);

/// Time limit for a whole answer that keeps arriving: enough for several configurations of the largest size, 1 MB,
/// on a link of 10 Mbit/s.
const TOTAL_ANSWER_TIMEOUT: Millis = Millis(5_000);

/// Largest accepted answer to a read. A page of a list has about 1 MB, and one value may have as much. A watch that
/// returns more than a few versions of a large configuration is replaced by a list.
const MAX_READ_BYTES: usize = 4 * 1024 * 1024;

/// Largest accepted answer to a write, which has at most the items of its conditions.
const MAX_WRITTEN_BYTES: usize = 2 * 1024 * 1024;

/// Memory for all answers that are being read, with the buffers that they grow in.
const ANSWERS_MEMORY_BYTES: usize = 16 * 1024 * 1024;

/// Time after which evidence that is no longer renewed is removed; as long as crashes count.
const LEASE_LIFETIME: Millis = EVIDENCE_LIFETIME;

/// Age up to which a lease is used for further writes.
const MAX_LEASE_AGE: Millis = Millis::from_secs(60);

/// Client of the store that keeps one connection open for reads and one for writes.
#[derive(Debug)]
pub struct Store {
    addr: Cell<SocketAddr>,
    read_conn: RefCell<Option<Conn>>,
    write_conn: RefCell<Option<Conn>>,
    last_call_failed: Cell<bool>,
    /// Memory for answers.
    memory: Rc<Memory>,
    /// Lease of what is written last, if its history is still the store's.
    lease: Cell<Option<HeldLease>>,
    /// Era of the last answer.
    era: Cell<Option<Era>>,
}

#[serde_as]
#[derive(Deserialize)]
struct Item {
    key: String,
    #[serde(default)]
    value: Option<String>,
    #[serde_as(as = "Whole")]
    rev: u64,
    #[serde(default)]
    tombstone: bool,
}

#[serde_as]
#[derive(Deserialize)]
struct Page {
    items: Vec<Item>,
    #[serde(rename = "hasMore", default)]
    has_more: bool,
    /// Revision of the whole store when the page was read.
    #[serde_as(as = "Whole")]
    #[serde(rename = "storeRevision")]
    revision: u64,
}

#[serde_as]
#[derive(Deserialize)]
struct Changes {
    events: Vec<Item>,
    #[serde_as(as = "Whole")]
    #[serde(rename = "storeRevision")]
    revision: u64,
}

#[serde_as]
#[derive(Deserialize)]
struct Lease {
    #[serde_as(as = "Whole")]
    lease: u64,
}

#[serde_as]
#[derive(Deserialize)]
struct Written {
    #[serde_as(as = "Whole")]
    rev: u64,
}

/// A lease that the store has granted.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    lease: u64,
    taken_at: Instant,
    era: Era,
}

/// Why a call has no answer.
enum CallError {
    /// The connection failed, or the bytes were not a valid answer in time.
    Failed(String),
    /// The answer is longer than accepted, or was still arriving at the time limit for the whole of it.
    TooLong,
}

impl From<String> for CallError {
    fn from(reason: String) -> Self {
        Self::Failed(reason)
    }
}

/// An answer of the store.
struct Response {
    status: u16,
    body: HeldBody,
    /// History that the answer comes from.
    era: Era,
}

#[derive(Clone, Copy)]
enum CallKind {
    Read,
    Write,
}

impl Store {
    /// Creates a client; connections are opened on first use.
    #[must_use]
    pub fn open(addr: SocketAddr) -> Self {
        Self {
            addr: Cell::new(addr),
            read_conn: RefCell::new(None),
            write_conn: RefCell::new(None),
            last_call_failed: Cell::new(false),
            memory: Memory::open(ANSWERS_MEMORY_BYTES),
            lease: Cell::new(None),
            era: Cell::new(None),
        }
    }

    /// Returns the number of bytes of answers that are held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.memory.held()
    }

    /// Changes the store's address and closes connections to the previous one.
    pub fn set_addr(&self, addr: SocketAddr) {
        if self.addr.replace(addr) != addr {
            self.read_conn.take();
            self.write_conn.take();
            self.lease.set(None);
        }
    }

    async fn call(
        &self,
        kind: CallKind,
        method: &str,
        target: &str,
        body: &[u8],
        wait: Millis,
    ) -> Result<Response, ControlPlaneError> {
        let idle_conn = match kind {
            CallKind::Read => &self.read_conn,
            CallKind::Write => &self.write_conn,
        };
        let conn = idle_conn.borrow_mut().take();
        let timeout = if self.last_call_failed.get() {
            SLOW_ANSWER_TIMEOUT
        } else {
            ANSWER_TIMEOUT
        };
        let max = match kind {
            CallKind::Read => MAX_READ_BYTES,
            CallKind::Write => MAX_WRITTEN_BYTES,
        };
        let exchanged = self.exchange(conn, method, target, body, (wait + timeout, timeout), max);
        match exchanged.await {
            Ok((response, conn)) => {
                self.era.set(Some(response.era));
                *idle_conn.borrow_mut() = conn;
                self.last_call_failed.set(false);
                Ok(response)
            }
            Err(CallError::TooLong) => Err(match kind {
                CallKind::Read => ControlPlaneError::TooLong,
                // The write may have been executed.
                CallKind::Write => {
                    ControlPlaneError::Unavailable("the answer is too long".to_owned())
                }
            }),
            Err(CallError::Failed(error)) => {
                self.last_call_failed.set(true);
                Err(ControlPlaneError::Unavailable(format!(
                    "store {}: {error}",
                    self.addr.get()
                )))
            }
        }
    }

    /// Calls the store; `timeouts` are the time limits for the head of the answer and for each read of its body, which has
    /// at most `max` bytes.
    async fn exchange(
        &self,
        conn: Option<Conn>,
        method: &str,
        target: &str,
        body: &[u8],
        timeouts: (Millis, Millis),
        max: usize,
    ) -> Result<(Response, Option<Conn>), CallError> {
        let (to_head, between_parts) = timeouts;
        let sent = self.send_and_read_head(conn, method, target, body);
        let (mut conn, head) = with_timeout(to_head, sent).await??;
        let mut body_reader = BufferedBody::new(&conn, &head, max);
        let body_started_at = Instant::now();
        let body = loop {
            match body_reader.decode_available(&mut conn) {
                Ok(Some(body)) => break Ok(body),
                Ok(None) => {}
                Err(error) => break Err(error),
            }
            let left = TOTAL_ANSWER_TIMEOUT
                .duration()
                .saturating_sub(body_started_at.elapsed());
            let read = tokio::select! {
                biased;
                read = with_timeout(between_parts, exchange::read_more(&mut conn)) => read?,
                () = actix_rt::time::sleep(left) => return Err(CallError::TooLong),
            };
            match read {
                Ok(true) => {}
                Ok(false) => break body_reader.finish(&conn),
                Err(error) => break Err(error.into()),
            }
        };
        let body = body.map_err(|error| match error {
            ExchangeError::TooLong(_) => CallError::TooLong,
            error => CallError::Failed(error.name().to_owned()),
        })?;
        let keep = head.keep_alive && conn.buf.is_empty();
        let response = Response {
            status: head.status,
            body,
            era: (head.fields.whole_number(headers::STORE_ERA)).map_or(Era::UNNAMED, Era),
        };
        Ok((response, keep.then_some(conn)))
    }

    /// Sends a request and reads the head of the answer.
    async fn send_and_read_head(
        &self,
        conn: Option<Conn>,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Result<(Conn, ResponseHead), String> {
        let to_text = |error: std::io::Error| error.to_string();
        let mut conn = match conn {
            Some(conn) => conn,
            None => exchange::connect(self.addr.get(), &self.memory)
                .await
                .map_err(to_text)?,
        };
        let mut message = format!(
            "{method} {target} HTTP/1.1\r\nHost: {}\r\n",
            self.addr.get()
        );
        if !body.is_empty() {
            message.push_str("Content-Type: application/json\r\n");
        }
        // Writing to a string cannot fail.
        let _ = write!(message, "Content-Length: {}\r\n\r\n", body.len());
        let mut message = message.into_bytes();
        message.extend_from_slice(body);
        exchange::send(&mut conn, &message).await.map_err(to_text)?;
        match exchange::read_response_head(&mut conn, false).await {
            Ok(head) => Ok((conn, head)),
            Err(error) => Err(error.name().to_owned()),
        }
    }

    async fn list_prefix(
        &self,
        prefix: &str,
        listing: &mut Listing,
        era: &mut Option<Era>,
    ) -> Result<(), ControlPlaneError> {
        let mut after = String::new();
        loop {
            let mut target = format!("/api/kv-range?prefix={}", percent_encode(prefix));
            if !after.is_empty() {
                // Writing to a string cannot fail.
                let _ = write!(target, "&after={}", percent_encode(&after));
            }
            let response = self
                .call(CallKind::Read, "GET", &target, b"", Millis(0))
                .await?;
            if era.replace(response.era).is_some_and(|e| e != response.era) {
                return Err(ControlPlaneError::HistoryChanged);
            }
            let page: Page = parse(&response)?;
            listing.revision = listing.revision.min(page.revision);
            after = page.items.last().map(|i| i.key.clone()).unwrap_or_default();
            decode_into(page.items, listing);
            if !page.has_more || after.is_empty() {
                return Ok(());
            }
        }
    }

    async fn write(
        &self,
        write: RolloutWrite,
        era: &mut Option<Era>,
    ) -> Result<u64, ControlPlaneError> {
        let key = format!("{}{}", items::STATUS_PREFIX, write.service);
        let status = BASE64.encode(items::encode_status(&write.to, write.phase));
        let mut puts = vec![json!({ "key": key, "value": status })];
        if let Some(start) = &write.start {
            let value = serde_json::to_vec(start)
                .map_err(|e| ControlPlaneError::Unavailable(e.to_string()))?;
            let start_key = format!("{}{}", items::START_PREFIX, write.service);
            puts.push(json!({ "key": start_key, "value": BASE64.encode(value) }));
        }
        let mut conditions = vec![json!({ "key": key, "rev": write.revision })];
        conditions.extend(settled_condition(write.settled_revision));
        let body = json!({
            "precondition": conditions,
            "puts": puts,
            "deletes": [],
        });
        let body = body.to_string();
        let result = self.call(
            CallKind::Write,
            "POST",
            "/api/kv-txn",
            body.as_bytes(),
            Millis(0),
        );
        let response = result.await?;
        *era = Some(response.era);
        if response.status == 412 {
            return Err(ControlPlaneError::Conflict);
        }
        parse::<Written>(&response).map(|w| w.rev)
    }

    /// Writes what this gateway has seen of a roll-out, for as long as gateways may need it.
    async fn put_answers(
        &self,
        report: AnswerReport,
        era: &mut Option<Era>,
    ) -> Result<u64, ControlPlaneError> {
        let lease = self.lease(era).await?;
        let value = serde_json::to_vec(&report)
            .map_err(|e| ControlPlaneError::Unavailable(e.to_string()))?;
        let key = format!(
            "{}{}/{}",
            items::ANSWERS_PREFIX,
            report.service,
            report.gateway
        );
        let body = json!({
            "precondition": [],
            "puts": [{ "key": key, "value": BASE64.encode(value), "lease": lease }],
            "deletes": [],
        });
        let body = body.to_string();
        let call = self.call(
            CallKind::Write,
            "POST",
            "/api/kv-txn",
            body.as_bytes(),
            Millis(0),
        );
        let response = call.await?;
        *era = Some(response.era);
        if response.status == 404 {
            self.lease.set(None);
        }
        parse::<Written>(&response).map(|w| w.rev)
    }

    async fn put_evidence(
        &self,
        write: EvidenceWrite,
        era: &mut Option<Era>,
    ) -> Result<u64, ControlPlaneError> {
        let lease = self.lease(era).await?;
        let put = |key: String, value: Result<Vec<u8>, serde_json::Error>| {
            let value = value.map_err(|e| ControlPlaneError::Unavailable(e.to_string()))?;
            Ok(json!({ "key": key, "value": BASE64.encode(value), "lease": lease }))
        };
        let key = format!("{}{}", items::CRASHES_PREFIX, write.gateway);
        let mut puts = vec![put(key, serde_json::to_vec(&write.report))?];
        let (mut conditions, mut deletes) = (Vec::new(), Vec::new());
        if let Some(change) = &write.containment {
            let key = format!("{}{}", items::CONTAINED_PREFIX, change.key);
            conditions.push(json!({ "key": key, "rev": change.revision }));
            conditions.extend(settled_condition(write.settled_revision));
            match &change.record {
                Some(record) => puts.push(put(key, serde_json::to_vec(record))?),
                None => deletes.push(key),
            }
        }
        let body = json!({ "precondition": conditions, "puts": puts, "deletes": deletes });
        let body = body.to_string();
        let result = self.call(
            CallKind::Write,
            "POST",
            "/api/kv-txn",
            body.as_bytes(),
            Millis(0),
        );
        let response = result.await?;
        *era = Some(response.era);
        match response.status {
            412 => return Err(ControlPlaneError::Conflict),
            404 => self.lease.set(None),
            _ => {}
        }
        parse::<Written>(&response).map(|w| w.rev)
    }

    /// Returns the lease of the gateway's evidence; a new one is taken when the last one is old.
    async fn lease(&self, era: &mut Option<Era>) -> Result<u64, ControlPlaneError> {
        // A restored store gives the number of a lease out again, to others.
        if let Some(held) = self.lease.get()
            && held.taken_at.elapsed() < MAX_LEASE_AGE.duration()
            && self.era.get() == Some(held.era)
        {
            return Ok(held.lease);
        }
        let taken_at = Instant::now();
        let body = json!({ "ttlMs": LEASE_LIFETIME.0 }).to_string();
        let call = self.call(
            CallKind::Write,
            "POST",
            "/api/kv-lease",
            body.as_bytes(),
            Millis(0),
        );
        let response = call.await?;
        *era = Some(response.era);
        let lease = parse::<Lease>(&response)?.lease;
        self.lease.set(Some(HeldLease {
            lease,
            taken_at,
            era: response.era,
        }));
        Ok(lease)
    }
}

impl ControlPlane for Rc<Store> {
    fn list(&self) -> LocalFuture<'_, StoreAnswer<Listing>> {
        Box::pin(async {
            let mut era = None;
            let mut listing = Listing {
                events: Vec::new(),
                revision: u64::MAX,
            };
            let prefixes = [
                items::OPERATOR_PREFIX,
                items::STATUS_PREFIX,
                items::GATEWAYS_PREFIX,
                items::UPSTREAM_PREFIX,
            ];
            for prefix in prefixes {
                if let Err(error) = self.list_prefix(prefix, &mut listing, &mut era).await {
                    return StoreAnswer {
                        result: Err(error),
                        era,
                    };
                }
            }
            StoreAnswer {
                result: Ok(listing),
                era,
            }
        })
    }

    fn watch(&self, after: u64, wait: Millis) -> LocalFuture<'_, StoreAnswer<Listing>> {
        Box::pin(async move {
            let target = format!("/api/kv-watch?prefix=&after={after}&waitMs={}", wait.0);
            let called = self.call(CallKind::Read, "GET", &target, b"", wait).await;
            let response = match called {
                Ok(response) => response,
                Err(error) => return StoreAnswer::missing(error),
            };
            let changes = match response.status {
                410 => Err(ControlPlaneError::HistoryLost),
                _ => parse::<Changes>(&response),
            };
            let result = changes.map(|changes| {
                let mut listing = Listing {
                    events: Vec::new(),
                    revision: changes.revision,
                };
                decode_into(changes.events, &mut listing);
                listing
            });
            StoreAnswer::of(result, response.era)
        })
    }

    fn write_rollout(&self, write: RolloutWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async {
            let mut era = None;
            let result = self.write(write, &mut era).await;
            StoreAnswer { result, era }
        })
    }

    fn write_settled(&self, settled: Era) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async move {
            let value = BASE64.encode(items::encode_settled(settled));
            let body = json!({
                "precondition": [],
                "puts": [{ "key": items::SETTLED_KEY, "value": value }],
                "deletes": [],
            });
            let body = body.to_string();
            let call = self.call(
                CallKind::Write,
                "POST",
                "/api/kv-txn",
                body.as_bytes(),
                Millis(0),
            );
            match call.await {
                Ok(response) => {
                    let written = parse::<Written>(&response).map(|w| w.rev);
                    StoreAnswer::of(written, response.era)
                }
                Err(error) => StoreAnswer::missing(error),
            }
        })
    }

    fn write_answers(&self, report: AnswerReport) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async {
            let mut era = None;
            let result = self.put_answers(report, &mut era).await;
            StoreAnswer { result, era }
        })
    }

    fn write_evidence(&self, write: EvidenceWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async {
            let mut era = None;
            let result = self.put_evidence(write, &mut era).await;
            StoreAnswer { result, era }
        })
    }
}

fn parse<T: for<'de> Deserialize<'de>>(response: &Response) -> Result<T, ControlPlaneError> {
    let status = response.status;
    if status != 200 {
        return Err(ControlPlaneError::Unavailable(format!(
            "store answered with status {status}, expected 200"
        )));
    }
    serde_json::from_slice(&response.body).map_err(|error| {
        ControlPlaneError::Unavailable(format!("invalid answer of the store: {error}"))
    })
}

/// Returns the condition that the record of the settled era has this revision.
fn settled_condition(revision: Option<u64>) -> Option<serde_json::Value> {
    revision.map(|revision| json!({ "key": items::SETTLED_KEY, "rev": revision }))
}

fn decode_into(items: Vec<Item>, listing: &mut Listing) {
    for item in items {
        if item.tombstone {
            listing.events.extend(items::decode_removal(&item.key));
            continue;
        }
        let value = BASE64.decode(item.value.unwrap_or_default());
        let decoded = value
            .map_err(|error| format!("the value is not base64: {error}"))
            .and_then(|value| {
                items::decode(&item.key, &value, item.rev).map_err(|error| error.to_string())
            });
        match decoded {
            Ok(event) => listing.events.extend(event),
            Err(error) => {
                log::warn!(event = "item_ignored", key:% = item.key, revision = item.rev, error:% = error; "");
            }
        }
    }
}

/// Awaits a future for at most `limit`.
async fn with_timeout<T>(limit: Millis, future: impl Future<Output = T>) -> Result<T, String> {
    let result = actix_rt::time::timeout(limit.duration(), future).await;
    result.map_err(|_elapsed| format!("the answer did not arrive within {} ms", limit.0))
}

/// Percent-encodes a value of a query string.
fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            out.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(out, "%{byte:02X}");
        }
    }
    out
}
