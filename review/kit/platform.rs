//! A stand-in for the platform: renders the settings, starts the programs of the deploy file, and stops them.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::json::Json;

/// Fields of a process's settings, as the pages name them.
#[derive(Debug, Clone)]
pub struct Fields(pub Json);

impl Fields {
    /// Returns the fields of an `edge` machine of a small deployment, with the bounds of `inci-rota`.
    pub fn edge(name: &str, zone: &str, ip: &str, ports: [u16; 3], store: SocketAddr) -> Self {
        let [front, readiness, first] = ports;
        let text = format!(
            r#"{{"node":"{name}","zone":"{zone}","ip":"{ip}",
            "listen":{{"front":"{ip}:{front}","readiness":"{ip}:{readiness}"}},
            "portRange":[{first},{}],"beatMs":1200,"platform":{{"addr":"{store}"}},
            "bounds":{{"touchMs":3000,"drainMs":2000,"graceS":8,"configMs":2000,"failClosed":true,"revokeMs":5000,
            "budgetRatio":0.9,"budgetWindowS":10,"budgetSlack":52,"exposeShare":0.15,"sessionS":5}}}}"#,
            first + 15
        );
        Self(Json::parse(&text).expect("the fields are valid"))
    }

    /// Changes a field; `path` is its name with dots.
    pub fn set(&mut self, path: &str, value: Json) {
        let mut at = &mut self.0;
        for name in path.split('.') {
            let Json::Table(table) = at else {
                return;
            };
            at = table.entry(name.to_owned()).or_insert(Json::Null);
        }
        *at = value;
    }

    /// Renders a template as the platform does.
    pub fn render(&self, template: &str) -> String {
        render(template, &[&self.0])
    }
}

fn lookup<'a>(path: &str, scopes: &[&'a Json]) -> Option<&'a Json> {
    if path == "." {
        return scopes.last().copied();
    }
    scopes.iter().rev().find_map(|scope| {
        let mut at: &Json = scope;
        for name in path.split('.') {
            at = match at {
                Json::Table(table) => table.get(name)?,
                Json::List(list) => list.get(name.parse::<usize>().ok()?)?,
                _ => return None,
            };
        }
        Some(at)
    })
}

fn shown(value: &Json) -> String {
    match value {
        Json::Null => String::new(),
        Json::Bool(value) => value.to_string(),
        Json::Number(value) => value.to_string(),
        Json::Text(value) => value.clone(),
        Json::List(list) => list.iter().map(shown).collect::<Vec<_>>().join(","),
        Json::Table(_) => String::new(),
    }
}

fn render(template: &str, scopes: &[&Json]) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("a placeholder ends");
        let name = &rest[start + 2..end];
        rest = &rest[end + 2..];
        if let Some(name) = name.strip_prefix('#') {
            let close = format!("{{{{/{name}}}}}");
            let end = rest.find(&close).expect("a section ends");
            let inner = &rest[..end];
            rest = &rest[end + close.len()..];
            match lookup(name, scopes) {
                None | Some(Json::Null | Json::Bool(false)) => {}
                Some(value) => {
                    let mut inside = scopes.to_vec();
                    inside.push(value);
                    out.push_str(&render(inner, &inside));
                }
            }
        } else {
            out.push_str(&lookup(name, scopes).map_or(String::new(), shown));
        }
    }
    out.push_str(rest);
    out
}

/// Returns what a key has in a section of the deploy file.
fn deploy_value(section: &str, key: &str) -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file can be read");
    let mut at = String::new();
    for line in text.lines().map(str::trim) {
        if line.starts_with('[') {
            at = line.trim_matches(['[', ']']).to_owned();
        } else if let Some((name, value)) = line.split_once('=')
            && at == section
            && name.trim() == key
        {
            return value.trim().trim_matches('"').to_owned();
        }
    }
    panic!("{key} of {section} is not in the deploy file");
}

/// A process of a role, with the settings that it starts with.
#[derive(Debug)]
pub struct Role {
    child: Child,
    pub started: Instant,
}

/// A machine of one role.
#[derive(Debug)]
pub struct Machine {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    pub process: Option<Role>,
}

impl Machine {
    /// Prepares a machine; its settings and its log lie in `dir`.
    pub fn new(role: &'static str, dir: &Path, name: &str) -> Self {
        let settings = dir.join(format!("{name}.json"));
        Self {
            role,
            settings,
            log: dir.join(format!("{name}.log")),
            process: None,
        }
    }

    /// Writes the settings file.
    pub fn write_settings(&self, fields: &Fields) {
        let section = format!("roles.{}", self.role);
        let template = fs::read_to_string(deploy_value(&section, "template"))
            .expect("the template can be read");
        fs::write(&self.settings, fields.render(&template)).expect("the settings can be written");
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let run = deploy_value(&format!("roles.{}", self.role), "run");
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log can be opened");
        let mut words = run.split(' ');
        let child = Command::new(words.next().expect("a program"))
            .args(words)
            .env_clear()
            .env("FIREFLYWIND_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.process = Some(Role {
            child,
            started: Instant::now(),
        });
    }

    /// Returns the process's id.
    pub fn id(&self) -> Option<u32> {
        self.process.as_ref().map(|p| p.child.id())
    }

    /// Sends a signal by name.
    pub fn signal(&self, signal: &str) {
        if let Some(id) = self.id() {
            let text = format!("kill -{signal} {id}");
            let _ = Command::new("sh").args(["-c", &text]).status();
        }
    }

    /// Returns how the process has ended by itself, if it has.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.process.as_mut()?.child.try_wait().ok()?
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }

    /// Returns the resident memory in megabytes, without pages of files.
    pub fn memory_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find(|l| l.starts_with("RssAnon:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1_024)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Asks a machine whether it is ready.
pub fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut conn) = Conn::open(addr, Duration::from_millis(300)) else {
        return false;
    };
    conn.set_read_timeout(Duration::from_millis(500));
    conn.write(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
        .is_ok()
        && conn.read_message().is_ok_and(|m| m.status() == 200)
}

/// Waits until a machine is ready.
pub fn wait_ready(addr: SocketAddr, limit: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if is_ready(addr) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Returns free ports of an address.
pub fn free_ports<const N: usize>(ip: &str) -> [u16; N] {
    let open = || TcpListener::bind((ip, 0)).expect("a loopback port is free");
    let listeners: Vec<TcpListener> = (0..N).map(|_| open()).collect();
    let port = |l: &TcpListener| l.local_addr().expect("the listener is bound").port();
    std::array::from_fn(|at| port(&listeners[at]))
}

/// A temporary folder that is removed at the end.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder can be made");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
