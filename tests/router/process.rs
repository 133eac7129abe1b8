//! The program of the platform's gateway as a process with settings of its own; the soak uses it too.

use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};

/// A running gateway; it ends with this value.
#[derive(Debug)]
pub struct Process {
    /// The process.
    pub child: Child,
    /// Path of its settings.
    pub settings: PathBuf,
}

impl Process {
    /// Starts the program with settings that are written to a path; returns its log, too.
    pub fn start(settings: PathBuf, text: &str) -> (Self, BufReader<ChildStdout>) {
        std::fs::write(&settings, text).expect("the directory can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_fireflywind-router"))
            .env("FIREFLYWIND_NODE_FILE", &settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stdout.take().expect("it is piped"));
        (Self { child, settings }, lines)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.is_ok_and(|s| s.success()));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns settings on ephemeral ports; `rest` has the bounds, as members of the object.
pub fn settings(name: &str, store: SocketAddr, rest: &str) -> String {
    let any = "127.0.0.1:0";
    format!(
        r#"{{"name":"{name}","data_centre":"a","listen":"{any}","ready":"{any}","admin":"{any}","loads":"{any}",
        "beacon_port":1,"store":"{store}",{rest}}}"#
    )
}

/// Returns the value of a key in a log line.
pub fn value<'a>(line: &'a str, key: &str) -> &'a str {
    let start = line
        .find(&format!(" {key}="))
        .expect("the line has the key");
    let value = &line[start + key.len() + 2..];
    value.split_whitespace().next().expect("it has a value")
}
