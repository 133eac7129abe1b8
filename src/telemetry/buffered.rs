//! Logging through a buffer and a writer thread, so that a slow reader of the log never blocks the process.

use std::io::Write as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use log::LevelFilter;

use super::logging;

/// Capacity of the buffer; lines that do not fit are dropped and counted.
const MAX_WAITING: usize = 256 * 1024;

/// Interval between two writes.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    is_closed: bool,
}

/// Handle of the thread that writes log lines.
#[derive(Debug)]
pub struct LogWriter {
    waiting: Arc<Mutex<Waiting>>,
    thread: Option<JoinHandle<()>>,
}

impl LogWriter {
    /// Writes the buffered lines and ends the thread.
    pub fn close(mut self) {
        lock(&self.waiting).is_closed = true;
        if let Some(thread) = self.thread.take() {
            // The process is ending, so a panic of the writer thread needs no handling.
            let _ = thread.join();
        }
    }
}

/// Starts logging to standard output and the writer thread.
///
/// # Errors
/// If a logger is already set.
pub fn start(level: LevelFilter) -> Result<LogWriter, log::SetLoggerError> {
    let waiting = Arc::new(Mutex::new(Waiting::default()));
    let lines = Arc::clone(&waiting);
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| push(&lines, record)))
        .apply()?;
    let written = Arc::clone(&waiting);
    let thread = std::thread::spawn(move || write(&written));
    Ok(LogWriter {
        waiting,
        thread: Some(thread),
    })
}

fn push(waiting: &Mutex<Waiting>, record: &log::Record<'_>) {
    let line = logging::line(record);
    let mut waiting = lock(waiting);
    if waiting.bytes.len() + line.len() > MAX_WAITING {
        waiting.dropped += 1;
        return;
    }
    waiting.bytes.extend_from_slice(line.as_bytes());
    waiting.bytes.push(b'\n');
}

fn write(waiting: &Mutex<Waiting>) {
    let mut bytes = Vec::new();
    loop {
        std::thread::sleep(WRITE_PAUSE);
        let (dropped, is_closed) = {
            let mut waiting = lock(waiting);
            std::mem::swap(&mut bytes, &mut waiting.bytes);
            (std::mem::take(&mut waiting.dropped), waiting.is_closed)
        };
        if dropped > 0 {
            bytes
                .extend_from_slice(format!("event=log_lines_dropped count={dropped}\n").as_bytes());
        }
        if !bytes.is_empty() {
            // A closed standard output cannot be reported anywhere else.
            let _ = std::io::stdout().write_all(&bytes);
            let _ = std::io::stdout().flush();
            bytes.clear();
        }
        if is_closed {
            return;
        }
    }
}

fn lock(waiting: &Mutex<Waiting>) -> std::sync::MutexGuard<'_, Waiting> {
    waiting.lock().unwrap_or_else(PoisonError::into_inner)
}
