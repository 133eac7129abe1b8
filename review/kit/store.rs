//! A stand-in for the platform's store: range reads, watches, conditional writes and leases. It keeps its history of
//! changes for `historyS`. Each machine has an address of its own at the store, so that it can be turned away alone.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, respond};
use crate::json::{Json, base64, from_base64};

/// `historyS` of the settings.
const HISTORY: Duration = Duration::from_secs(20);

/// Items of one page.
const PAGE: usize = 50;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Change {
    at: Instant,
    rev: u64,
    key: String,
    /// The item as JSON.
    event: Arc<str>,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    rev: u64,
    history: VecDeque<Change>,
    /// Changes up to this revision are no longer in the history.
    forgotten: u64,
    leases: BTreeMap<u64, Instant>,
    next_lease: u64,
}

impl State {
    fn change(&mut self, key: &str, value: Option<(&str, u64)>) {
        self.rev += 1;
        let rev = self.rev;
        let event = match value {
            Some((value, lease)) => {
                let created = self.items.get(key).map_or(rev, |i| i.created);
                let item = Item {
                    value: value.to_owned(),
                    rev,
                    created,
                    lease,
                };
                let event = item_json(key, &item);
                self.items.insert(key.to_owned(), item);
                event
            }
            None => {
                self.items.remove(key);
                format!("{{\"key\":\"{key}\",\"rev\":{rev},\"tombstone\":true}}")
            }
        };
        let at = Instant::now();
        self.history.push_back(Change {
            at,
            rev,
            key: key.to_owned(),
            event: event.into(),
        });
        self.forget();
    }

    fn forget(&mut self) {
        while self
            .history
            .front()
            .is_some_and(|c| c.at.elapsed() > HISTORY)
        {
            if let Some(change) = self.history.pop_front() {
                self.forgotten = change.rev;
            }
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(l, _)| *l)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == lease)
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.change(&key, None);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.rev, item.created, item.lease
    )
}

/// How one machine is turned away.
#[derive(Debug, Default)]
struct Door {
    is_shut: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

#[derive(Debug, Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    doors: Arc<Mutex<Vec<(SocketAddr, Arc<Door>)>>>,
}

impl Store {
    /// Opens an address for one machine.
    pub fn listen(&self, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback port is free");
        let addr = listener.local_addr().expect("the listener is bound");
        let door = Arc::new(Door::default());
        self.doors
            .lock()
            .expect("lock")
            .push((addr, Arc::clone(&door)));
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if let Ok(copy) = stream.try_clone() {
                    door.streams.lock().expect("lock").push(copy);
                }
                let (store, door) = (store.clone(), Arc::clone(&door));
                thread::spawn(move || store.serve(Conn::new(stream), &door));
            }
        });
        addr
    }

    /// Answers 503 to all calls of a machine and cuts its waiting ones, or lets it in again.
    pub fn turn_away(&self, addr: SocketAddr, is_shut: bool) {
        let doors = self.doors.lock().expect("lock");
        for (_, door) in doors.iter().filter(|(a, _)| *a == addr) {
            door.is_shut.store(is_shut, Ordering::SeqCst);
            if !is_shut {
                continue;
            }
            for stream in door.streams.lock().expect("lock").drain(..) {
                reset(&stream);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("lock")
    }

    /// Writes an item as the operator or a worker does; it is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let value = base64(value.as_bytes());
        self.lock().change(key, Some((&value, 0)));
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.lock().change(key, None);
        self.state.1.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.lock();
        let item = state.items.get(key)?;
        String::from_utf8(from_base64(&item.value)).ok()
    }

    fn serve(&self, mut conn: Conn, door: &Door) {
        while let Ok(call) = conn.read_message() {
            let is_answered = if door.is_shut.load(Ordering::SeqCst) {
                respond(&mut conn, 503, "{}")
            } else {
                self.answer(&mut conn, &call)
            };
            if is_answered.is_err() {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, call: &crate::http::Message) -> io::Result<()> {
        let (method, target) = (call.word(0), call.word(1));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: Vec<(String, String)> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(n, v)| (n.to_owned(), percent_decode(v)))
            .collect();
        let arg = |name: &str| {
            query
                .iter()
                .find(|(n, _)| n == name)
                .map_or("", |(_, v)| v.as_str())
        };
        let body = String::from_utf8_lossy(&call.body).into_owned();
        self.lock().expire_leases();
        match (method, path) {
            ("GET", "/api/kv-key") => {
                let state = self.lock();
                let found = state
                    .items
                    .get(arg("key"))
                    .map(|i| item_json(arg("key"), i));
                let rev = state.rev;
                drop(state);
                match found {
                    Some(item) => {
                        let item = item.trim_end_matches('}');
                        respond(conn, 200, &format!("{item},\"storeRevision\":{rev}}}"))
                    }
                    None => respond(conn, 404, &format!("{{\"storeRevision\":{rev}}}")),
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (arg("prefix"), arg("after"));
                let state = self.lock();
                let mut found = state
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
                let page: Vec<String> = found
                    .by_ref()
                    .take(PAGE)
                    .map(|(k, i)| item_json(k, i))
                    .collect();
                let has_more = found.next().is_some();
                let text = format!(
                    "{{\"items\":[{}],\"hasMore\":{has_more},\"storeRevision\":{}}}",
                    page.join(","),
                    state.rev
                );
                drop(state);
                respond(conn, 200, &text)
            }
            ("GET", "/api/kv-watch") => {
                let after: u64 = arg("after").parse().unwrap_or(0);
                let wait: u64 = arg("waitMs").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                let prefix = arg("prefix");
                let mut state = self.lock();
                loop {
                    state.forget();
                    if after < state.forgotten {
                        drop(state);
                        return respond(conn, 410, "{}");
                    }
                    let new = state
                        .history
                        .iter()
                        .filter(|c| c.rev > after && c.key.starts_with(prefix));
                    let events: Vec<Arc<str>> = new.map(|c| Arc::clone(&c.event)).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let rev = state.rev;
                        drop(state);
                        let text = format!(
                            "{{\"events\":[{}],\"storeRevision\":{rev}}}",
                            events.join(",")
                        );
                        return respond(conn, 200, &text);
                    }
                    state = self.state.1.wait_timeout(state, left).expect("lock").0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let Some(txn) = Json::parse(&body) else {
                    return respond(conn, 400, "{}");
                };
                let mut state = self.lock();
                let holds = txn.get("precondition").list().iter().all(|row| {
                    let known = state.items.get(row.get("key").text()).map_or(0, |i| i.rev);
                    known == row.get("rev").number()
                });
                let puts = txn.get("puts").list();
                let leases = puts.iter().map(|p| p.get("lease").number());
                let has_leases = leases
                    .filter(|l| *l > 0)
                    .all(|l| state.leases.contains_key(&l));
                let is_allowed = !puts.iter().any(|p| {
                    let key = p.get("key").text();
                    key.starts_with("op/") || key.starts_with("servers/")
                });
                let (status, text) = if !is_allowed {
                    (403, "{}".to_owned())
                } else if !has_leases {
                    (404, "{}".to_owned())
                } else if !holds {
                    let rows = txn.get("precondition").list().iter();
                    let items = rows.filter_map(|row| {
                        let key = row.get("key").text();
                        state.items.get(key).map(|i| item_json(key, i))
                    });
                    (
                        412,
                        format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(",")),
                    )
                } else {
                    for put in puts {
                        let lease = put.get("lease").number();
                        state.change(
                            put.get("key").text(),
                            Some((put.get("value").text(), lease)),
                        );
                    }
                    for key in txn.get("deletes").list() {
                        state.change(key.text(), None);
                    }
                    (200, format!("{{\"rev\":{}}}", state.rev))
                };
                drop(state);
                self.state.1.notify_all();
                respond(conn, status, &text)
            }
            ("POST", "/api/kv-lease") => {
                let ttl = Json::parse(&body).map_or(0, |j| j.get("ttlMs").number());
                let ttl = ttl.clamp(1_000, 600_000);
                let mut state = self.lock();
                state.next_lease += 1;
                let lease = state.next_lease;
                state
                    .leases
                    .insert(lease, Instant::now() + Duration::from_millis(ttl));
                drop(state);
                respond(conn, 200, &format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            _ => respond(conn, 404, "{}"),
        }
    }
}

/// Closes a connection without an answer.
fn reset(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|c| u8::from_str_radix(c, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
