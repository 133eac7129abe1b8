//! The test deployment of one seed (gateways, upstreams, store and clients) and the injection of its faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client;
use crate::draw::Draw;
use crate::faults::Fault;
use crate::gateway::Gateway;
use crate::ledger::{Kind, Ledger, Report};
use crate::proxy::{Proxy, Way};
use crate::store::Store;
use crate::upstream::{Mood, Upstream};

const GATEWAYS: usize = 2;
const UPSTREAMS: usize = 5;
const CLIENTS: u64 = 24;
const ACCOUNTS: usize = 3;

/// Index of the account whose key is replaced during the test.
pub const CHANGING: usize = ACCOUNTS - 1;

/// Polling interval of the main loop.
const STEP: Duration = Duration::from_millis(20);

/// Maximum number of faults in effect at the same time.
const MOST_FAULTS: usize = 5;

/// Timeout for recovery after all faults. The target of the deployments is 12 s; a busy machine may need longer.
const RECOVERY: Duration = Duration::from_mins(1);

/// State that the clients share.
#[derive(Debug)]
pub struct Shared {
    /// Seed of the run.
    pub seed: u64,
    /// Record of requests and runs, with its checks.
    pub ledger: Arc<Ledger>,
    gateways: Mutex<BTreeMap<usize, SocketAddr>>,
    /// Current key of the last account, and its previous key, which was revoked.
    changing: Mutex<(String, String)>,
    is_over: AtomicBool,
}

impl Shared {
    /// Returns whether clients should stop.
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Returns a random gateway that accepts new connections.
    pub fn gateway(&self, draw: &mut Draw) -> Option<SocketAddr> {
        let gateways = self.gateways.lock().expect("the mutex is not poisoned");
        let all: Vec<_> = gateways.values().copied().collect();
        (!all.is_empty()).then(|| *draw.pick(&all))
    }

    /// Returns a random API key and its account. For the last account, half of the keys are its revoked one.
    pub fn key(&self, draw: &mut Draw) -> (String, String) {
        let at = usize::try_from(draw.below(ACCOUNTS as u64)).expect("the index fits in usize");
        if at != CHANGING {
            return (fixed_key(at), account(at));
        }
        let changing = self.changing.lock().expect("the mutex is not poisoned");
        let (now, before) = changing.clone();
        (if draw.chance(50) { now } else { before }, account(at))
    }
}

fn fixed_key(at: usize) -> String {
    format!("key-{at}")
}

/// Returns the name of an account.
pub fn account(at: usize) -> String {
    format!("account-{at}")
}

/// A running test.
#[derive(Debug)]
pub struct World {
    shared: Arc<Shared>,
    draw: Draw,
    store: Store,
    /// Proxies between each gateway and the store.
    store_proxies: Vec<Proxy>,
    gateways: Vec<Gateway>,
    started: usize,
    upstreams: Vec<Upstream>,
    version: u64,
    dir: PathBuf,
    active: Vec<(Fault, Instant)>,
    /// Replaced upstreams, with the time at which their entries are removed from the store.
    leaving: Vec<(Arc<str>, Instant)>,
    events: Vec<String>,
    began: Instant,
}

impl World {
    /// Starts the store, the upstreams and the gateways.
    pub fn start(seed: u64) -> Self {
        let dir =
            std::env::temp_dir().join(format!("fireflywind-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the temporary directory can be written");
        let store = Store::start();
        let shared = Arc::new(Shared {
            seed,
            ledger: Arc::default(),
            gateways: Mutex::default(),
            changing: Mutex::new(("first".to_owned(), "none".to_owned())),
            is_over: AtomicBool::new(false),
        });
        let mut world = Self {
            shared,
            draw: Draw::new(seed, 0),
            store_proxies: (0..GATEWAYS).map(|_| Proxy::start(store.addr)).collect(),
            store,
            gateways: Vec::new(),
            started: 0,
            upstreams: Vec::new(),
            version: 0,
            dir,
            active: Vec::new(),
            leaving: Vec::new(),
            events: Vec::new(),
            began: Instant::now(),
        };
        world.configure();
        for _ in 0..UPSTREAMS {
            let upstream = world.new_upstream();
            world.upstreams.push(upstream);
        }
        for at in 0..GATEWAYS {
            let gateway = world.new_gateway(at);
            world.gateways.push(gateway);
        }
        world
    }

    /// Injects faults for a time, ends them all, and waits until all gateways serve again.
    pub fn run(mut self, span: Duration) -> Report {
        let clients = self.start_clients();
        let end = Instant::now() + span;
        let mut next = Instant::now();
        while Instant::now() < end {
            self.end_faults(Instant::now());
            if Instant::now() >= next {
                next = Instant::now() + self.draw.millis(30, 250);
                let fault = Fault::draw(&mut self.draw, GATEWAYS as u64, UPSTREAMS as u64);
                let until = Instant::now() + Fault::span(&mut self.draw);
                self.begin(fault, until);
            }
            thread::sleep(STEP);
        }
        self.end_faults(Instant::now() + Duration::from_mins(10));
        self.recover();
        self.shared.is_over.store(true, Ordering::SeqCst);
        for client in clients {
            client.join().expect("the client does not panic");
        }
        // Connections that stay open would use up file descriptors in the runs of the next seeds.
        let upstreams = self.upstreams.iter().map(|u| &u.proxy);
        for proxy in self.store_proxies.iter().chain(upstreams) {
            proxy.reset();
        }
        let report = self.shared.ledger.report();
        if report.findings.is_empty() {
            // The logs are only kept for runs with findings.
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("logs: {}", self.dir.display());
            println!("{}", self.events.join("\n"));
        }
        report
    }

    fn start_clients(&self) -> Vec<JoinHandle<()>> {
        let clients = (0..CLIENTS).map(|number| {
            let shared = Arc::clone(&self.shared);
            thread::spawn(move || client::run(&shared, number))
        });
        clients.collect()
    }

    fn begin(&mut self, fault: Fault, until: Instant) {
        let is_active = self.active.iter().any(|(f, _)| *f == fault);
        if is_active || self.active.len() >= MOST_FAULTS {
            return;
        }
        let at = self.began.elapsed().as_millis();
        self.events.push(format!("  {at} ms: {fault:?}"));
        match fault {
            Fault::Freeze(at) => self.gateways[at].signal("-STOP"),
            Fault::Kill(at) => {
                self.gateways[at].signal("-KILL");
                self.gateways[at].wait();
                self.gateways[at] = self.new_gateway(at);
                return;
            }
            Fault::Stop(at) => {
                self.stop(at);
                return;
            }
            Fault::HangUp(at) => {
                self.gateways[at].signal("-HUP");
                return;
            }
            Fault::StoreBusy => self.store.set_busy(true),
            Fault::StoreWay(at, way) => self.store_proxies[at].set(way),
            Fault::StoreReset(at) => {
                self.store_proxies[at].reset();
                return;
            }
            Fault::Compact => {
                self.store.compact();
                return;
            }
            Fault::UpstreamWay(at, way) => self.upstreams[at].proxy.set(way),
            Fault::UpstreamReset(at) => {
                self.upstreams[at].proxy.reset();
                return;
            }
            Fault::UpstreamMood(at, mood) => self.upstreams[at].set(mood),
            Fault::Crash(at) => {
                self.upstreams[at].set(Mood::Dead);
                self.upstreams[at].proxy.reset();
                self.replace(at, until);
                return;
            }
            Fault::Leave(at) => {
                let old = &self.upstreams[at];
                let key = format!("servers/{}", old.id);
                self.store.put(&key, &old.entry("draining", 2));
                self.replace(at, until);
                return;
            }
            Fault::Configure => {
                self.configure();
                return;
            }
            Fault::Revoke => {
                self.revoke();
                return;
            }
        }
        self.active.push((fault, until));
    }

    fn end_faults(&mut self, now: Instant) {
        for (fault, _) in self.active.extract_if(.., |(_, until)| *until <= now) {
            match fault {
                Fault::Freeze(at) => self.gateways[at].signal("-CONT"),
                Fault::StoreBusy => self.store.set_busy(false),
                Fault::StoreWay(at, _) => self.store_proxies[at].set(Way::Open),
                Fault::UpstreamWay(at, _) => self.upstreams[at].proxy.set(Way::Open),
                Fault::UpstreamMood(at, _) => self.upstreams[at].set(Mood::Sound),
                _ => {}
            }
        }
        for (id, _) in self.leaving.extract_if(.., |(_, until)| *until <= now) {
            self.store.remove(&format!("servers/{id}"));
        }
    }

    /// Stops a gateway gracefully and starts its successor; clients keep their open connections until it ends.
    fn stop(&mut self, at: usize) {
        // A suspended process does not handle SIGTERM.
        self.active.retain(|(fault, _)| *fault != Fault::Freeze(at));
        self.gateways[at].signal("-CONT");
        self.gateways[at].signal("-TERM");
        let successor = self.new_gateway(at);
        let mut old = std::mem::replace(&mut self.gateways[at], successor);
        thread::spawn(move || old.wait());
    }

    fn new_gateway(&mut self, at: usize) -> Gateway {
        self.active.retain(|(fault, _)| *fault != Fault::Freeze(at));
        self.started += 1;
        let name = format!("g{}", self.started);
        let gateway = Gateway::start(&name, self.store_proxies[at].addr, &self.dir);
        let mut gateways = self
            .shared
            .gateways
            .lock()
            .expect("the mutex is not poisoned");
        gateways.insert(at, gateway.listen);
        drop(gateways);
        gateway
    }

    fn new_upstream(&mut self) -> Upstream {
        let id = format!("i-{:08x}", self.draw.below(1 << 32));
        let upstream = Upstream::start(&id, Arc::clone(&self.shared.ledger));
        self.store
            .put(&format!("servers/{id}"), &upstream.entry("ready", 1));
        upstream
    }

    fn replace(&mut self, at: usize, until: Instant) {
        self.active.retain(|(fault, _)| {
            !matches!(fault, Fault::UpstreamWay(a, _) | Fault::UpstreamMood(a, _) if *a == at)
        });
        let new = self.new_upstream();
        let old = std::mem::replace(&mut self.upstreams[at], new);
        old.proxy.set(Way::Open);
        self.leaving.push((old.id, until));
    }

    /// Writes the next version of the configuration.
    fn configure(&mut self) {
        self.version += 1;
        let routes = [Kind::Order, Kind::Lookup, Kind::Generation].map(|kind| {
            let (kind_name, is_stream) = match kind {
                Kind::Order => ("unsafe", false),
                Kind::Lookup => ("safe", false),
                Kind::Generation => ("stream", true),
            };
            let models = if is_stream { json!(["small", "large"]) } else { json!([]) };
            json!({"name": kind_name, "host": "soak.example", "prefix": kind.prefix(), "type": kind_name,
                "timeoutMs": 4_000, "goalMs": 500, "priority": 1, "service": "s", "attempts": crate::ledger::ATTEMPTS,
                "public": false, "sticky": is_stream, "resumable": is_stream, "gapAimMs": 1_000, "sizes": models})
        });
        let (current, _) = self
            .shared
            .changing
            .lock()
            .expect("the mutex is not poisoned")
            .clone();
        let keys = (0..ACCOUNTS).map(|at| {
            if at == CHANGING {
                current.clone()
            } else {
                fixed_key(at)
            }
        });
        let accounts = keys
            .enumerate()
            .map(|(at, key)| json!({"name": account(at), "apiKeys": [key]}));
        let accounts: Vec<_> = accounts.collect();
        let table = json!({"version": self.version, "routes": routes, "tenants": accounts,
            "services": [{"name": "s", "maxConns": 400}],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_048_576, "headerTimeoutMs": 5_000, "idleTimeoutMs": 20_000}});
        self.store.put("op/config", &table);
    }

    /// Replaces the key of the last account.
    fn revoke(&mut self) {
        let mut changing = self
            .shared
            .changing
            .lock()
            .expect("the mutex is not poisoned");
        let new = format!("key-{:x}", self.draw.next());
        let old = std::mem::replace(&mut changing.0, new);
        changing.1.clone_from(&old);
        drop(changing);
        self.configure();
        self.shared.ledger.revoke(&old);
    }

    /// Waits until each gateway is ready and clients are served again.
    fn recover(&self) {
        let ended = Instant::now();
        let before = self.shared.ledger.delivered();
        let is_back = || {
            self.gateways.iter().all(Gateway::is_ready)
                && self.shared.ledger.delivered() > before + 20
        };
        while !is_back() {
            if ended.elapsed() > RECOVERY {
                let finding = "requests were not served again after the faults ended";
                self.shared.ledger.find(finding.to_owned());
                return;
            }
            thread::sleep(STEP);
        }
    }
}
