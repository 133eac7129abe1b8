//! A stand-in for the platform's store that follows its published protocol. It supports range reads and watches,
//! and refuses writes from gateways.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Value, json};

use crate::http::{Connection, Message};

#[derive(Debug, Default)]
struct Items {
    values: BTreeMap<String, (String, u64)>,
    /// Changes in order, each with its revision; `None` is a removal.
    history: Vec<(u64, String, Option<String>)>,
    revision: u64,
    /// Revision up to which the history was dropped.
    compacted_revision: u64,
    is_busy: bool,
}

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
        self.change(key, Some(value.to_string()));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// Sets whether the store refuses all calls.
    pub fn set_busy(&self, is_busy: bool) {
        self.items().is_busy = is_busy;
    }

    /// Drops the history of changes, so that older watches get 410.
    pub fn compact(&self) {
        let mut items = self.items();
        items.compacted_revision = items.revision;
        items.history.clear();
    }

    fn items(&self) -> std::sync::MutexGuard<'_, Items> {
        let lock = self.shared.0.lock();
        lock.expect("the mutex is not poisoned")
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut items = self.items();
        items.revision += 1;
        let revision = items.revision;
        match &value {
            Some(value) => items
                .values
                .insert(key.to_owned(), (value.clone(), revision)),
            None => items.values.remove(key),
        };
        items.history.push((revision, key.to_owned(), value));
        drop(items);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(mut call) = connection.read_head() {
            if connection.read_body(&mut call, |_| true).is_err() {
                return;
            }
            let (status, body) = self.answer(&call);
            let body = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
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
        let (path, query) = call.start_line_part(1).split_once('?').unwrap_or_default();
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let pairs: BTreeMap<&str, &str> = pairs.collect();
        let text = |name: &str| pairs.get(name).copied().unwrap_or_default();
        if self.items().is_busy {
            return (503, json!({}));
        }
        match path {
            "/api/kv-range" => (200, self.range(text("prefix"), text("after"))),
            "/api/kv-watch" => {
                let number = |name: &str| text(name).parse().unwrap_or(0);
                self.watch(number("after"), Duration::from_millis(number("waitMs")))
            }
            _ => (503, json!({})),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Value {
        let items = self.items();
        let found = items.values.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<_> = found
            .map(|(key, (value, rev))| item(key, value, *rev))
            .collect();
        json!({"items": found, "hasMore": false, "storeRevision": items.revision})
    }

    fn watch(&self, after: u64, wait: Duration) -> (u16, Value) {
        let end = Instant::now() + wait;
        let mut items = self.items();
        loop {
            if after < items.compacted_revision {
                return (410, json!({}));
            }
            let left = end.saturating_duration_since(Instant::now());
            if items.revision > after || left.is_zero() || items.is_busy {
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
            json!({"events": events, "storeRevision": items.revision}),
        )
    }
}

fn item(key: &str, value: &str, revision: u64) -> Value {
    json!({"key": key, "value": BASE64.encode(value), "rev": revision, "created": 1, "lease": 0})
}
