//! Formats each log record as one line of key=value pairs.

use std::fmt::Write as _;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};

/// Longest value in a log line, in bytes; longer ones are truncated.
///
/// An explanation record of 13 versions takes about 8 KB, and a truncated record cannot be replayed.
const MAX_VALUE_BYTES: usize = 64 * 1024;

/// Starts logging to standard error.
///
/// # Errors
/// If a logger is already set.
pub fn start(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(level)
        // Keeps request bodies, which the HTTP libraries may log at lower levels, out of the log.
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
    // `Pairs::visit_pair` never fails.
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

/// Appends a value; quotes and escapes it if it is empty or contains a character that is not plain.
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

/// Returns the value of a key in a log line, without quotes and escapes.
#[must_use]
pub fn value_of(line: &str, key: &str) -> Option<String> {
    let start = format!("{key}=");
    let at = line.match_indices(&start).map(|(at, _)| at);
    let at = at
        .into_iter()
        .find(|at| *at == 0 || line[..*at].ends_with(' '))?;
    let value = &line[at + start.len()..];
    let Some(quoted) = value.strip_prefix('"') else {
        return value.split(' ').next().map(str::to_owned);
    };
    unquote(quoted)
}

/// Reads a quoted value up to its closing quote.
fn unquote(quoted: &str) -> Option<String> {
    let mut value = String::new();
    let mut chars = quoted.chars();
    loop {
        match chars.next()? {
            '"' => return Some(value),
            '\\' => match chars.next()? {
                'n' => value.push('\n'),
                'u' => value.push(unicode_escape(&mut chars)?),
                c => value.push(c),
            },
            c => value.push(c),
        }
    }
}

/// Reads the `{…}` of a `\u{…}` escape.
fn unicode_escape(chars: &mut std::str::Chars<'_>) -> Option<char> {
    let digits: String = chars.by_ref().skip(1).take_while(|c| *c != '}').collect();
    char::from_u32(u32::from_str_radix(&digits, 16).ok()?)
}
