//! Tests of the real `fireflywind-router` program against a stand-in for the platform's store.

mod figures;
mod process;
mod template;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{ChildStdout, Command};
use std::time::{Duration, Instant};

use process::{Process, log_value, settings};

/// Timeout of every wait; even a loaded machine needs far less.
const DEADLINE: Duration = Duration::from_mins(1);

/// Starts a store stand-in that is empty and never changes.
fn empty_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let addr = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer_store_calls(stream));
        }
    });
    addr
}

fn answer_store_calls(mut stream: TcpStream) {
    let mut buf = [0; 8_192];
    while let Ok(length) = stream.read(&mut buf) {
        if length == 0 {
            return;
        }
        let is_watch = buf.starts_with(b"GET /api/kv-watch");
        if is_watch {
            std::thread::sleep(Duration::from_millis(100));
        }
        let body = if is_watch {
            r#"{"events":[],"storeRevision":1}"#
        } else {
            r#"{"items":[],"hasMore":false,"storeRevision":1}"#
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream
            .write_all(format!("{head}{body}").as_bytes())
            .is_err()
        {
            return;
        }
    }
}

struct Router {
    process: Process,
    lines: BufReader<ChildStdout>,
}

impl Router {
    fn start(store: SocketAddr) -> Self {
        Self::start_with(store, &settings_text(store, "8"))
    }

    /// Starts the program with settings; the store's port tells the file from that of other tests.
    fn start_with(store: SocketAddr, settings: &str) -> Self {
        let path = std::env::temp_dir().join(format!(
            "fireflywind-router-{}-{}.json",
            std::process::id(),
            store.port()
        ));
        let (process, lines) = Process::start(path, settings);
        Self { process, lines }
    }

    /// Reads log lines until one of an event; panics after [`DEADLINE`].
    fn wait_for_event(&mut self, event: &str) -> String {
        self.wait_for_one_of(&[event])
    }

    /// Reads log lines until one of several events; panics after [`DEADLINE`].
    fn wait_for_one_of(&mut self, events: &[&str]) -> String {
        let started = Instant::now();
        let mut line = String::new();
        while started.elapsed() < DEADLINE {
            line.clear();
            let length = self
                .lines
                .read_line(&mut line)
                .expect("the log can be read");
            assert!(
                length > 0,
                "the program ended before it logged one of the events {events:?}"
            );
            let event = line
                .split_whitespace()
                .find_map(|w| w.strip_prefix("event="));
            if event.is_some_and(|event| events.contains(&event)) {
                return line;
            }
        }
        panic!("none of the events {events:?} was logged within {DEADLINE:?}");
    }
}

fn settings_text(store: SocketAddr, stop_grace: &str) -> String {
    let extra_members = format!(
        r#""retries":{{"ratio":0.9,"window_s":10,"slack":52}},"stop_grace_s":{stop_grace}"#
    );
    settings("g", store, &extra_members)
}

fn get(addr: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("the program accepts connections");
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .expect("the request can be sent");
    let mut buf = vec![0; 64 * 1_024];
    let length = stream.read(&mut buf).expect("the program answers");
    String::from_utf8_lossy(&buf[..length]).into_owned()
}

// Guards against SIGHUP, which asks for a reload of the settings, ending the process.
#[test]
fn sighup_reloads_the_settings_and_sigterm_stops_gracefully() {
    let store = empty_store();
    let mut router = Router::start(store);
    let start = router.wait_for_event("start");
    let (ready, admin) = (log_value(&start, "ready"), log_value(&start, "admin"));
    let started = Instant::now();
    while !get(ready, "/api/readyz").starts_with("HTTP/1.1 200") {
        assert!(
            started.elapsed() < DEADLINE,
            "the gateway is not ready after {DEADLINE:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }

    router.process.signal("-HUP");
    let unchanged = router.wait_for_event("reload");
    std::fs::write(&router.process.settings, settings_text(store, "1"))
        .expect("the settings can be written");
    router.process.signal("-HUP");
    let changed = router.wait_for_event("reload");
    std::fs::write(&router.process.settings, "{").expect("the settings can be written");
    router.process.signal("-HUP");
    let failed = router.wait_for_event("reload_failed");

    assert!(unchanged.contains("changed=false") && changed.contains("changed=true"));
    assert!(failed.contains("EOF"));
    assert!(get(admin, "/metrics").contains("fireflywind_value"));
    router.process.signal("-TERM");
    router.wait_for_event("stop_requested");
    let status = router.process.child.wait().expect("the program ends");
    assert_eq!(status.code(), Some(0));
}

// Guards against a failed start whose message does not name the settings file.
#[test]
fn a_failed_start_names_the_settings_file() {
    let output = Command::new(env!("CARGO_BIN_EXE_fireflywind-router"))
        .env("FIREFLYWIND_NODE_FILE", "/nowhere/settings.json")
        .output()
        .expect("the program starts");

    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/settings.json"));
}
