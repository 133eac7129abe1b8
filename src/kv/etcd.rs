//! Client for a key-value service with the JSON form of etcd's v3 API.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::PayloadError;
use actix_rt::time::{Instant, timeout};
use awc::error::{ConnectError, SendRequestError};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::budget::{CallBudget, CallCounts, CallKind};
use super::memory::MAX_WATCH_WAIT;
use super::wire::{
    Blob, CODE_NOT_FOUND, Comparison, Condition, DeleteRequest, ErrorBody, Event, EventKind, Int64,
    LeaseMessage, Operation, Pair, PutRequest, RangeAnswer, RangeRequest, StreamLine, Target,
    TxnAnswer, TxnRequest, WatchAnswer, WatchCreate, WatchRequest, prefix_range,
};
use super::{Change, Compare, Entry, KeyValue, KvError, LeaseId, LocalFuture, TxnOutcome};
use crate::units::Millis;

/// Timeout from the start of a call to the end of its answer.
///
/// A watch takes at most [`MAX_WATCH_WAIT`] and one call.
const CALL_TIMEOUT: Millis = Millis::from_secs(2);
/// Connect timeout; shorter than [`CALL_TIMEOUT`], so that a connection that is never established is not
/// reported as a lost answer.
const CONNECT_TIMEOUT: Millis = Millis::from_secs(1);
/// Time after which an idle connection is not reused. Servers commonly close idle connections after 5 s, and
/// a write on a connection that is being closed has an unknown outcome.
const IDLE_CONNECTION_TIMEOUT: Millis = Millis::from_secs(4);
/// Maximum size of an answer, which bounds the memory of one call: about ten values of 1 MB in base64.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Maximum size of a watch message: an event with a value of the maximum size in base64, and its other fields.
const MAX_WATCH_BYTES: usize = 4 << 20;

struct Shared {
    client: awc::Client,
    addrs: Vec<SocketAddr>,
    current_index: Cell<usize>,
    call_timeout: Duration,
    budget: RefCell<CallBudget>,
    opened_at: Instant,
}

/// A client of the service; clones share connections and the budget.
#[derive(Clone)]
pub struct EtcdKv {
    shared: Rc<Shared>,
}

impl fmt::Debug for EtcdKv {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EtcdKv")
            .field("addrs", &self.shared.addrs)
            .finish_non_exhaustive()
    }
}

/// Returns whether an error means that the lease does not exist.
fn is_lease_missing(error: &ErrorBody) -> bool {
    error.code == CODE_NOT_FOUND && error.message.contains("lease")
}

fn connect_error(error: &SendRequestError) -> KvError {
    let reason = error.to_string();
    match error {
        // `awc` also reports a connection that is closed before the answer as `Disconnected`.
        SendRequestError::Connect(ConnectError::Disconnected) => KvError::AnswerLost(reason),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => KvError::Unreachable(reason),
        _ => KvError::AnswerLost(reason),
    }
}

fn payload_error(kind: CallKind, error: &PayloadError) -> KvError {
    match (error, kind) {
        // Another address would send the same answer, so this must not switch addresses. A read changes
        // nothing, so it is not a lost answer.
        (PayloadError::Overflow, CallKind::Read) => {
            KvError::Refused("answer is too large".to_owned())
        }
        _ => KvError::AnswerLost(error.to_string()),
    }
}

/// Converts an answer with an error status to an error.
fn status_error(kind: CallKind, status: u16, body: &[u8]) -> KvError {
    let error: ErrorBody = serde_json::from_slice(body).unwrap_or_default();
    if is_lease_missing(&error) {
        return KvError::LeaseGone;
    }
    let reason = format!("status {status}: {}", error.message);
    match (status, kind) {
        (400..=499, _) => KvError::Refused(reason),
        (_, CallKind::Read) => KvError::Unreachable(reason),
        // etcd also answers 503 to a proposal that timed out and may still be applied.
        (_, CallKind::Write) => KvError::AnswerLost(reason),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, KvError> {
    serde_json::from_slice(body)
        .map_err(|error| KvError::AnswerLost(format!("invalid answer: {error}")))
}

fn entry(pair: Pair) -> Result<Entry, KvError> {
    let key = String::from_utf8(pair.key.0)
        .map_err(|error| KvError::Refused(format!("a stored key is not UTF-8: {error}")))?;
    Ok(Entry {
        key,
        value: Bytes::from(pair.value.0),
        mod_revision: pair.mod_revision.0,
        create_revision: pair.create_revision.0,
    })
}

fn condition(compare: Compare) -> Condition {
    let (key, target, create_revision, mod_revision) = match compare {
        Compare::Absent(key) => (key, Target::Create, Some(Int64(0)), None),
        Compare::ModRevision(key, revision) => (key, Target::Mod, None, Some(Int64(revision))),
    };
    Condition {
        key: Blob::from(key.as_str()),
        target,
        result: Comparison::Equal,
        create_revision,
        mod_revision,
    }
}

fn operation(change: Change) -> Operation {
    match change {
        Change::Put { key, value, lease } => Operation::Put(PutRequest {
            key: Blob::from(key.as_str()),
            value: Blob(value.to_vec()),
            lease: Int64(lease.map_or(0, |id| id.0)),
        }),
        Change::Delete(key) => Operation::Delete(DeleteRequest {
            key: Blob::from(key.as_str()),
        }),
    }
}

impl EtcdKv {
    /// Creates a client that uses the first address and switches to the next one after a failure.
    ///
    /// Connections are opened on demand, on the arbiter that polls the calls.
    #[must_use]
    pub fn open(addrs: Vec<SocketAddr>, budget: CallBudget) -> Self {
        Self::open_with_timeout(addrs, budget, CALL_TIMEOUT)
    }

    /// Creates a client with a call timeout other than [`CALL_TIMEOUT`], for tests.
    pub(super) fn open_with_timeout(
        addrs: Vec<SocketAddr>,
        budget: CallBudget,
        call_timeout: Millis,
    ) -> Self {
        let connector = awc::Connector::new()
            .timeout(CONNECT_TIMEOUT.duration())
            .conn_keep_alive(IDLE_CONNECTION_TIMEOUT.duration());
        let client = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self {
            shared: Rc::new(Shared {
                client,
                addrs,
                current_index: Cell::new(0),
                call_timeout: call_timeout.duration(),
                budget: RefCell::new(budget),
                opened_at: Instant::now(),
            }),
        }
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.shared.budget.borrow().counts()
    }

    /// Charges a call to the budget and returns the current address with its index.
    fn admit(&self, kind: CallKind) -> Result<(usize, SocketAddr), KvError> {
        let elapsed = self.shared.opened_at.elapsed().as_millis();
        let now = Millis(u64::try_from(elapsed).unwrap_or(u64::MAX));
        if !self.shared.budget.borrow_mut().take(kind, now) {
            return Err(KvError::Refused(
                "this process's call budget is exhausted, so the call was not sent".to_owned(),
            ));
        }
        let index = self.shared.current_index.get();
        let addr = self.shared.addrs.get(index).copied();
        let no_addr = || KvError::Unreachable("no address is configured".to_owned());
        addr.map(|addr| (index, addr)).ok_or_else(no_addr)
    }

    /// Switches from the address with this index to the next one, unless another call already did.
    fn advance_from(&self, index: usize) {
        if self.shared.current_index.get() == index {
            let next = (index + 1) % self.shared.addrs.len();
            self.shared.current_index.set(next);
        }
    }

    async fn send(
        &self,
        addr: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<awc::ClientResponse, KvError> {
        self.shared
            .client
            .post(format!("http://{addr}{path}"))
            .content_type("application/json")
            .send_body(body)
            .await
            .map_err(|error| connect_error(&error))
    }

    async fn exchange(
        &self,
        kind: CallKind,
        addr: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Bytes, KvError> {
        let mut answer = self.send(addr, path, body).await?;
        let status = answer.status();
        let body = answer
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|error| payload_error(kind, &error))?;
        if status.is_success() {
            Ok(body)
        } else {
            Err(status_error(kind, status.as_u16(), &body))
        }
    }

    /// Sends one call and decodes its answer; a call is never retried.
    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        request: &Q,
    ) -> Result<A, KvError> {
        let body = encode(request)?;
        let (index, addr) = self.admit(kind)?;
        let exchange = self.exchange(kind, addr, path, body);
        let outcome = with_timeout(self.shared.call_timeout, exchange)
            .await
            .and_then(|body| parse(&body));
        if matches!(
            outcome,
            Err(KvError::Unreachable(_) | KvError::AnswerLost(_))
        ) {
            self.advance_from(index);
        }
        outcome
    }

    async fn range(&self, key: Blob, range_end: Blob) -> Result<Vec<Entry>, KvError> {
        let request = RangeRequest { key, range_end };
        let answer: RangeAnswer = self.call(CallKind::Read, "/v3/kv/range", &request).await?;
        answer.kvs.into_iter().map(entry).collect()
    }

    async fn get_entry(&self, key: &str) -> Result<Option<Entry>, KvError> {
        let entries = self.range(Blob::from(key), Blob::default()).await?;
        Ok(entries.into_iter().next())
    }

    /// Starts a watch and waits until `deadline` for its next events.
    ///
    /// Returns the newest event, or `None` if the watch ended without one.
    async fn next_event(
        &self,
        addr: SocketAddr,
        body: Vec<u8>,
        deadline: Instant,
    ) -> Result<Option<Event>, KvError> {
        let send = self.send(addr, "/v3/watch", body);
        let mut answer = with_timeout(self.shared.call_timeout, send).await?;
        if !answer.status().is_success() {
            let status = answer.status().as_u16();
            let body = answer.body().limit(MAX_WATCH_BYTES);
            let body = with_timeout(self.shared.call_timeout, async {
                body.await
                    .map_err(|error| payload_error(CallKind::Read, &error))
            });
            return Err(status_error(CallKind::Read, status, &body.await?));
        }
        let mut buf = BytesMut::new();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let Ok(chunk) = timeout(left, answer.next()).await else {
                return Ok(None);
            };
            let Some(chunk) = chunk else {
                return Ok(None);
            };
            buf.extend_from_slice(&chunk.map_err(|error| payload_error(CallKind::Read, &error))?);
            match newest_event(&mut buf)? {
                WatchProgress::Waiting => {}
                WatchProgress::Ended => return Ok(None),
                WatchProgress::Event(event) => return Ok(Some(*event)),
            }
        }
    }
}

enum WatchProgress {
    Waiting,
    Ended,
    Event(Box<Event>),
}

/// Removes the complete lines from a watch's buffer and returns the last event in them.
fn newest_event(buf: &mut BytesMut) -> Result<WatchProgress, KvError> {
    let mut progress = WatchProgress::Waiting;
    while let Some(end) = buf.iter().position(|byte| *byte == b'\n') {
        let line = buf.split_to(end + 1);
        if line.trim_ascii().is_empty() {
            continue;
        }
        let line: StreamLine<WatchAnswer> = parse(&line)?;
        if let Some(error) = line.error {
            return Err(KvError::Unreachable(error.message));
        }
        let Some(answer) = line.result else { continue };
        if answer.canceled {
            return Ok(WatchProgress::Ended);
        }
        if let Some(event) = answer.events.into_iter().next_back() {
            progress = WatchProgress::Event(Box::new(event));
        }
    }
    if buf.len() > MAX_WATCH_BYTES {
        let reason = format!("watch event has more than {MAX_WATCH_BYTES} bytes");
        return Err(KvError::AnswerLost(reason));
    }
    Ok(progress)
}

fn encode<Q: Serialize>(request: &Q) -> Result<Vec<u8>, KvError> {
    serde_json::to_vec(request)
        .map_err(|error| KvError::Refused(format!("request cannot be encoded: {error}")))
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, KvError>>,
) -> Result<T, KvError> {
    match timeout(limit, call).await {
        Ok(outcome) => outcome,
        Err(_elapsed) => Err(KvError::AnswerLost(format!("timed out after {limit:?}"))),
    }
}

/// Returns a lease's time to live in whole seconds, the unit of the service, rounded up.
const fn lease_seconds(ttl: Millis) -> u64 {
    ttl.0.div_ceil(1_000)
}

impl KeyValue for EtcdKv {
    fn counts(&self) -> CallCounts {
        self.calls()
    }

    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<Entry>, KvError>> {
        Box::pin(self.get_entry(key))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<Entry>, KvError>> {
        let (key, range_end) = prefix_range(prefix);
        Box::pin(self.range(key, range_end))
    }

    fn txn(
        &self,
        conditions: Vec<Compare>,
        changes: Vec<Change>,
    ) -> LocalFuture<'_, Result<TxnOutcome, KvError>> {
        let request = TxnRequest {
            compare: conditions.into_iter().map(condition).collect(),
            success: changes.into_iter().map(operation).collect(),
        };
        Box::pin(async move {
            let answer: TxnAnswer = self.call(CallKind::Write, "/v3/kv/txn", &request).await?;
            Ok(if answer.succeeded {
                TxnOutcome::Applied(answer.header.revision.0)
            } else {
                TxnOutcome::Conflict
            })
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
    ) -> LocalFuture<'a, Result<Option<Entry>, KvError>> {
        Box::pin(async move {
            let body = encode(&WatchRequest {
                create_request: WatchCreate {
                    key: Blob::from(key),
                    start_revision: Int64(after.saturating_add(1)),
                },
            })?;
            let (index, addr) = self.admit(CallKind::Read)?;
            let deadline = Instant::now() + MAX_WATCH_WAIT.duration();
            let event = self.next_event(addr, body, deadline).await;
            if event.is_err() {
                self.advance_from(index);
            }
            match event? {
                Some(event) if event.kind == EventKind::Put => entry(event.kv).map(Some),
                Some(_removed) => Ok(None),
                None => self.get_entry(key).await,
            }
        })
    }

    fn grant(&self, ttl: Millis) -> LocalFuture<'_, Result<LeaseId, KvError>> {
        Box::pin(async move {
            let request = LeaseMessage {
                ttl: Int64(lease_seconds(ttl)),
                id: Int64(0),
            };
            let path = "/v3/lease/grant";
            let answer: LeaseMessage = self.call(CallKind::Write, path, &request).await?;
            Ok(LeaseId(answer.id.0))
        })
    }

    fn keep_alive(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), KvError>> {
        Box::pin(async move {
            let request = lease_request(lease);
            let path = "/v3/lease/keepalive";
            let line: StreamLine<LeaseMessage> = self.call(CallKind::Write, path, &request).await?;
            match (line.result, line.error) {
                (_, Some(error)) if is_lease_missing(&error) => Err(KvError::LeaseGone),
                (_, Some(error)) => Err(KvError::AnswerLost(error.message)),
                (Some(answer), None) if answer.ttl.0 == 0 => Err(KvError::LeaseGone),
                (Some(_renewed), None) => Ok(()),
                (None, None) => Err(KvError::AnswerLost(
                    "lease renewal answer is empty".to_owned(),
                )),
            }
        })
    }

    fn revoke(&self, lease: LeaseId) -> LocalFuture<'_, Result<(), KvError>> {
        Box::pin(async move {
            let request = lease_request(lease);
            let path = "/v3/lease/revoke";
            match self
                .call::<_, LeaseMessage>(CallKind::Write, path, &request)
                .await
            {
                // A lease that has expired or was revoked by an earlier call needs no revocation.
                Ok(_) | Err(KvError::LeaseGone) => Ok(()),
                Err(error) => Err(error),
            }
        })
    }
}

fn lease_request(lease: LeaseId) -> LeaseMessage {
    LeaseMessage {
        ttl: Int64(0),
        id: Int64(lease.0),
    }
}
