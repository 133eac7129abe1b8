//! A stand-in for the key-value service: the JSON form of etcd's v3 API over the in-memory store.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;
use bytes::Bytes;
use futures_util::{StreamExt as _, stream};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::server::{self, Call, Reply, Running};
use crate::kv::memory::{Fault, MemoryKv};
use crate::kv::wire::{
    Blob, CODE_INVALID, CODE_NOT_FOUND, CODE_UNAVAILABLE, Condition, ErrorBody, Event, EventKind,
    Header, Int64, LeaseMessage, Operation, Pair, RangeAnswer, RangeRequest, StreamLine, Target,
    TxnAnswer, TxnRequest, WatchAnswer, WatchRequest, prefix_range,
};
use crate::kv::{Change, Compare, Entry, KeyValue as _, KvError, LeaseId, TxnOutcome};
use crate::units::Millis;

/// Body of `POST /fault`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// How calls are answered from now on.
    pub fault: Fault,
    /// Delay of each answer from now on.
    #[serde(default)]
    pub delay: Millis,
}

/// Starts the stand-in on a store, which the caller may keep using.
///
/// # Errors
/// An error of the operating system if the address cannot be bound.
pub fn bind(addr: SocketAddr, store: MemoryKv) -> io::Result<Running> {
    server::bind(
        addr,
        Rc::new(move |call| {
            let store = store.clone();
            Box::pin(async move { answer(call, store).await.unwrap_or_else(|reply| reply) })
        }),
    )
}

async fn answer(call: Call, store: MemoryKv) -> Result<Reply, Reply> {
    match call.route() {
        ("POST", "/v3/kv/range") => range(&call.json()?, &store).await,
        ("POST", "/v3/kv/txn") => txn(call.json()?, &store).await,
        ("POST", "/v3/lease/grant") => grant(&call.json()?, &store).await,
        ("POST", "/v3/lease/keepalive") => keep_alive(&call.json()?, &store).await,
        ("POST", "/v3/lease/revoke") => revoke(&call.json()?, &store).await,
        ("POST", "/v3/watch") => watch(&call.json()?, store),
        ("POST", "/fault") => {
            let request: FaultRequest = call.json()?;
            store.set_fault(request.fault);
            store.set_delay(request.delay);
            Ok(Reply::json(StatusCode::OK, &request))
        }
        ("GET", "/calls") => {
            let calls = json!({"calls": store.calls()});
            Ok(Reply::json(StatusCode::OK, &calls))
        }
        _ => Err(Reply::text(StatusCode::NOT_FOUND, "no such path")),
    }
}

fn error_reply(status: StatusCode, code: u32, message: &str) -> Reply {
    let body = ErrorBody {
        code,
        message: message.to_owned(),
    };
    Reply::json(status, &body)
}

fn invalid(message: &str) -> Reply {
    error_reply(StatusCode::BAD_REQUEST, CODE_INVALID, message)
}

fn lease_not_found() -> Reply {
    let message = "etcdserver: requested lease not found";
    error_reply(StatusCode::NOT_FOUND, CODE_NOT_FOUND, message)
}

/// Converts an error of the store: a lost answer becomes a closed connection, any other one an error status.
fn store_error_reply(error: KvError) -> Reply {
    match error {
        KvError::Unreachable(why) => {
            error_reply(StatusCode::SERVICE_UNAVAILABLE, CODE_UNAVAILABLE, &why)
        }
        KvError::AnswerLost(_) => Reply::HangUp,
        KvError::Refused(why) => invalid(&why),
        KvError::LeaseGone => lease_not_found(),
    }
}

fn ok<T: Serialize>(value: &T) -> Reply {
    Reply::json(StatusCode::OK, value)
}

fn text(bytes: &[u8]) -> Result<String, Reply> {
    String::from_utf8(bytes.to_vec()).map_err(|error| invalid(&error.to_string()))
}

fn pair(entry: &Entry) -> Pair {
    Pair {
        key: entry.key.as_str().into(),
        create_revision: Int64(entry.create_revision),
        mod_revision: Int64(entry.mod_revision),
        value: Blob(entry.value.to_vec()),
    }
}

fn header(store: &MemoryKv) -> Header {
    Header {
        revision: Int64(store.revision()),
    }
}

async fn range(request: &RangeRequest, store: &MemoryKv) -> Result<Reply, Reply> {
    let key = text(&request.key.0)?;
    let entries = if request.range_end.0.is_empty() {
        let entry = store.get(&key).await.map_err(store_error_reply)?;
        entry.into_iter().collect()
    } else {
        let prefix = [key.as_str(), ""]
            .into_iter()
            .find(|prefix| prefix_range(prefix) == (request.key.clone(), request.range_end.clone()))
            .ok_or_else(|| invalid("only the range of a prefix is supported"))?;
        store.list(prefix).await.map_err(store_error_reply)?
    };
    Ok(ok(&RangeAnswer {
        header: header(store),
        kvs: entries.iter().map(pair).collect(),
    }))
}

fn compare(condition: &Condition) -> Result<Compare, Reply> {
    let key = text(&condition.key.0)?;
    let zero = Int64::default();
    match condition.target {
        Target::Create if condition.create_revision.unwrap_or_default() == zero => {
            Ok(Compare::Absent(key))
        }
        Target::Create => Err(invalid("only creation revision 0 is supported")),
        Target::Mod => {
            let revision = condition.mod_revision.unwrap_or_default();
            Ok(Compare::ModRevision(key, revision.0))
        }
    }
}

fn change(operation: Operation) -> Result<Change, Reply> {
    match operation {
        Operation::Put(put) => Ok(Change::Put {
            key: text(&put.key.0)?,
            value: Bytes::from(put.value.0),
            lease: (put.lease.0 != 0).then_some(LeaseId(put.lease.0)),
        }),
        Operation::Delete(delete) => text(&delete.key.0).map(Change::Delete),
    }
}

async fn txn(request: TxnRequest, store: &MemoryKv) -> Result<Reply, Reply> {
    let conditions = request.compare.iter().map(compare);
    let conditions = conditions.collect::<Result<Vec<_>, _>>()?;
    let changes = request.success.into_iter().map(change);
    let changes = changes.collect::<Result<Vec<_>, _>>()?;
    let outcome = store
        .txn(conditions, changes)
        .await
        .map_err(store_error_reply)?;
    Ok(ok(&TxnAnswer {
        header: header(store),
        succeeded: matches!(outcome, TxnOutcome::Applied(_)),
    }))
}

async fn grant(request: &LeaseMessage, store: &MemoryKv) -> Result<Reply, Reply> {
    let ttl = Millis::from_secs(request.ttl.0);
    let id = store.grant(ttl).await.map_err(store_error_reply)?;
    Ok(ok(&LeaseMessage {
        ttl: request.ttl,
        id: Int64(id.0),
    }))
}

async fn keep_alive(request: &LeaseMessage, store: &MemoryKv) -> Result<Reply, Reply> {
    // etcd reports an expired lease as a success with a remaining time of zero.
    let ttl = match store.keep_alive(LeaseId(request.id.0)).await {
        Ok(()) => Int64(1),
        Err(KvError::LeaseGone) => Int64(0),
        Err(error) => return Err(store_error_reply(error)),
    };
    let result = LeaseMessage {
        ttl,
        id: request.id,
    };
    Ok(ok(&StreamLine {
        result: Some(result),
        error: None,
    }))
}

async fn revoke(request: &LeaseMessage, store: &MemoryKv) -> Result<Reply, Reply> {
    let lease = LeaseId(request.id.0);
    let existed = store.is_lease_active(lease);
    store.revoke(lease).await.map_err(store_error_reply)?;
    if !existed {
        return Err(lease_not_found());
    }
    Ok(ok(&json!({"header": header(store)})))
}

fn watch_line(answer: WatchAnswer) -> Bytes {
    let line = StreamLine {
        result: Some(answer),
        error: None,
    };
    let mut text = serde_json::to_vec(&line).expect("a watch message has a JSON form");
    text.push(b'\n');
    Bytes::from(text)
}

/// Returns the event for a change of a key after a revision, if there was one.
fn event(key: String, entry: Option<Entry>, after: u64, store: &MemoryKv) -> Option<Event> {
    match entry {
        Some(entry) => (entry.mod_revision > after).then(|| Event {
            kind: EventKind::Put,
            kv: pair(&entry),
        }),
        None => store
            .removal_revision_after(&key, after)
            .map(|revision| Event {
                kind: EventKind::Delete,
                kv: Pair {
                    key: Blob(key.into_bytes()),
                    mod_revision: Int64(revision),
                    ..Pair::default()
                },
            }),
    }
}

/// Streams the confirmation of the watch and the next change; ends without one when the store's watch times out.
fn watch(request: &WatchRequest, store: MemoryKv) -> Result<Reply, Reply> {
    let key = text(&request.create_request.key.0)?;
    let after = match request.create_request.start_revision.0 {
        0 => store.revision(),
        start => start - 1,
    };
    let created = watch_line(WatchAnswer {
        header: header(&store),
        created: true,
        ..WatchAnswer::default()
    });
    let change = async move {
        let entry = store.watch(&key, after).await.map_err(io::Error::other)?;
        let Some(event) = event(key, entry, after, &store) else {
            return Ok(Bytes::new());
        };
        Ok(watch_line(WatchAnswer {
            header: header(&store),
            events: vec![event],
            ..WatchAnswer::default()
        }))
    };
    let lines = stream::once(async { Ok(created) }).chain(stream::once(change));
    Ok(Reply::stream("application/json", lines))
}
