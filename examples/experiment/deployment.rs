//! Starts the built programs as child processes and reads their processor time and memory.
//!
//! Child processes separate the processor time of the daemons from that of the load generator. The programs
//! must have been built with the same profile: `cargo build --release --bins`.

use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use fireflywind::upstream::Timeouts;
use fireflywind::upstream::exchange::{Request, send};
use serde_json::{Value, json};

/// Peer key that all processes of a run share.
pub const PEER_KEY: &str = "peer-key-of-the-relay-experiment-0123456789";

/// API key of the account `shop`.
pub const API_KEY: &str = "key-shop";

/// Time limit for the gateway to use all running upstreams after a sheet is applied.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of models in the sheet with one version each, as at the target size.
const MODELS: u32 = 13;

/// Steps of the cascade, all served by each engine.
const CASCADE_STEPS: [&str; 3] = ["m00/v1", "m01/v1", "m02/v1"];

/// Concurrent requests of each engine, also in the sheet.
const SLOTS: u32 = 4_000;

/// A child process; it is killed when the handle is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Address of the main listener.
    pub addr: SocketAddr,
    /// Address of the admin listener, if the program has one.
    pub admin: Option<SocketAddr>,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn start(program: &str, args: &[&str]) -> Self {
        let mut child = Command::new(program_path(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| panic!("{program}: {error}; run cargo build --release --bins"));
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the program prints its addresses");
        let field = |name: &str| {
            let found = line
                .split_whitespace()
                .find_map(|pair| pair.strip_prefix(name));
            found.map(|addr| addr.parse().expect("the field is a socket address"))
        };
        Self {
            addr: field("addr=").expect("the line has the field addr"),
            admin: field("admin="),
            child,
        }
    }

    /// Returns the processor time of all live threads, in seconds.
    pub fn processor_time(&self) -> f64 {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let nanoseconds: u64 = tasks
            .expect("the process runs")
            .filter_map(|task| fs::read_to_string(task.ok()?.path().join("schedstat")).ok())
            .filter_map(|text| text.split(' ').next()?.parse::<u64>().ok())
            .sum();
        Duration::from_nanos(nanoseconds).as_secs_f64()
    }

    /// Returns the resident memory in bytes.
    pub fn resident_bytes(&self) -> f64 {
        resident_bytes(&self.child.id().to_string())
    }
}

/// Returns the resident memory of a process, or of this one as `self`, in bytes.
pub fn resident_bytes(process: &str) -> f64 {
    let status = fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u32>().ok());
    f64::from(kilobytes.unwrap_or(0)) * 1_024.0
}

fn program_path(program: &str) -> PathBuf {
    let executable = std::env::current_exe().expect("the path of the executable is known");
    // The executable is in the directory `examples`, which is in the directory of the programs.
    let directory = executable.parent().and_then(|dir| dir.parent());
    directory
        .expect("the executable is two directories deep")
        .join(program)
}

/// Processes of a deployment: one gateway, agents with an engine each, and a stand-in of the key-value service.
#[derive(Debug)]
pub struct Deployment {
    dir: PathBuf,
    kv: Process,
    pub engines: Vec<Process>,
    pub agents: Vec<Process>,
    pub gateway: Process,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // A directory that is left behind does no harm.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Deployment {
    /// Starts all processes. The gateway has no sheet until `apply` is called.
    pub fn start(agents: usize, token_delay_ms: u64) -> Self {
        let dir = std::env::temp_dir().join(format!("fireflywind-relay-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("the directory can be created");
        let kv = Process::start("fireflywind-standin", &["kv"]);
        let write = |name: &str, value: &Value| {
            let path = dir.join(name);
            fs::write(&path, value.to_string()).expect("the file can be written");
            path.to_string_lossy().into_owned()
        };
        let (slots, behaviour) = (
            SLOTS.to_string(),
            json!({ "delay": format!("{token_delay_ms}ms") }),
        );
        let behaviour = behaviour.to_string();
        let engine = ["engine", "--slots", &slots, "--behaviour", &behaviour];
        let engines: Vec<_> = (0..agents)
            .map(|_| Process::start("fireflywind-standin", &engine))
            .collect();
        let agents = engines.iter().enumerate().map(|(index, engine)| {
            let settings = json!({
                "upstream": format!("engine-{index}"), "data_centre": "dc-a", "listen": "127.0.0.1:0",
                "admin_listen": "127.0.0.1:0", "kv": [kv.addr], "peer_key": PEER_KEY,
                "upstream_addr": engine.addr, "kind": "engine",
            });
            let path = write(&format!("agent-{index}.json"), &settings);
            Process::start("fireflywind-agent", &[&path])
        });
        let agents: Vec<_> = agents.collect();
        let settings = json!({
            "name": "gateway-a", "data_centre": "dc-a", "listen": "127.0.0.1:0",
            "admin_listen": "127.0.0.1:0", "kv": [kv.addr], "peer_key": PEER_KEY,
            "session_keys": [{ "id": "k1", "secret": "session-key-of-the-relay-experiment" }],
        });
        let gateway = Process::start("fireflywind-gateway", &[&write("gateway.json", &settings)]);
        Self {
            dir,
            kv,
            engines,
            agents,
            gateway,
        }
    }

    /// Applies a sheet with all agents and `idle` more upstreams, which serve another version and do not answer.
    pub fn apply(&self, idle: usize, deadline_s: u32) {
        let path = self.write("sheet.json", &self.sheet(idle, deadline_s));
        let gateways: Vec<_> = self.gateway.admin.into_iter().collect();
        let settings = json!({ "kv": [self.kv.addr], "gateways": gateways });
        let settings = self.write("operator.json", &settings);
        let output = Command::new(program_path("fireflywind"))
            .args(["apply", &path, "--wait", "--settings", &settings])
            .output()
            .expect("fireflywind starts");
        assert!(
            output.status.success(),
            "fireflywind apply failed: {}",
            String::from_utf8_lossy(&output.stderr)
        );
        self.wait_until_ready();
    }

    /// Returns the number of calls that the key-value service has received; a pending watch counts as one.
    pub fn store_calls(&self) -> f64 {
        let calls: Value = serde_json::from_slice(&get(self.kv.addr, "/calls")).unwrap_or_default();
        calls["calls"].as_f64().unwrap_or(0.0)
    }

    fn write(&self, name: &str, value: &Value) -> String {
        let path = self.dir.join(name);
        fs::write(&path, value.to_string()).expect("the file can be written");
        path.to_string_lossy().into_owned()
    }

    fn wait_until_ready(&self) {
        let admin = self.gateway.admin.expect("a gateway has an admin listener");
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            let status: Value = serde_json::from_slice(&get(admin, "/status")).unwrap_or_default();
            if status["usable_upstreams"].as_u64() >= Some(self.agents.len() as u64) {
                return;
            }
            assert!(
                Instant::now() < end,
                "the gateway did not use {} upstreams within {READY_TIMEOUT:?}: {status}",
                self.agents.len()
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn sheet(&self, idle: usize, deadline_s: u32) -> Value {
        let upstream = |id: String, agent: SocketAddr, versions: &[&str]| {
            json!({
                "id": id, "agent": agent, "data_centre": "dc-a",
                "serves": { "engine": { "versions": versions, "slots": SLOTS } },
            })
        };
        let running = self.agents.iter().enumerate();
        let running = running
            .map(|(index, agent)| upstream(format!("engine-{index}"), agent.addr, &CASCADE_STEPS));
        let idle = (0..idle).map(|index| {
            upstream(
                format!("idle-{index:04}"),
                refusing_addr(index),
                &["m03/v1"],
            )
        });
        let upstreams: Vec<_> = running.chain(idle).collect();
        let models: Vec<_> = (0..MODELS)
            .map(|index| {
                let version = json!({
                    "id": "v1", "state": "serving", "cost_per_1k": "0.1", "price_per_1k": "0.2",
                });
                json!({ "id": format!("m{index:02}"), "versions": [version] })
            })
            .collect();
        json!({
            "accounts": [{
                "id": "shop", "key_hashes": [sha256(API_KEY)], "allow": CASCADE_STEPS,
            }],
            "models": models,
            "cascades": [{ "id": "small-first", "steps": CASCADE_STEPS }],
            "classes": [{
                "id": "tags", "quality_target": 500, "cascade": "small-first", "deadline": format!("{deadline_s}s"),
            }],
            "upstreams": upstreams,
        })
    }
}

/// Returns a loopback address on which nothing listens, so that connections are refused at once.
fn refusing_addr(index: usize) -> SocketAddr {
    let [low, high, ..] = index.to_le_bytes();
    SocketAddr::from(([127, 1, high, low], 9))
}

/// Returns the body of the answer to a GET request, or an empty one if the request fails.
pub fn get(addr: SocketAddr, path: &str) -> Bytes {
    let request = Request {
        method: "GET".parse().expect("GET is a valid method"),
        target: path.to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    actix_rt::System::new().block_on(async {
        let Ok(response) = send(addr, Timeouts::default(), &request).await else {
            return Bytes::new();
        };
        response.body.collect(16 << 20).await.unwrap_or_default()
    })
}

fn sha256(text: &str) -> String {
    use sha2::Digest as _;

    let digest = sha2::Sha256::digest(text);
    digest.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
