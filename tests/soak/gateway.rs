//! A gateway that runs as a separate process.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ChildStdout;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::process::{Process, log_value, settings};

/// Timeout for the start or end of a process; even a loaded machine needs far less.
const DEADLINE: Duration = Duration::from_mins(1);

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Address for clients.
    pub listen: SocketAddr,
    ready: SocketAddr,
    process: Process,
}

impl Gateway {
    /// Starts a gateway that logs to a file.
    pub fn start(name: &str, store: SocketAddr, dir: &std::path::Path) -> Self {
        let extra_members = r#""retries":{"ratio":0.9,"window_s":10,"slack":200},"checks_key_age":true,"key_revocation_ms":5000,"stop_grace_s":3"#;
        let text = settings(name, store, extra_members);
        let (process, lines) = Process::start(dir.join(format!("{name}.json")), &text);
        let log =
            File::create(dir.join(format!("{name}.log"))).expect("the log file can be created");
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || copy_lines(lines, log, &tx));
        let start = rx
            .recv_timeout(DEADLINE)
            .expect("the program logs that it has started");
        Self {
            listen: address(&start, "listen"),
            ready: address(&start, "ready"),
            process,
        }
    }

    /// Returns whether the gateway reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let mut connection = Connection::new(stream);
        let is_sent = connection
            .write(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            .is_ok();
        is_sent
            && connection
                .read_head()
                .is_ok_and(|m| m.start_line_part(1) == "200")
    }

    /// Returns the newest of the last configurations, up to `newest`, that the gateway serves by.
    pub fn served_version(&self, newest: u64) -> Option<u64> {
        served_version(self.listen, newest)
    }

    /// Sends a signal to this process.
    pub fn signal(&self, signal: &str) {
        self.process.signal(signal);
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        let started = Instant::now();
        while started.elapsed() < DEADLINE {
            if (self
                .process
                .child
                .try_wait()
                .expect("the state of the process can be read"))
            .is_some()
            {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the gateway did not end within {DEADLINE:?}");
    }
}

/// Time that a gateway has for the answer on a route that only shows which configuration is in force.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns whether a gateway has the route that a version of the configuration adds; `None` if its answer does not tell.
pub fn is_served(listen: SocketAddr, version: u64) -> io::Result<Option<bool>> {
    let stream = TcpStream::connect_timeout(&listen, ANSWER_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let mut connection = Connection::new(stream);
    let request = format!(
        "GET /version-{version}/ HTTP/1.1\r\nHost: soak.example\r\nX-Fireflywind-Request-Id: \
         version-{version}\r\nX-Fireflywind-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n"
    );
    connection.write(request.as_bytes())?;
    let mut head = connection.read_head()?;
    if head.start_line_part(1) == "404" {
        return Ok(Some(false));
    }
    connection.read_body(&mut head, |_| true)?;
    // Other refusals come before the route is known.
    let is_known = String::from_utf8_lossy(&head.body).contains("no_upstream");
    Ok(is_known.then_some(true))
}

/// Returns the newest version, up to `newest`, whose route a gateway has; the last few are asked for.
pub fn served_version(listen: SocketAddr, newest: u64) -> Option<u64> {
    let oldest = newest.saturating_sub(3).max(1);
    let mut versions = (oldest..=newest).rev();
    versions.find(|version| is_served(listen, *version).is_ok_and(|s| s == Some(true)))
}

fn copy_lines(lines: BufReader<ChildStdout>, mut log: File, start: &mpsc::Sender<String>) {
    for line in lines.lines().map_while(Result::ok) {
        if line.contains(" event=start ") {
            // The receiver is gone after the first such line.
            let _ = start.send(line.clone());
        }
        if writeln!(log, "{line}").is_err() {
            return;
        }
    }
}

fn address(line: &str, key: &str) -> SocketAddr {
    log_value(line, key)
        .parse()
        .expect("the value is a socket address")
}
