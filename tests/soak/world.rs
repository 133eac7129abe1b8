//! The test deployment of one seed (gateways, upstreams, store and clients) and the injection of its faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::checker::{Checker, Kind, Report};
use crate::client;
use crate::faults::Fault;
use crate::gateway::{self, Gateway};
use crate::plain;
use crate::proxy::{ForwardMode, Proxy};
use crate::rng::Rng;
use crate::store::Store;
use crate::upstream::{Behaviour, Upstream, data_centre};

const GATEWAYS: usize = 2;

/// Number of gateways of every tenth seed.
const MANY_GATEWAYS: usize = 40;

const UPSTREAMS: usize = 5;
const CLIENTS: u64 = 24;
const ACCOUNTS: usize = 3;

/// Index of the account whose key is replaced during the test.
pub const ROTATED_ACCOUNT: usize = ACCOUNTS - 1;

/// Polling interval of the main loop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of faults in effect at the same time.
const MAX_ACTIVE_FAULTS: usize = 5;

/// Time without faults at the end of a run, in which rules with a time bound are checked.
const QUIET_TIME: Duration = Duration::from_secs(8);

/// Time after which the entry of an upstream that has crashed is removed from the store.
const EXPIRY: Duration = Duration::from_millis(700);

/// Timeout for recovery after all faults. The target of the deployments is 12 s; a busy machine may need longer.
const RECOVERY_TIMEOUT: Duration = Duration::from_mins(1);

/// Longest time after the store's return until the operator and the upstreams have written again what a restore lost.
const MAX_REWRITE_DELAY_MS: u64 = 1_500;

/// Interval at which one upstream after the other writes its entry again.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// State that the clients share.
#[derive(Debug)]
pub struct Shared {
    /// Seed of the run.
    pub seed: u64,
    /// Record of requests and runs, with its checks.
    pub checker: Arc<Checker>,
    gateways: Mutex<BTreeMap<usize, SocketAddr>>,
    /// Current key of the last account, and its previous key, which was revoked.
    rotated_keys: Mutex<(String, String)>,
    is_finished: AtomicBool,
    /// Version of the newest configuration.
    version: AtomicU64,
}

impl Shared {
    /// Returns the version of the newest configuration.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Returns whether clients should stop.
    pub fn is_finished(&self) -> bool {
        self.is_finished.load(Ordering::SeqCst)
    }

    /// Returns a random gateway that accepts new connections.
    pub fn gateway(&self, rng: &mut Rng) -> Option<SocketAddr> {
        let gateways = self.gateways.lock().expect("the mutex is not poisoned");
        let all: Vec<_> = gateways.values().copied().collect();
        (!all.is_empty()).then(|| *rng.choose(&all))
    }

    /// Returns one of the gateways that accept new connections.
    pub fn gateway_at(&self, number: u64) -> Option<SocketAddr> {
        let gateways = self.gateways.lock().expect("the mutex is not poisoned");
        let at = usize::try_from(number).ok()?.checked_rem(gateways.len())?;
        gateways.values().nth(at).copied()
    }

    /// Returns a random API key and its account. For the last account, half of the keys are its revoked one.
    pub fn key(&self, rng: &mut Rng) -> (String, String) {
        let at = usize::try_from(rng.below(ACCOUNTS as u64)).expect("the index fits in usize");
        if at != ROTATED_ACCOUNT {
            return (fixed_key(at), account(at));
        }
        let rotated_keys = self.rotated_keys.lock().expect("the mutex is not poisoned");
        let (now, before) = rotated_keys.clone();
        (
            if rng.percent_chance(50) { now } else { before },
            account(at),
        )
    }
}

fn fixed_key(at: usize) -> String {
    format!("key-{at}")
}

/// Returns the name of an account.
pub fn account(at: usize) -> String {
    format!("account-{at}")
}

/// What comes next of the restores of the store; they follow one another until the end of the faults.
#[derive(Debug, Clone, Copy)]
enum Restore {
    /// The store goes away and is restored.
    Due(Instant),
    /// The store is away until then.
    Away(Instant),
    /// What was lost is written again then.
    Rewrite(Instant),
    Ended,
}

/// A running test.
#[derive(Debug)]
pub struct World {
    shared: Arc<Shared>,
    rng: Rng,
    store: Store,
    /// Proxies between each gateway and the store.
    store_proxies: Vec<Proxy>,
    gateways: Vec<Gateway>,
    gateways_started: usize,
    upstreams: Vec<Upstream>,
    /// Proxies of all upstreams of the run.
    upstream_proxies: Vec<Proxy>,
    dir: PathBuf,
    /// Decides when the store is restored; the other faults of a seed do not depend on it.
    restore_rng: Rng,
    restore: Restore,
    /// Decides when upstreams leave early or want a pause; the other faults of a seed do not depend on it.
    notice_rng: Rng,
    next_notice: Instant,
    /// Upstreams that say that they leave while the store has them as ready, and until when they run.
    leaving: Vec<(Upstream, Instant)>,
    paused_until: Instant,
    /// Decides what is evacuated and when; the other faults of a seed do not depend on it.
    evacuation_rng: Rng,
    evacuated: Option<&'static str>,
    next_evacuation: Instant,
    /// Sequence number of the last entry that an upstream wrote, and when it was written.
    heartbeat: (u64, Instant),
    active: Vec<(Fault, Instant)>,
    /// Replaced upstreams, with the time at which their entries are removed from the store.
    replaced: Vec<(Arc<str>, Instant)>,
    injected: Vec<String>,
    started_at: Instant,
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
            checker: Arc::default(),
            gateways: Mutex::default(),
            rotated_keys: Mutex::new(("first".to_owned(), "none".to_owned())),
            is_finished: AtomicBool::new(false),
            version: AtomicU64::new(0),
        });
        let gateways = if seed.is_multiple_of(10) {
            MANY_GATEWAYS
        } else {
            GATEWAYS
        };
        let mut restore_rng = Rng::new(seed, 1);
        let first_restore = Instant::now() + restore_rng.duration_ms(500, 3_000);
        let mut world = Self {
            shared,
            rng: Rng::new(seed, 0),
            restore_rng,
            restore: Restore::Due(first_restore),
            notice_rng: Rng::new(seed, 2),
            next_notice: Instant::now(),
            leaving: Vec::new(),
            paused_until: Instant::now(),
            evacuation_rng: Rng::new(seed, 3),
            evacuated: None,
            next_evacuation: Instant::now(),
            heartbeat: (1, Instant::now()),
            store_proxies: (0..gateways).map(|_| Proxy::start(store.addr)).collect(),
            store,
            gateways: Vec::new(),
            gateways_started: 0,
            upstreams: Vec::new(),
            upstream_proxies: Vec::new(),
            dir,
            active: Vec::new(),
            replaced: Vec::new(),
            injected: Vec::new(),
            started_at: Instant::now(),
        };
        world.write_configuration();
        for _ in 0..UPSTREAMS {
            let upstream = world.new_upstream();
            world.upstreams.push(upstream);
        }
        for at in 0..gateways {
            let gateway = world.new_gateway(at);
            world.gateways.push(gateway);
        }
        world
    }

    /// Injects faults for a time, ends them all, and waits until all gateways serve again.
    pub fn run(mut self, fault_time: Duration) -> Report {
        let clients = self.start_clients();
        let end = Instant::now() + fault_time;
        let mut next = Instant::now();
        while Instant::now() < end {
            self.end_faults(Instant::now());
            self.react();
            if Instant::now() >= self.next_notice {
                self.next_notice = Instant::now() + self.notice_rng.duration_ms(300, 3_000);
                self.give_notice();
            }
            if Instant::now() >= self.next_evacuation {
                self.next_evacuation = Instant::now() + self.evacuation_rng.duration_ms(200, 3_000);
                self.toggle_evacuation();
            }
            if Instant::now() >= next {
                next = Instant::now() + self.rng.duration_ms(30, 250);
                let gateways = self.gateways.len() as u64;
                let fault = Fault::random(&mut self.rng, gateways, UPSTREAMS as u64);
                let until = Instant::now() + Fault::random_duration(&mut self.rng);
                self.inject(fault, until);
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.end_faults(Instant::now() + Duration::from_mins(10));
        self.end_restores();
        self.set_evacuated(None);
        self.shared.checker.record_disturbance();
        self.wait_for_recovery();
        let limited = &self.upstreams[0];
        limited.set(Behaviour::Limited);
        self.shared.checker.record_limit(&limited.id);
        // The limited upstream keeps its requests.
        let other = if data_centre(&limited.id) == "a" {
            "b"
        } else {
            "a"
        };
        self.set_evacuated(self.serves_without(other).then_some(other));
        let is_bad = !self.shared.seed.is_multiple_of(3);
        plain::start(&self.store, &self.shared, is_bad);
        let end = Instant::now() + QUIET_TIME;
        while Instant::now() < end {
            self.react();
            if self.evacuated.is_some() && !self.serves_without(other) {
                self.set_evacuated(None);
            }
            thread::sleep(POLL_INTERVAL);
        }
        if let Some(finding) = plain::finding(&self.store, is_bad) {
            self.shared.checker.add_finding(finding);
        }
        for gateway in &self.gateways {
            let version = gateway.served_version(self.shared.version());
            if version != Some(self.shared.version()) {
                let (newest, listen) = (self.shared.version(), gateway.listen);
                let finding = format!("{listen} serves by configuration {version:?}, not {newest}");
                self.shared.checker.add_finding(finding);
            }
        }
        self.shared.is_finished.store(true, Ordering::SeqCst);
        for client in clients {
            client.join().expect("the client does not panic");
        }
        // Connections that stay open would use up file descriptors in the runs of the next seeds.
        for proxy in self.store_proxies.iter().chain(&self.upstream_proxies) {
            proxy.end();
        }
        let report = self.shared.checker.report();
        if report.findings.is_empty() {
            // The logs are only kept for runs with findings.
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("logs: {}", self.dir.display());
            println!("{}", self.injected.join("\n"));
        }
        report
    }

    /// Does what the operator, the upstreams and the store do by themselves.
    fn react(&mut self) {
        self.replace_crashed();
        let now = Instant::now();
        if now < self.paused_until {
            self.shared.checker.record_disturbance();
        }
        let left = self.leaving.extract_if(.., |(_, until)| *until <= now);
        for (upstream, _) in left {
            upstream.set(Behaviour::Dead);
            upstream.proxy.reset();
            self.store.remove(&format!("servers/{}", upstream.id));
        }
        let (beat, written_at) = self.heartbeat;
        if now - written_at >= HEARTBEAT_INTERVAL && !matches!(self.restore, Restore::Away(_)) {
            self.heartbeat = (beat + 1, now);
            let upstream = &self.upstreams[usize::try_from(beat).unwrap_or(0) % UPSTREAMS];
            self.store.put(
                &format!("servers/{}", upstream.id),
                &upstream.entry("ready", beat + 1),
            );
        }
        match self.restore {
            Restore::Due(at) if at <= now => {
                let oldest = if self.restore_rng.percent_chance(50) {
                    1_500
                } else {
                    8_000
                };
                let age = self.restore_rng.duration_ms(100, oldest);
                let away = self.restore_rng.duration_ms(0, 2_000);
                let at = self.started_at.elapsed().as_millis();
                (self.injected).push(format!("  {at} ms: restore of {age:?} ago, away {away:?}"));
                self.shared.checker.record_disturbance();
                self.store.restore(age);
                self.restore = Restore::Away(now + away);
            }
            Restore::Away(until) if until <= now => self.return_store(),
            Restore::Rewrite(at) if at <= now => {
                self.store.write_again();
                self.shared.checker.record_disturbance();
                let pause = self.restore_rng.duration_ms(300, 5_000);
                self.restore = Restore::Due(now + pause);
            }
            _ => {}
        }
    }

    /// Lets an upstream say that it leaves, or some of them that they want a pause.
    fn give_notice(&mut self) {
        let rng = &mut self.notice_rng;
        let first = usize::try_from(rng.below(UPSTREAMS as u64)).expect("the index fits in usize");
        let at = self.started_at.elapsed().as_millis();
        if rng.percent_chance(40) {
            let until = Instant::now() + rng.duration_ms(500, 6_000);
            let number = rng.below(1 << 32);
            let new = self.register(number);
            let old = std::mem::replace(&mut self.upstreams[first], new);
            (self.injected).push(format!("  {at} ms: {} says that it leaves", old.id));
            old.leave();
            self.leaving.push((old, until));
            return;
        }
        let (count, longest) = match rng.below(10) {
            0..6 => (1, 20_000),
            6..8 => (UPSTREAMS - 1, 3_000),
            _ => (UPSTREAMS, 3_000),
        };
        let longest = if rng.percent_chance(70) {
            3_000
        } else {
            longest
        };
        let time = rng.duration_ms(300, longest);
        (self.injected).push(format!(
            "  {at} ms: {count} from {first} want a pause of {time:?}"
        ));
        for n in 0..count {
            self.upstreams[(first + n) % UPSTREAMS].pause(time);
        }
        self.paused_until = self.paused_until.max(Instant::now() + time);
    }

    /// Evacuates a data centre, unless no upstream would be left, or takes the evacuation back.
    fn toggle_evacuation(&mut self) {
        let name = *self.evacuation_rng.choose(&["a", "b"]);
        let is_left = |u: &Upstream| data_centre(&u.id) != name;
        let evacuates = self.evacuated.is_none() && self.upstreams.iter().any(is_left);
        self.set_evacuated(evacuates.then_some(name));
    }

    /// Returns whether an upstream that is neither limited nor crashed is left outside a data centre; otherwise its evacuation
    /// refuses all generations.
    fn serves_without(&self, name: &str) -> bool {
        let mut others = self.upstreams.iter().skip(1);
        others.any(|u| data_centre(&u.id) != name && !u.has_crashed())
    }

    fn set_evacuated(&mut self, evacuated: Option<&'static str>) {
        let at = self.started_at.elapsed().as_millis();
        (self.injected).push(format!("  {at} ms: evacuated {evacuated:?}"));
        self.shared.checker.record_evacuation(None);
        if let Some(name) = self.evacuated {
            self.store.remove(&format!("op/evacuate/{name}"));
        }
        if let Some(name) = evacuated {
            self.store.put(&format!("op/evacuate/{name}"), &json!({}));
        }
        self.evacuated = evacuated;
        self.shared.checker.record_evacuation(evacuated);
    }

    fn return_store(&mut self) {
        self.store.set_returned();
        self.shared.checker.record_disturbance();
        let delay = self.restore_rng.duration_ms(0, MAX_REWRITE_DELAY_MS);
        self.restore = Restore::Rewrite(Instant::now() + delay);
    }

    /// Ends a restore that is under way; no other follows.
    fn end_restores(&mut self) {
        if matches!(self.restore, Restore::Away(_)) {
            self.return_store();
        }
        if let Restore::Rewrite(at) = self.restore {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            self.store.write_again();
        }
        self.restore = Restore::Ended;
    }

    fn start_clients(&self) -> Vec<JoinHandle<()>> {
        let clients = (0..CLIENTS).map(|number| {
            let shared = Arc::clone(&self.shared);
            thread::spawn(move || client::run(&shared, number))
        });
        clients.collect()
    }

    fn inject(&mut self, fault: Fault, until: Instant) {
        let is_active = self.active.iter().any(|(f, _)| *f == fault);
        if is_active || self.active.len() >= MAX_ACTIVE_FAULTS {
            return;
        }
        let at = self.started_at.elapsed().as_millis();
        self.shared.checker.record_disturbance();
        self.injected.push(format!("  {at} ms: {fault:?}"));
        self.record_excuse(fault);
        match fault {
            Fault::Suspend(at) => self.gateways[at].signal("-STOP"),
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
            Fault::Reload(at) => {
                self.gateways[at].signal("-HUP");
                return;
            }
            Fault::StoreBusy => self.store.set_busy(true),
            Fault::StoreConnections(at, mode) => self.store_proxies[at].set(mode),
            Fault::StoreReset(at) => {
                self.store_proxies[at].reset();
                return;
            }
            Fault::CompactHistory => {
                self.store.compact();
                return;
            }
            Fault::UpstreamConnections(at, mode) => self.upstreams[at].proxy.set(mode),
            Fault::UpstreamReset(at) => {
                self.upstreams[at].proxy.reset();
                return;
            }
            Fault::UpstreamBehaviour(at, behaviour) => self.upstreams[at].set(behaviour),
            Fault::Crash(at) => {
                self.upstreams[at].set(Behaviour::Dead);
                self.upstreams[at].proxy.reset();
                self.replace(at, until);
                return;
            }
            Fault::Leave(at) => {
                let old = &self.upstreams[at];
                let key = format!("servers/{}", old.id);
                let seq = self.heartbeat.0 + 1;
                self.store.put(&key, &old.entry("draining", seq));
                self.replace(at, until);
                return;
            }
            Fault::RewriteConfiguration => {
                self.write_configuration();
                return;
            }
            Fault::RevokeKey => {
                self.rotate_key();
                return;
            }
        }
        self.active.push((fault, until));
    }

    fn end_faults(&mut self, now: Instant) {
        for (fault, _) in self.active.extract_if(.., |(_, until)| *until <= now) {
            self.shared.checker.record_disturbance();
            match fault {
                Fault::Suspend(at) => {
                    let gateway = self.gateways[at].listen.to_string();
                    self.shared.checker.record_excuse(&gateway, -1);
                }
                Fault::UpstreamConnections(at, _) => {
                    (self.shared.checker).record_excuse(&self.upstreams[at].id, -1);
                }
                _ => {}
            }
            match fault {
                Fault::Suspend(at) => self.gateways[at].signal("-CONT"),
                Fault::StoreBusy => self.store.set_busy(false),
                Fault::StoreConnections(at, _) => self.store_proxies[at].set(ForwardMode::Normal),
                Fault::UpstreamConnections(at, _) => {
                    self.upstreams[at].proxy.set(ForwardMode::Normal);
                }
                Fault::UpstreamBehaviour(at, _) => self.upstreams[at].set(Behaviour::Normal),
                _ => {}
            }
        }
        for (id, _) in self.replaced.extract_if(.., |(_, until)| *until <= now) {
            self.store.remove(&format!("servers/{id}"));
        }
    }

    /// Records whom a fault excuses from the bounds on upstreams that leave or want a pause.
    fn record_excuse(&self, fault: Fault) {
        let (key, change) = match fault {
            Fault::Suspend(at) => (self.gateways[at].listen.to_string(), 1),
            Fault::Stop(at) => (self.gateways[at].listen.to_string(), 0),
            Fault::UpstreamConnections(at, _) => (self.upstreams[at].id.to_string(), 1),
            Fault::UpstreamReset(at) => (self.upstreams[at].id.to_string(), 0),
            _ => return,
        };
        self.shared.checker.record_excuse(&key, change);
    }

    /// Stops a gateway gracefully and starts its successor; clients keep their open connections until it ends.
    fn stop(&mut self, at: usize) {
        // A suspended process does not handle SIGTERM.
        self.active
            .retain(|(fault, _)| *fault != Fault::Suspend(at));
        self.gateways[at].signal("-CONT");
        self.gateways[at].signal("-TERM");
        let successor = self.new_gateway(at);
        let mut old = std::mem::replace(&mut self.gateways[at], successor);
        thread::spawn(move || old.wait());
    }

    fn new_gateway(&mut self, at: usize) -> Gateway {
        self.active
            .retain(|(fault, _)| *fault != Fault::Suspend(at));
        self.gateways_started += 1;
        let name = format!("g{}", self.gateways_started);
        let gateway = Gateway::start(&name, self.store_proxies[at].addr, &self.dir);
        let (shared, listen) = (Arc::clone(&self.shared), gateway.listen);
        thread::spawn(move || check_progress(&shared, listen));
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
        let number = self.rng.below(1 << 32);
        self.register(number)
    }

    /// Starts and registers an upstream whose id has this number.
    fn register(&mut self, number: u64) -> Upstream {
        let id = format!("i-{number:08x}");
        let upstream = Upstream::start(&id, Arc::clone(&self.shared.checker));
        self.upstream_proxies.push(upstream.proxy.clone());
        self.store.put(
            &format!("servers/{id}"),
            &upstream.entry("ready", self.heartbeat.0),
        );
        upstream
    }

    /// Replaces upstreams that requests have crashed; their entries stay in the store for a while.
    fn replace_crashed(&mut self) {
        for at in 0..self.upstreams.len() {
            if self.upstreams[at].has_crashed() {
                self.replace(at, Instant::now() + EXPIRY);
            }
        }
    }

    fn replace(&mut self, at: usize, until: Instant) {
        self.active.retain(|(fault, _)| {
            !matches!(fault, Fault::UpstreamConnections(a, _) | Fault::UpstreamBehaviour(a, _) if *a == at)
        });
        let new = self.new_upstream();
        let old = std::mem::replace(&mut self.upstreams[at], new);
        old.proxy.set(ForwardMode::Normal);
        self.replaced.push((old.id, until));
    }

    /// Writes the next version of the configuration.
    fn write_configuration(&mut self) {
        let version = self.shared.version() + 1;
        self.shared.version.store(version, Ordering::SeqCst);
        let mut routes: Vec<_> = [Kind::Order, Kind::Lookup, Kind::Generation].map(|kind| {
            let (kind_name, is_stream) = match kind {
                Kind::Order => ("unsafe", false),
                Kind::Lookup => ("safe", false),
                Kind::Generation => ("stream", true),
            };
            let models = if is_stream { json!(["small", "large"]) } else { json!([]) };
            json!({"name": kind_name, "host": "soak.example", "prefix": kind.prefix(), "type": kind_name,
                "timeoutMs": 4_000, "goalMs": 500, "priority": 1, "service": "s", "attempts": crate::checker::MAX_ATTEMPTS,
                "public": false, "sticky": is_stream, "resumable": is_stream, "gapAimMs": 1_000, "sizes": models})
        }).into();
        routes.push(plain::route());
        // Each version adds a route, which shows whether it is in force.
        routes.extend((1..=version).map(|version| {
            json!({"name": format!("version-{version}"), "host": "soak.example", "prefix": format!("/version-{version}/"),
                "type": "safe", "timeoutMs": 1_000, "goalMs": 500, "priority": 1, "service": "none", "attempts": 1,
                "public": true, "sticky": false, "resumable": false, "gapAimMs": 1_000, "sizes": []})
        }));
        let (current, _) = self
            .shared
            .rotated_keys
            .lock()
            .expect("the mutex is not poisoned")
            .clone();
        let keys = (0..ACCOUNTS).map(|at| {
            if at == ROTATED_ACCOUNT {
                current.clone()
            } else {
                fixed_key(at)
            }
        });
        let accounts = keys
            .enumerate()
            .map(|(at, key)| json!({"name": account(at), "apiKeys": [key]}));
        let accounts: Vec<_> = accounts.collect();
        let table = json!({"version": version, "routes": routes, "tenants": accounts,
            "services": [{"name": "s", "maxConns": 400}, {"name": "none", "maxConns": 400},
                {"name": plain::SERVICE, "maxConns": 400}],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_048_576, "headerTimeoutMs": 5_000, "idleTimeoutMs": 20_000}});
        self.store.put("op/config", &table);
    }

    /// Replaces the key of the last account.
    fn rotate_key(&mut self) {
        let mut rotated_keys = self
            .shared
            .rotated_keys
            .lock()
            .expect("the mutex is not poisoned");
        let new = format!("key-{:x}", self.rng.next());
        let old = std::mem::replace(&mut rotated_keys.0, new);
        rotated_keys.1.clone_from(&old);
        drop(rotated_keys);
        self.write_configuration();
        self.shared.checker.record_revocation(&old);
    }

    /// Waits until each gateway is ready and clients are served again.
    fn wait_for_recovery(&mut self) {
        let ended = Instant::now();
        let before = self.shared.checker.delivered();
        let has_recovered = |world: &Self| {
            world.gateways.iter().all(Gateway::is_ready)
                && world.shared.checker.delivered() > before + 20
        };
        while !has_recovered(self) {
            self.react();
            if ended.elapsed() > RECOVERY_TIMEOUT {
                let finding = format!(
                    "requests were not served again within {RECOVERY_TIMEOUT:?} after the faults ended"
                );
                self.shared.checker.add_finding(finding);
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Interval at which a gateway is asked which configuration it serves by.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(150);

/// Checks until a gateway ends that it never goes back to an older configuration.
fn check_progress(shared: &Shared, listen: SocketAddr) {
    let mut known = 0;
    while !shared.is_finished() {
        thread::sleep(PROGRESS_INTERVAL);
        match gateway::is_served(listen, known) {
            Ok(Some(false)) if known > 0 => {
                let finding = format!("{listen} no longer serves by configuration {known}");
                shared.checker.add_finding(finding);
                return;
            }
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => return,
            _ => {}
        }
        if let Some(version) = gateway::served_version(listen, shared.version()) {
            known = known.max(version);
        }
    }
}
