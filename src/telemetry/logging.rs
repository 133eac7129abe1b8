//! One line of key=value pairs for each event.

use std::fmt::Write as _;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};

/// Longest value in a log line, in bytes; longer ones are cut.
const MAX_VALUE_BYTES: usize = 16 * 1024;

/// Starts logging to standard error.
///
/// # Errors
/// If a logger is already set.
pub fn start(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(level)
        // Request bodies of HTTP libraries must not reach the log.
        .level_for("actix_http", LevelFilter::Warn)
        .level_for("actix_server", LevelFilter::Warn)
        .format(|out, _message, record| out.finish(format_args!("{}", line(record))))
        .chain(std::io::stderr())
        .apply()
}

/// Formats a record as one line of key=value pairs.
#[must_use]
pub fn line(record: &Record<'_>) -> String {
    let mut pairs = Pairs(String::new());
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    pairs.push(
        "time",
        &format!("{}.{:03}", now.as_secs(), now.subsec_millis()),
    );
    pairs.push("level", record.level().as_str());
    pairs.push("target", record.target());
    let message = record.args().to_string();
    if !message.is_empty() {
        pairs.push("message", &message);
    }
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut pairs);
    pairs.0
}

struct Pairs(String);

impl Pairs {
    fn push(&mut self, key: &str, value: &str) {
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        self.0.push_str(key);
        self.0.push('=');
        push_value(&mut self.0, value);
    }
}

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.push(key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Appends a value; quotes it if it holds anything but plain characters.
fn push_value(out: &mut String, value: &str) {
    let cut = value.floor_char_boundary(MAX_VALUE_BYTES);
    let value = &value[..cut];
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=' && c != '\\';
    if !value.is_empty() && value.chars().all(plain) {
        out.push_str(value);
        return;
    }
    out.push('"');
    for c in value.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c if c.is_control() => {
                // Writing to a string cannot fail.
                let _ = write!(out, "\\u{{{:x}}}", u32::from(c));
            }
            c => out.push(c),
        }
    }
    out.push('"');
}
