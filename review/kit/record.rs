//! What was sent, answered and run, written to `record.txt`.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
    path: PathBuf,
}

impl Record {
    pub fn new(dir: &Path) -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
            path: dir.join("record.txt"),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = self.now();
        self.lines.lock().expect("lock").push((at, line.into()));
    }

    /// Writes the record, in order of time.
    pub fn write(&self) {
        let mut lines = self.lines.lock().expect("lock").clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, l)| format!("{:8.3} {l}\n", at.as_secs_f64()))
            .collect();
        fs::write(&self.path, text).expect("the record can be written");
    }
}

/// Ends the script: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &Record, verdict: Result<(), String>, code: i32) -> i32 {
    match &verdict {
        Ok(()) => record.add("verdict: the rule held"),
        Err(text) => record.add(format!("verdict: {text}")),
    }
    record.write();
    match verdict {
        Ok(()) => {
            println!("the rule held");
            0
        }
        Err(text) => {
            println!("{text}");
            code
        }
    }
}
