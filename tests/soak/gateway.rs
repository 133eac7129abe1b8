//! A gateway as a process of its own.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::wire::Channel;

/// Longest wait for a process to start or to end; a loaded machine needs far less.
const DEADLINE: Duration = Duration::from_mins(1);

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Address for clients.
    pub listen: SocketAddr,
    ready: SocketAddr,
    child: Child,
    settings: PathBuf,
}

impl Gateway {
    /// Starts a gateway that logs to a file.
    pub fn start(name: &str, store: SocketAddr, dir: &std::path::Path) -> Self {
        let settings = dir.join(format!("{name}.json"));
        let any = "127.0.0.1:0";
        let text = format!(
            r#"{{"name":"{name}","data_centre":"a","listen":"{any}","ready":"{any}","admin":"{any}","loads":"{any}",
            "beacon_port":1,"store":"{store}","retries":{{"ratio":0.9,"window_s":10,"slack":200}},
            "key_revocation":"5s","stop_grace":"3s"}}"#
        );
        std::fs::write(&settings, text).expect("the directory can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_fireflywind-router"))
            .env("FIREFLYWIND_NODE_FILE", &settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stdout.take().expect("it is piped"));
        let log = File::create(dir.join(format!("{name}.log"))).expect("it can be created");
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || copy_lines(lines, log, &tx));
        let start = rx.recv_timeout(DEADLINE).expect("the program starts");
        Self {
            listen: address(&start, "listen"),
            ready: address(&start, "ready"),
            child,
            settings,
        }
    }

    /// Tells whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let mut channel = Channel::new(stream);
        let is_sent = channel
            .write(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            .is_ok();
        is_sent && channel.read_head().is_ok_and(|m| m.word(1) == "200")
    }

    /// Sends a signal to this process.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.is_ok_and(|s| s.success()));
    }

    /// Waits until the process has ended; returns whether it ended by itself with success.
    pub fn wait(&mut self) -> bool {
        let started = Instant::now();
        while started.elapsed() < DEADLINE {
            if let Some(status) = self.child.try_wait().expect("it is a child") {
                return status.success();
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the gateway does not end");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn copy_lines(
    lines: BufReader<std::process::ChildStdout>,
    mut log: File,
    start: &mpsc::Sender<String>,
) {
    for line in lines.lines().map_while(Result::ok) {
        if line.contains(" event=start ") {
            // Nobody waits for it a second time.
            let _ = start.send(line.clone());
        }
        if writeln!(log, "{line}").is_err() {
            return;
        }
    }
}

fn address(line: &str, key: &str) -> SocketAddr {
    let mut words = line.split_whitespace();
    let found = words.find_map(|w| w.strip_prefix(&format!("{key}=")));
    let found = found.and_then(|text| text.trim_matches('"').parse().ok());
    found.expect("the line has the address")
}
