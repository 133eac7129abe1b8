//! Starts the real programs on loopback with ephemeral ports.

use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead as _, BufReader, Read as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use actix_http::Method;
use actix_http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use fireflywind::peer::{Link, PeerKey};
use fireflywind::units::Millis;
use fireflywind::upstream::Timeouts;
use fireflywind::upstream::exchange::{Request, send};
use serde_json::{Value, json};

use crate::proxy::Proxy;

/// Timeout of every wait in these tests; deliberately generous.
const DEADLINE: Duration = Duration::from_mins(1);

/// Peer key that the processes of a test share.
const PEER_KEY: &str = "peer-key-of-the-process-tests-0123456789";

/// API key of the account `shop`.
pub const SHOP_KEY: &str = "key-shop";

/// API key of the account `school`, which may use `small/v1` only.
pub const SCHOOL_KEY: &str = "key-school";

/// A running program; it is killed when the handle is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Listening address for callers or gateways.
    pub addr: SocketAddr,
    /// Address of the admin listener, if the program has one.
    pub admin: Option<SocketAddr>,
    log: Arc<Mutex<String>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a program and waits until it prints its listening addresses.
    pub fn start(program: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = Arc::new(Mutex::new(String::new()));
        let mut stderr = child.stderr.take().expect("standard error is piped");
        let copy = Arc::clone(&log);
        thread::spawn(move || {
            let mut buf = [0; 4096];
            while let Ok(read @ 1..) = stderr.read(&mut buf) {
                copy.lock()
                    .expect("the log mutex is not poisoned")
                    .push_str(&String::from_utf8_lossy(&buf[..read]));
            }
        });
        let mut stdout = BufReader::new(child.stdout.take().expect("standard output is piped"));
        let mut line = String::new();
        stdout
            .read_line(&mut line)
            .expect("the program prints a line");
        let field = |name: &str| {
            let start = format!("{name}=");
            let field = line
                .split_whitespace()
                .find_map(|pair| pair.strip_prefix(&start));
            field.map(|addr| addr.parse().expect("the field is a socket address"))
        };
        let Some(addr) = field("addr") else {
            let _ = child.wait();
            panic!(
                "{program} {args:?} printed {line:?}: {}",
                log.lock().expect("the log mutex is not poisoned")
            );
        };
        let admin = field("admin");
        Self {
            child,
            addr,
            admin,
            log,
        }
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(
            status.expect("kill starts").success(),
            "kill -s {name} {id}"
        );
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Waits until the process has ended and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let mut code = None;
        wait_for("the end of the process", || {
            let status = self
                .child
                .try_wait()
                .expect("the state of the process can be read");
            code = status.map(|s| s.code());
            status.is_some()
        });
        code.flatten()
    }

    /// Returns what the process has logged so far.
    pub fn log(&self) -> String {
        self.log
            .lock()
            .expect("the log mutex is not poisoned")
            .clone()
    }
}

/// Polls a condition until it holds; panics after [`DEADLINE`].
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + DEADLINE;
    while !condition() {
        assert!(
            Instant::now() < end,
            "timed out after {DEADLINE:?} waiting for: {what}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// An HTTP response.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    /// Whether the whole body arrived.
    pub is_complete: bool,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the code of an error answer.
    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the run status in an error answer: `ran`, `not_run` or `unknown`.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// Sends a request; returns `None` if there was no response.
pub fn http(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let parse_header = |(name, value): &(&str, &str)| {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("the name is valid");
        (
            name,
            HeaderValue::from_str(value).expect("the value is valid"),
        )
    };
    let request = Request {
        method: method.parse::<Method>().expect("the method is valid"),
        target: path.to_owned(),
        headers: headers.iter().map(parse_header).collect(),
        body: Bytes::copy_from_slice(body.as_bytes()),
    };
    actix_rt::System::new().block_on(async {
        let mut response = send(addr, Timeouts::default(), &request).await.ok()?;
        let text = |value: &HeaderValue| value.to_str().unwrap_or_default().to_owned();
        let headers = response
            .headers
            .iter()
            .map(|(n, v)| (n.as_str().to_owned(), text(v)));
        let headers = headers.collect();
        let (mut body, mut is_complete) = (Vec::new(), true);
        loop {
            match response.body.next().await {
                Ok(Some(bytes)) => body.extend_from_slice(&bytes),
                Ok(None) => break,
                Err(_) => {
                    is_complete = false;
                    break;
                }
            }
        }
        let status = response.status.as_u16();
        Some(Answer {
            status,
            headers,
            body: body.into(),
            is_complete,
        })
    })
}

/// A test deployment: the platform's stand-ins, upstreams with their agents, and gateways.
#[derive(Debug)]
pub struct Site {
    dir: PathBuf,
    pub kv: Process,
    pub rating: Process,
    pub vms: Process,
    pub upstreams: Vec<Upstream>,
    pub gateways: Vec<Process>,
}

/// An upstream, its agent and its entry in the sheet.
#[derive(Debug)]
pub struct Upstream {
    pub name: String,
    pub process: Process,
    pub agent: Process,
    data_centre: String,
    /// Address of a proxy, which the sheet lists instead of the agent's own address.
    pub proxy_addr: Option<SocketAddr>,
    serves: Value,
    kind: &'static str,
}

impl Upstream {
    /// Returns the agent's `/status`.
    pub fn status(&self) -> Value {
        let admin = self.agent.admin.expect("an agent has an admin listener");
        http(admin, "GET", "/status", &[], "")
            .map(|s| s.json())
            .unwrap_or_default()
    }
}

static NEXT_DIR: AtomicU32 = AtomicU32::new(0);

impl Site {
    /// Starts the platform's stand-ins.
    pub fn start(test: &str) -> Self {
        let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
        let name = format!("{test}-{}-{number}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&dir).expect("the directory can be made");
        Self {
            dir,
            kv: standin("kv", &[]),
            rating: standin("rating", &[]),
            vms: standin("vms", &[]),
            upstreams: Vec::new(),
            gateways: Vec::new(),
        }
    }

    /// Starts a site with two engines, an order service, two gateways and a sheet in force.
    pub fn with_two_gateways(test: &str) -> Self {
        let mut site = Self::start(test);
        site.add_engine("engine-a", "dc-a", &["small/v1", "large/v1"]);
        site.add_engine("engine-b", "dc-b", &["small/v1", "large/v1"]);
        site.add_service("orders-a", "dc-a", "orders");
        site.add_gateway("gateway-a", "dc-a");
        site.add_gateway("gateway-b", "dc-b");
        site.apply(&site.sheet());
        site.wait_ready(0, 3);
        site.wait_ready(1, 3);
        site
    }

    /// Starts a site with one engine, an order service, a gateway and a sheet in force. The gateway reaches the
    /// engine's agent through a proxy.
    pub fn with_proxied_engine(test: &str) -> (Self, Proxy) {
        let mut site = Self::start(test);
        site.add_engine("engine-a", "dc-a", &["small/v1", "large/v1"]);
        let proxy = Proxy::start(site.upstreams[0].agent.addr);
        site.upstreams[0].proxy_addr = Some(proxy.addr);
        site.add_service("orders-a", "dc-a", "orders");
        site.add_gateway("gateway-a", "dc-a");
        site.apply(&site.sheet());
        site.wait_ready(0, 2);
        (site, proxy)
    }

    /// Starts an engine and its agent.
    pub fn add_engine(&mut self, name: &str, data_centre: &str, versions: &[&str]) {
        let process = standin("engine", &[]);
        let serves = json!({ "engine": { "versions": versions, "slots": 8 } });
        self.add(name, data_centre, process, serves, "engine");
    }

    /// Starts a plain service and its agent.
    pub fn add_service(&mut self, name: &str, data_centre: &str, service: &str) {
        let process = standin("service", &[]);
        let serves = json!({ "service": { "service": service, "slots": 8 } });
        self.add(name, data_centre, process, serves, "service");
    }

    fn add(
        &mut self,
        name: &str,
        data_centre: &str,
        process: Process,
        serves: Value,
        kind: &'static str,
    ) {
        let agent = self.start_agent(name, data_centre, kind, process.addr, "127.0.0.1:0");
        let (name, data_centre) = (name.to_owned(), data_centre.to_owned());
        self.upstreams.push(Upstream {
            name,
            process,
            agent,
            proxy_addr: None,
            data_centre,
            serves,
            kind,
        });
    }

    fn start_agent(
        &self,
        name: &str,
        data_centre: &str,
        kind: &str,
        upstream: SocketAddr,
        listen: &str,
    ) -> Process {
        let settings = json!({
            "upstream": name, "data_centre": data_centre, "listen": listen,
            "admin_listen": "127.0.0.1:0", "kv": [self.kv.addr], "peer_key": PEER_KEY,
            "upstream_addr": upstream, "kind": kind, "stop_deadline": "20s",
        });
        let path = self.write(&format!("agent-{name}.json"), &settings);
        Process::start(env!("CARGO_BIN_EXE_fireflywind-agent"), &[&path])
    }

    /// Kills an agent and starts a new process at the same address.
    pub fn restart_agent(&mut self, name: &str) {
        let index = self
            .upstreams
            .iter()
            .position(|u| u.name == name)
            .expect("the site has this upstream");
        self.upstreams[index].agent.kill();
        let u = &self.upstreams[index];
        let listen = u.agent.addr.to_string();
        let agent = self.start_agent(name, &u.data_centre, u.kind, u.process.addr, &listen);
        self.upstreams[index].agent = agent;
    }

    /// Starts a gateway.
    pub fn add_gateway(&mut self, name: &str, data_centre: &str) {
        let seeds: Vec<_> = self.upstreams.iter().map(|u| u.agent.addr).collect();
        let settings = json!({
            "name": name, "data_centre": data_centre, "listen": "127.0.0.1:0",
            "admin_listen": "127.0.0.1:0", "kv": [self.kv.addr], "peer_key": PEER_KEY,
            "rating": self.rating.addr, "vm_list": self.vms.addr, "seeds": seeds, "stop_deadline": "20s",
            "session_keys": [{ "id": "k1", "secret": "session-key-of-the-process-tests-01" }],
        });
        let path = self.write(&format!("{name}.json"), &settings);
        let gateway = Process::start(env!("CARGO_BIN_EXE_fireflywind-gateway"), &[&path]);
        self.gateways.push(gateway);
    }

    fn write(&self, name: &str, value: &Value) -> String {
        let path = self.dir.join(name);
        fs::write(&path, value.to_string()).expect("the file can be written");
        path.to_string_lossy().into_owned()
    }

    /// Returns a sheet with all upstreams and the class `tags`, whose cascade goes from `small/v1` to `large/v1`.
    pub fn sheet(&self) -> Value {
        let upstreams: Vec<_> = self
            .upstreams
            .iter()
            .map(|u| {
                json!({
                    "id": u.name, "agent": u.proxy_addr.unwrap_or(u.agent.addr), "data_centre": u.data_centre,
                    "serves": u.serves,
                })
            })
            .collect();
        let version = |id, cost, price| json!({ "id": id, "state": "serving", "cost_per_1k": cost, "price_per_1k": price });
        json!({
            "accounts": [{
                "id": "shop", "key_hashes": [sha256(SHOP_KEY)],
                "allow": ["small/v1", "large/v1"], "services": ["orders"],
            }, {
                "id": "school", "key_hashes": [sha256(SCHOOL_KEY)], "allow": ["small/v1"],
            }],
            "models": [
                { "id": "small", "versions": [version("v1", "0.1", "0.2")] },
                { "id": "large", "versions": [version("v1", "1.0", "2.0")] },
            ],
            "cascades": [{ "id": "small-first", "steps": ["small/v1", "large/v1"] }],
            "classes": [{
                "id": "tags", "quality_target": 800, "cascade": "small-first", "deadline": "30s",
            }],
            "services": [{
                "id": "orders", "path_prefix": "/orders", "deadline": "20s",
                "prices": [{
                    "item": "order", "method": "POST", "path_prefix": "/orders", "amount": "0.05",
                }],
            }],
            "upstreams": upstreams,
        })
    }

    /// Runs the operator's command-line program.
    pub fn run_operator(&self, args: &[&str]) -> Output {
        let gateways: Vec<_> = self.gateways.iter().filter_map(|g| g.admin).collect();
        let settings = json!({ "kv": [self.kv.addr], "gateways": gateways });
        let settings = self.write("operator.json", &settings);
        Command::new(env!("CARGO_BIN_EXE_fireflywind"))
            .args(args)
            .args(["--settings", &settings])
            .output()
            .expect("the program starts")
    }

    /// Applies a sheet and waits until it is in force at all gateways.
    pub fn apply(&self, sheet: &Value) {
        let path = self.write("sheet.json", sheet);
        let output = self.run_operator(&["apply", &path, "--wait"]);
        assert!(output.status.success(), "apply failed: {}", text(&output));
    }

    /// Waits until a gateway reports at least this many usable upstreams.
    pub fn wait_ready(&self, gateway: usize, upstreams: usize) {
        let admin = self.gateways[gateway]
            .admin
            .expect("a gateway has an admin listener");
        wait_for("readiness of the gateway", || {
            let status = http(admin, "GET", "/status", &[], "");
            let usable = status.map(|s| s.json()["usable_upstreams"].as_u64().unwrap_or(0));
            usable.is_some_and(|usable| usable >= upstreams as u64)
        });
    }

    /// Sends a chat completion to a gateway.
    pub fn chat(&self, gateway: usize, body: &Value, headers: &[(&str, &str)]) -> Option<Answer> {
        let bearer = format!("Bearer {SHOP_KEY}");
        let mut all = vec![
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        all.extend_from_slice(headers);
        let addr = self.gateways[gateway].addr;
        http(
            addr,
            "POST",
            "/v1/chat/completions",
            &all,
            &body.to_string(),
        )
    }

    /// Places an order with an idempotency key.
    pub fn order(&self, gateway: usize, key: &str, body: &str) -> Option<Answer> {
        let bearer = format!("Bearer {SHOP_KEY}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
            ("idempotency-key", key),
        ];
        http(
            self.gateways[gateway].addr,
            "POST",
            "/orders",
            &headers,
            body,
        )
    }

    /// Returns the runs of a prompt on all engines.
    fn runs_of(&self, prompt: &str) -> Vec<Value> {
        let digest = sha256(prompt);
        let engines = self.upstreams.iter().filter(|u| u.kind == "engine");
        let runs = engines.filter_map(|u| http(u.process.addr, "GET", "/runs", &[], ""));
        let runs = runs
            .filter_map(|runs| runs.json().as_array().cloned())
            .flatten();
        runs.filter(|run| run["prompt"] == digest.as_str())
            .collect()
    }

    /// Returns how often a prompt ran on all engines together.
    pub fn engine_runs(&self, prompt: &str) -> usize {
        self.runs_of(prompt).len()
    }

    /// Returns how many runs of a prompt are in a state: `running`, `done` or `ended`.
    pub fn runs_in_state(&self, prompt: &str, state: &str) -> usize {
        self.runs_of(prompt)
            .iter()
            .filter(|run| run["state"] == state)
            .count()
    }

    /// Returns the number of runs of one engine.
    pub fn runs_at(&self, name: &str) -> usize {
        let upstream = self
            .upstreams
            .iter()
            .find(|u| u.name == name)
            .expect("the site has this upstream");
        let runs = http(upstream.process.addr, "GET", "/runs", &[], "");
        runs.expect("the stand-in answers")
            .json()
            .as_array()
            .map_or(0, Vec::len)
    }

    /// Returns the orders that an engine accepted, with their fencing tokens.
    pub fn engine_orders(&self, name: &str) -> Vec<Value> {
        let upstream = self
            .upstreams
            .iter()
            .find(|u| u.name == name)
            .expect("the site has this upstream");
        let orders = http(upstream.process.addr, "GET", "/orders", &[], "");
        let orders = orders.expect("the stand-in answers").json();
        orders.as_array().cloned().unwrap_or_default()
    }

    /// Returns a gateway's `/status`.
    pub fn status(&self, gateway: usize) -> Value {
        let admin = self.gateways[gateway]
            .admin
            .expect("a gateway has an admin listener");
        http(admin, "GET", "/status", &[], "")
            .map(|s| s.json())
            .unwrap_or_default()
    }

    /// Returns the runs of a plain service.
    pub fn service_runs(&self, name: &str) -> Value {
        let upstream = self
            .upstreams
            .iter()
            .find(|u| u.name == name)
            .expect("the site has this upstream");
        let runs = http(upstream.process.addr, "GET", "/__runs", &[], "");
        runs.expect("the stand-in answers").json()
    }

    /// Sets the fault that the key-value stand-in simulates.
    pub fn set_fault(&self, fault: &str) {
        let body = json!({ "fault": fault }).to_string();
        let answer = http(self.kv.addr, "POST", "/fault", &[], &body);
        assert_eq!(answer.map(|a| a.status), Some(200));
    }

    /// Waits until the bill covers this many requests, and returns it.
    pub fn wait_for_bill(&self, requests: u64) -> Value {
        let mut bill = Value::Null;
        wait_for("bill of all requests", || {
            let output = self.run_operator(&["bill", "--json"]);
            bill = serde_json::from_slice(&output.stdout).unwrap_or_default();
            bill["requests"]
                .as_u64()
                .is_some_and(|known| known >= requests)
        });
        bill
    }
}

/// Returns a new `UUIDv7` to use as an idempotency key.
pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Sends an engine order to an agent, as a gateway with this fencing token would, and returns the verdict.
pub fn send_engine_order(agent: SocketAddr, fence: u64, order: &Value) -> String {
    let key = PeerKey::new(PEER_KEY.as_bytes()).expect("the key is long enough");
    let deadline = Millis::from_secs(20);
    actix_rt::System::new().block_on(async {
        let link = Link::connect(agent, &key, deadline)
            .await
            .expect("the agent listens");
        let reply = link
            .order(fence, order.to_string().as_bytes(), deadline)
            .await;
        let reply: Value =
            serde_json::from_slice(&reply.expect("the agent replies")).expect("the reply is JSON");
        reply["verdict"].as_str().unwrap_or_default().to_owned()
    })
}

/// Returns a chat completion request.
pub fn prompt(model: &str, text: &str) -> Value {
    json!({ "model": model, "messages": [{ "role": "user", "content": text }] })
}

/// Returns standard output and standard error of a program as text.
pub fn text(output: &Output) -> String {
    let (out, err) = (&output.stdout, &output.stderr);
    format!(
        "{}{}",
        String::from_utf8_lossy(out),
        String::from_utf8_lossy(err)
    )
}

fn standin(kind: &str, args: &[&str]) -> Process {
    let mut all = vec![kind, "--listen", "127.0.0.1:0"];
    all.extend_from_slice(args);
    Process::start(env!("CARGO_BIN_EXE_fireflywind-standin"), &all)
}

fn sha256(text: &str) -> String {
    use sha2::Digest as _;

    let digest = sha2::Sha256::digest(text);
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
