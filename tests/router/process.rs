//! Runs `fireflywind-router` as a process with its own settings file; shared with the soak test.

use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};

/// A running gateway process; it is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    pub child: Child,
    /// Path of its settings file.
    pub settings: PathBuf,
}

impl Process {
    /// Writes the settings to a path and starts the program with them; also returns a reader of its log.
    pub fn start(settings: PathBuf, text: &str) -> (Self, BufReader<ChildStdout>) {
        std::fs::write(&settings, text).expect("the directory can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_fireflywind-router"))
            .env("FIREFLYWIND_NODE_FILE", &settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        Self::of(child, settings)
    }

    /// Takes a program that was started with a settings file; also returns a reader of its log.
    pub fn of(mut child: Child, settings: PathBuf) -> (Self, BufReader<ChildStdout>) {
        let lines = BufReader::new(child.stdout.take().expect("standard output is piped"));
        (Self { child, settings }, lines)
    }

    /// Sends a signal, given as an option of `kill` such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.is_ok_and(|s| s.success()));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored, because the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns settings with ephemeral ports; `extra_members` holds further members of the JSON object.
pub fn settings(name: &str, store: SocketAddr, extra_members: &str) -> String {
    let ephemeral = "127.0.0.1:0";
    format!(
        r#"{{"name":"{name}","data_centre":"a","listen":"{ephemeral}","ready":"{ephemeral}","admin":"{ephemeral}","loads":"{ephemeral}",
        "beacon_port":1,"store":"{store}",{extra_members}}}"#
    )
}

/// Returns the value of a key in a log line.
pub fn log_value<'a>(line: &'a str, key: &str) -> &'a str {
    let start = line
        .find(&format!(" {key}="))
        .expect("the line has the key");
    let value = &line[start + key.len() + 2..];
    value
        .split_whitespace()
        .next()
        .expect("the key has a value")
}
