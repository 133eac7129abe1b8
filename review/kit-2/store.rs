//! The platform's store: range reads, watches, conditional writes and leases. Nothing is lost, delayed or refused.

use super::*;
use json::{to_base64, Json};

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Items {
    items: BTreeMap<String, Item>,
    /// Changes in order; without a value it is a removal.
    history: Vec<(String, u64, Option<Item>)>,
    rev: u64,
    leases: BTreeMap<u64, Instant>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<Items>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            addr: listener.local_addr()?,
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().rev = 100;
        let running = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = running.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(ms(50));
            expiring.expire();
        });
        Ok(store)
    }

    /// Writes an item as the operator or a worker.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        let rev = state.change(vec![(
            key.to_owned(),
            Some((to_base64(value.as_bytes()), 0)),
        )]);
        drop(state);
        self.state.1.notify_all();
        rev
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        if state.items.contains_key(key) {
            state.change(vec![(key.to_owned(), None)]);
        }
        drop(state);
        self.state.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.leases.remove(&lease);
            let keys: Vec<String> = state
                .items
                .iter()
                .filter(|(_, i)| i.lease == lease)
                .map(|(k, _)| k.clone())
                .collect();
            for key in keys {
                state.change(vec![(key, None)]);
            }
        }
        drop(state);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(mut call) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &mut call)?;
            let (status, body) = self.call(&call);
            http::answer(
                &mut out,
                status,
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            )?;
        }
        Ok(())
    }

    fn call(&self, call: &http::Message) -> (u16, String) {
        let target = call.word(1).to_owned();
        let path = target.split('?').next().unwrap_or_default().to_owned();
        match (call.word(0), path.as_str()) {
            ("GET", "/api/kv-key") => {
                let key = http::query(&target, "key").unwrap_or_default();
                let state = self.state.0.lock().unwrap();
                match state.items.get(&key) {
                    Some(item) => (
                        200,
                        item_json(&key, item, &format!(",\"storeRevision\":{}", state.rev)),
                    ),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/api/kv-range") => {
                let prefix = http::query(&target, "prefix").unwrap_or_default();
                let after = http::query(&target, "after").unwrap_or_default();
                let state = self.state.0.lock().unwrap();
                let mut rows: Vec<String> = Vec::new();
                let mut more = false;
                for (key, item) in state
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && **k > after)
                {
                    if rows.len() == 500 {
                        more = true;
                        break;
                    }
                    rows.push(item_json(key, item, ""));
                }
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"hasMore\":{more},\"storeRevision\":{}}}",
                        rows.join(","),
                        state.rev
                    ),
                )
            }
            ("GET", "/api/kv-watch") => {
                let prefix = http::query(&target, "prefix").unwrap_or_default();
                let number = |name| {
                    http::query(&target, name)
                        .and_then(|v| v.parse::<u64>().ok())
                        .unwrap_or(0)
                };
                let (after, wait) = (number("after"), number("waitMs"));
                let until = Instant::now() + ms(wait);
                let mut state = self.state.0.lock().unwrap();
                loop {
                    let events: Vec<String> = (state.history.iter())
                        .filter(|(k, rev, _)| *rev > after && k.starts_with(&prefix))
                        .map(|(k, rev, item)| match item {
                            Some(item) => item_json(k, item, ""),
                            None => format!("{{\"key\":\"{k}\",\"rev\":{rev},\"tombstone\":true}}"),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (
                            200,
                            format!(
                                "{{\"events\":[{}],\"storeRevision\":{}}}",
                                events.join(","),
                                state.rev
                            ),
                        );
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
                let mut state = self.state.0.lock().unwrap();
                let rows = body.get("precondition").list();
                let is_met = |row: &Json| {
                    state.items.get(row.get("key").text()).map_or(0, |i| i.rev)
                        == row.get("rev").number()
                };
                if !rows.iter().all(is_met) {
                    let items: Vec<String> = (rows.iter())
                        .filter_map(|r| {
                            state
                                .items
                                .get(r.get("key").text())
                                .map(|i| item_json(r.get("key").text(), i, ""))
                        })
                        .collect();
                    return (412, format!("{{\"items\":[{}]}}", items.join(",")));
                }
                let mut changes = Vec::new();
                for put in body.get("puts").list() {
                    let (key, lease) = (put.get("key").text(), put.get("lease").number());
                    if key.starts_with("op/") || key.starts_with("servers/") {
                        return (403, "{}".to_owned());
                    }
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return (404, "{}".to_owned());
                    }
                    changes.push((
                        key.to_owned(),
                        Some((put.get("value").text().to_owned(), lease)),
                    ));
                }
                for key in body.get("deletes").list() {
                    changes.push((key.text().to_owned(), None));
                }
                let rev = state.change(changes);
                drop(state);
                self.state.1.notify_all();
                (200, format!("{{\"rev\":{rev}}}"))
            }
            ("POST", "/api/kv-lease") => {
                let ttl = Json::parse(&String::from_utf8_lossy(&call.body))
                    .map_or(0, |b| b.get("ttlMs").number());
                let ttl = ttl.clamp(1_000, 600_000);
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, Instant::now() + ms(ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(0);
                let mut state = self.state.0.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some(until) => {
                        *until = Instant::now() + ms(600_000);
                        (200, "{\"ttlMs\":600000}".to_owned())
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl Items {
    /// Applies changes at one revision; a change without a value is a removal.
    fn change(&mut self, changes: Vec<(String, Option<(String, u64)>)>) -> u64 {
        self.rev += 1;
        let rev = self.rev;
        for (key, value) in changes {
            match value {
                Some((value, lease)) => {
                    let created = self.items.get(&key).map_or(rev, |i| i.created);
                    let item = Item {
                        value,
                        rev,
                        created,
                        lease,
                    };
                    self.items.insert(key.clone(), item.clone());
                    self.history.push((key, rev, Some(item)));
                }
                None => {
                    if self.items.remove(&key).is_some() {
                        self.history.push((key, rev, None));
                    }
                }
            }
        }
        rev
    }
}

fn item_json(key: &str, item: &Item, more: &str) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}{more}}}",
        item.value, item.rev, item.created, item.lease
    )
}
