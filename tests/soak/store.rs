//! A stand-in for the platform's store that follows its published protocol: range reads, watches and conditional writes.
//! It can be restored from a copy. Leases do not end by themselves.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Value, json};

use crate::http::{Connection, Message};

/// What a restore brings back.
#[derive(Debug, Clone, Default)]
struct Content {
    values: BTreeMap<String, (String, u64)>,
    revision: u64,
    /// Number of the last lease.
    lease: u64,
}

#[derive(Debug, Default)]
struct Items {
    content: Content,
    /// Changes in order, each with its revision; `None` is a removal.
    history: Vec<(u64, String, Option<String>)>,
    /// Revision up to which the history was dropped.
    compacted_revision: u64,
    is_busy: bool,
    /// Whether the store is away and has yet to return from a restore.
    is_away: bool,
    /// Number of restores.
    era: u64,
    /// Copies of the last seconds, and when each was replaced by the next one.
    copies: VecDeque<(Instant, Content)>,
    /// What the operator and the upstreams have written last; they write it again after a restore.
    confirmed: BTreeMap<String, String>,
}

impl Items {
    fn change(&mut self, key: &str, value: Option<String>) {
        let now = Instant::now();
        self.copies.push_back((now, self.content.clone()));
        while self
            .copies
            .front()
            .is_some_and(|(at, _)| now - *at > MAX_COPY_AGE)
        {
            self.copies.pop_front();
        }
        let content = &mut self.content;
        content.revision += 1;
        let revision = content.revision;
        match &value {
            Some(value) => (content.values).insert(key.to_owned(), (value.clone(), revision)),
            None => content.values.remove(key),
        };
        self.history.push((revision, key.to_owned(), value));
    }
}

/// Longest time for which the store keeps copies of its content.
const MAX_COPY_AGE: Duration = Duration::from_secs(10);

/// Prefixes of the keys that only the operator and the upstreams write.
const FOREIGN_PREFIXES: [&str; 2] = ["op/", "servers/"];

/// A running store.
#[derive(Debug, Clone)]
pub struct Store {
    /// Listening address of the store.
    pub addr: SocketAddr,
    shared: Arc<(Mutex<Items>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let store = Self {
            addr: listener.local_addr().expect("the listener is bound"),
            shared: Arc::default(),
        };
        let running = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let running = running.clone();
                thread::spawn(move || running.serve(stream));
            }
        });
        store
    }

    /// Writes an item as an operator or an upstream would; the write is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &Value) {
        let text = value.to_string();
        let mut items = self.items();
        items.confirmed.insert(key.to_owned(), text.clone());
        items.change(key, Some(text));
        drop(items);
        self.shared.1.notify_all();
    }

    /// Returns an item's value.
    pub fn get(&self, key: &str) -> Option<Value> {
        let items = self.items();
        let (text, _) = items.content.values.get(key)?;
        serde_json::from_str(text).ok()
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut items = self.items();
        items.confirmed.remove(key);
        items.change(key, None);
        drop(items);
        self.shared.1.notify_all();
    }

    /// Goes on from a copy of this age, and answers no calls until [`Self::set_returned`].
    pub fn restore(&self, age: Duration) {
        let mut items = self.items();
        let at = Instant::now().checked_sub(age).expect("copies are young");
        let copy = items.copies.iter().find(|(until, _)| *until > at);
        if let Some((_, copy)) = copy {
            items.content = copy.clone();
        }
        let revision = items.content.revision;
        items.history.retain(|(at, ..)| *at <= revision);
        items.compacted_revision = items.compacted_revision.min(revision);
        items.copies.clear();
        items.era += 1;
        items.is_away = true;
        drop(items);
        self.shared.1.notify_all();
    }

    /// Answers calls again after a restore.
    pub fn set_returned(&self) {
        self.items().is_away = false;
    }

    /// Writes again what the operator and the upstreams have written and the copy lacks.
    pub fn write_again(&self) {
        let mut items = self.items();
        let confirmed = items.confirmed.clone();
        for (key, value) in &confirmed {
            if items.content.values.get(key).map(|(value, _)| value) != Some(value) {
                items.change(key, Some(value.clone()));
            }
        }
        let is_foreign = |key: &String| FOREIGN_PREFIXES.iter().any(|p| key.starts_with(p));
        let keys = items.content.values.keys().filter(|k| is_foreign(k));
        let gone: Vec<_> = keys
            .filter(|k| !confirmed.contains_key(*k))
            .cloned()
            .collect();
        for key in gone {
            items.change(&key, None);
        }
        drop(items);
        self.shared.1.notify_all();
    }

    /// Sets whether the store refuses all calls.
    pub fn set_busy(&self, is_busy: bool) {
        self.items().is_busy = is_busy;
    }

    /// Drops the history of changes, so that older watches get 410.
    pub fn compact(&self) {
        let mut items = self.items();
        items.compacted_revision = items.content.revision;
        items.history.clear();
    }

    fn items(&self) -> std::sync::MutexGuard<'_, Items> {
        let lock = self.shared.0.lock();
        lock.expect("the mutex is not poisoned")
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(mut call) = connection.read_head() {
            if connection.read_body(&mut call, |_| true).is_err() {
                return;
            }
            let (status, body) = self.answer(&call);
            let (body, era) = (body.to_string(), self.items().era + 1);
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if connection
                .write(format!("{head}{body}").as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, Value) {
        let target = call.start_line_part(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let pairs: BTreeMap<&str, &str> = pairs.collect();
        let text = |name: &str| pairs.get(name).copied().unwrap_or_default();
        if self.items().is_busy || self.items().is_away {
            return (503, json!({}));
        }
        match path {
            "/api/kv-range" => (200, self.range(text("prefix"), text("after"))),
            "/api/kv-watch" => {
                let number = |name: &str| text(name).parse().unwrap_or(0);
                self.watch(number("after"), Duration::from_millis(number("waitMs")))
            }
            "/api/kv-lease" => {
                let mut items = self.items();
                items.content.lease += 1;
                (200, json!({"lease": items.content.lease, "ttlMs": 600_000}))
            }
            "/api/kv-txn" => self.transaction(&call.body),
            _ => (503, json!({})),
        }
    }

    /// Writes all of a gateway's changes, or none if an item has another revision than expected.
    fn transaction(&self, body: &[u8]) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let mut items = self.items();
        let is_met = rows("precondition").iter().all(|row| {
            let known = items
                .content
                .values
                .get(&text(&row["key"]))
                .map_or(0, |(_, rev)| *rev);
            row["rev"].as_u64() == Some(known)
        });
        if !is_met {
            return (412, json!({"items": []}));
        }
        let is_granted = |row: &Value| row["lease"].as_u64().unwrap_or(0) <= items.content.lease;
        if !rows("puts").iter().all(is_granted) {
            return (404, json!({}));
        }
        let decode = |value: &Value| {
            let bytes = BASE64.decode(text(value)).unwrap_or_default();
            String::from_utf8(bytes).unwrap_or_default()
        };
        let puts = rows("puts").into_iter();
        let puts = puts.map(|row| (text(&row["key"]), Some(decode(&row["value"]))));
        let deletes = rows("deletes").into_iter().map(|key| (text(&key), None));
        for (key, value) in puts.chain(deletes) {
            items.change(&key, value);
        }
        let revision = items.content.revision;
        drop(items);
        self.shared.1.notify_all();
        (200, json!({"rev": revision}))
    }

    fn range(&self, prefix: &str, after: &str) -> Value {
        let items = self.items();
        let found = items.content.values.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<_> = found
            .map(|(key, (value, rev))| item(key, value, *rev))
            .collect();
        json!({"items": found, "hasMore": false, "storeRevision": items.content.revision})
    }

    fn watch(&self, after: u64, wait: Duration) -> (u16, Value) {
        let end = Instant::now() + wait;
        let mut items = self.items();
        let era = items.era;
        loop {
            if items.is_away {
                return (503, json!({}));
            }
            if after < items.compacted_revision || after > items.content.revision {
                return (410, json!({}));
            }
            let left = end.saturating_duration_since(Instant::now());
            let has_changed = items.content.revision > after || items.era != era;
            if has_changed || left.is_zero() || items.is_busy {
                break;
            }
            let waited = self.shared.1.wait_timeout(items, left);
            items = waited.expect("the mutex is not poisoned").0;
        }
        let events = items
            .history
            .iter()
            .filter(|(revision, ..)| *revision > after);
        let events: Vec<_> = events
            .map(|(revision, key, value)| match value {
                Some(value) => item(key, value, *revision),
                None => json!({"key": key, "rev": revision, "tombstone": true}),
            })
            .collect();
        (
            200,
            json!({"events": events, "storeRevision": items.content.revision}),
        )
    }
}

fn item(key: &str, value: &str, revision: u64) -> Value {
    json!({"key": key, "value": BASE64.encode(value), "rev": revision, "created": 1, "lease": 0})
}
