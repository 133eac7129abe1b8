//! Logging through a buffer and a writer thread, so that a slow reader of the log never blocks the process.

use std::io::Write as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use log::LevelFilter;

use super::logging;

/// Capacity of the buffer; lines that do not fit are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Interval between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    is_closed: bool,
}

/// Handle of the thread that writes log lines.
#[derive(Debug)]
pub struct LogWriter {
    buffer: Arc<Mutex<Buffer>>,
    thread: Option<JoinHandle<()>>,
}

impl LogWriter {
    /// Writes the buffered lines and ends the thread.
    pub fn close(mut self) {
        lock(&self.buffer).is_closed = true;
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
    let buffer = Arc::new(Mutex::new(Buffer::default()));
    let lines = Arc::clone(&buffer);
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| push(&lines, record)))
        .apply()?;
    let written = Arc::clone(&buffer);
    let thread = std::thread::spawn(move || write_lines(&written));
    Ok(LogWriter {
        buffer,
        thread: Some(thread),
    })
}

fn push(buffer: &Mutex<Buffer>, record: &log::Record<'_>) {
    let line = logging::line(record);
    let mut buffer = lock(buffer);
    if buffer.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
        buffer.dropped += 1;
        return;
    }
    buffer.bytes.extend_from_slice(line.as_bytes());
    buffer.bytes.push(b'\n');
}

fn write_lines(buffer: &Mutex<Buffer>) {
    let mut bytes = Vec::new();
    loop {
        std::thread::sleep(WRITE_INTERVAL);
        let (dropped, is_closed) = {
            let mut buffer = lock(buffer);
            std::mem::swap(&mut bytes, &mut buffer.bytes);
            (std::mem::take(&mut buffer.dropped), buffer.is_closed)
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

fn lock(buffer: &Mutex<Buffer>) -> std::sync::MutexGuard<'_, Buffer> {
    buffer.lock().unwrap_or_else(PoisonError::into_inner)
}
