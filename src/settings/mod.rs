//! Settings of the gateway, the agent and the operator's program.
//!
//! Settings are JSON files. As for the sheet, all findings are reported together.

mod agent;
pub mod defaults;
mod gateway;
mod operator;
mod secret;
#[cfg(test)]
mod tests;

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use log::LevelFilter;
use serde::de::DeserializeOwned;

pub use agent::{Agent, AgentKind};
pub use gateway::{Gateway, SessionKey};
pub use operator::Operator;
pub use secret::Secret;

use crate::sheet::document;
use crate::sheet::finding::{Finding, Rule, join};
use crate::sheet::shape::{self, Field, Shape};
use crate::units::Millis;

/// Smallest length of a peer key or a session key, in characters.
pub const MIN_SECRET_CHARS: usize = 32;

const MIN_STOP_DEADLINE: Millis = Millis::from_secs(1);
const MAX_STOP_DEADLINE: Millis = Millis::from_secs(600);

const SECRET: Shape = Shape::Secret(MIN_SECRET_CHARS);
const ADDRESSES: Shape = Shape::List(&Shape::Address);
const LOG_LEVEL: Shape = Shape::OneOf(&["off", "error", "warn", "info", "debug", "trace"]);
const STOP_DEADLINE: Shape = Shape::Span(MIN_STOP_DEADLINE, MAX_STOP_DEADLINE);

/// Settings that could not be loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadError {
    /// The file cannot be read.
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's message.
        reason: String,
    },
    /// The file is not valid.
    Findings {
        /// The file.
        path: PathBuf,
        /// Every finding; at least one.
        findings: Vec<Finding>,
    },
}

impl fmt::Display for LoadError {
    /// Writes one line for each finding.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, reason } => write!(f, "{}: {reason}", path.display()),
            Self::Findings { path, findings } => {
                for (index, finding) in findings.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "\n" };
                    write!(f, "{separator}{}: {finding}", path.display())?;
                }
                Ok(())
            }
        }
    }
}

impl std::error::Error for LoadError {}

/// Loads the settings of a process from a file.
///
/// # Errors
/// [`LoadError`] if the file cannot be read or is not valid.
pub fn load<T>(
    path: &Path,
    parse: impl FnOnce(&[u8]) -> Result<T, Vec<Finding>>,
) -> Result<T, LoadError> {
    let text = fs::read(path).map_err(|error| LoadError::Unreadable {
        path: path.to_owned(),
        reason: error.to_string(),
    })?;
    parse(&text).map_err(|findings| LoadError::Findings {
        path: path.to_owned(),
        findings,
    })
}

/// Parses a file according to its shape; placeholders replace the values that have `findings`.
fn parse_shape<T: DeserializeOwned>(
    text: &[u8],
    shape: &Shape,
    findings: &mut Vec<Finding>,
) -> Result<T, Vec<Finding>> {
    let node = document::parse(text).map_err(|mut finding| {
        // The offending line may contain a secret.
        "(line not shown)".clone_into(&mut finding.value);
        vec![finding]
    })?;
    shape::deserialize(shape::validate(&node, shape, findings))
}

/// Returns the settings unless there are findings.
fn into_result<T>(settings: T, findings: Vec<Finding>) -> Result<T, Vec<Finding>> {
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(findings)
    }
}

/// Adds a finding unless there is one at or above its place.
fn add_finding(findings: &mut Vec<Finding>, finding: Finding) {
    if !findings.iter().any(|it| finding.place.is_within(&it.place)) {
        findings.push(finding);
    }
}

fn require_non_empty<T>(list: &[T], field: &str, findings: &mut Vec<Finding>) {
    if list.is_empty() {
        add_finding(
            findings,
            Finding::at(join("", field), Rule::EmptyList, "list of 0"),
        );
    }
}

/// Requires that the two listeners have different addresses; with port 0, the operating system chooses a port.
fn require_distinct_addresses(listen: SocketAddr, admin: SocketAddr, findings: &mut Vec<Finding>) {
    if listen == admin && listen.port() != 0 {
        let first = "/listen".to_owned();
        let rule = Rule::SharedAddress { first };
        add_finding(findings, Finding::at("/admin_listen", rule, admin));
    }
}

fn log_level(text: Option<&str>) -> LevelFilter {
    text.and_then(|level| level.parse().ok())
        .unwrap_or(defaults::LOG_LEVEL)
}

/// Returns the peer key from the setting or from its file.
fn peer_key(key: Option<Secret>, file: Option<PathBuf>, findings: &mut Vec<Finding>) -> Secret {
    match (key, file) {
        (Some(key), None) => return key,
        (None, Some(path)) => match fs::read_to_string(&path) {
            Ok(text) => return key_from_file(&text, &path, findings),
            Err(error) => {
                let reason = error.to_string();
                let rule = Rule::Unreadable { reason };
                add_finding(
                    findings,
                    Finding::at("/peer_key_file", rule, path.display()),
                );
            }
        },
        (Some(_), Some(path)) => {
            let rule = Rule::MutuallyExclusive { other: "peer_key" };
            add_finding(
                findings,
                Finding::at("/peer_key_file", rule, path.display()),
            );
        }
        (None, None) => add_finding(
            findings,
            Finding::at("/peer_key", Rule::MissingField, "(absent)"),
        ),
    }
    Secret::default()
}

fn key_from_file(text: &str, path: &Path, findings: &mut Vec<Finding>) -> Secret {
    let key = text.trim();
    if key.chars().count() < MIN_SECRET_CHARS {
        let min = MIN_SECRET_CHARS;
        let rule = Rule::ShortSecret { min };
        add_finding(
            findings,
            Finding::at("/peer_key_file", rule, path.display()),
        );
    }
    Secret::from(key)
}
