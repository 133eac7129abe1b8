//! Checks a configuration before an operator sends it.
//!
//! What gateways refuse is found with their own reader, [`items::decode`], which is given one entry at a time and then the
//! whole text; a field that it refuses is replaced by a valid one, so that the next one is found too.

mod difference;
mod doubts;
mod reading;

use std::fmt;

use serde_json::{Value, json};

use super::items;

pub use difference::differences;

/// Longest value that a finding shows, in characters.
const MAX_SHOWN_CHARS: usize = 80;

/// What a finding means for the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// Gateways refuse the configuration.
    Refused,
    /// Gateways take it, but an entry has no effect or contradicts another one.
    Doubtful,
}

impl Severity {
    /// Returns the name for reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Doubtful => "doubtful",
        }
    }
}

/// One fault of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// JSON pointer to the value.
    pub place: String,
    /// What it means.
    pub severity: Severity,
    /// The value, shortened; API keys are left out.
    pub value: String,
    /// What would be right.
    pub wanted: String,
}

impl Finding {
    fn new(config: &Value, place: String, severity: Severity, wanted: impl Into<String>) -> Self {
        let value = shown(&place, config.pointer(&place));
        Self {
            place,
            severity,
            value,
            wanted: wanted.into(),
        }
    }

    /// Returns the finding as JSON, for programs.
    #[must_use]
    pub fn to_json(&self) -> Value {
        json!({
            "place": self.place,
            "severity": self.severity.name(),
            "value": self.value,
            "wanted": self.wanted,
        })
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = if self.place.is_empty() {
            "/"
        } else {
            &self.place
        };
        let (severity, value, wanted) = (self.severity.name(), &self.value, &self.wanted);
        write!(f, "{place}: {severity}: is {value}, wanted {wanted}")
    }
}

/// Returns whether a place holds API keys, which no output may show.
fn is_secret(place: &str) -> bool {
    place.contains("/apiKeys")
}

fn shown(place: &str, value: Option<&Value>) -> String {
    let Some(value) = value else {
        return "absent".to_owned();
    };
    if is_secret(place) {
        return masked(value);
    }
    let text = without_keys(value.clone()).to_string();
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    format!("{start}...")
}

/// Returns the text that stands for API keys.
fn masked(keys: &Value) -> String {
    match keys {
        Value::Array(keys) => format!("a list of {}", keys.len()),
        Value::String(_) => "a string".to_owned(),
        _ => "another value".to_owned(),
    }
}

/// Replaces the API keys within a value.
fn without_keys(mut value: Value) -> Value {
    match &mut value {
        Value::Object(fields) => {
            for (name, field) in fields.iter_mut() {
                *field = if name == "apiKeys" {
                    Value::from(masked(field))
                } else {
                    without_keys(field.take())
                };
            }
        }
        Value::Array(entries) => {
            for entry in entries {
                *entry = without_keys(entry.take());
            }
        }
        _ => {}
    }
    value
}

/// Upstreams and places that a configuration is checked against.
#[derive(Debug, Default)]
pub struct Surroundings {
    /// Service and region of each upstream.
    upstreams: Vec<(String, Option<String>)>,
}

impl Surroundings {
    /// Reads a JSON object of `upstreams`, by id as in the store, and optionally `zones`, the region of each zone.
    ///
    /// # Errors
    /// If the text is not such an object, or an upstream is not one that gateways take.
    pub fn parse(text: &[u8]) -> Result<Self, String> {
        let value: Value = serde_json::from_slice(text).map_err(|error| error.to_string())?;
        let upstreams = value.get("upstreams").and_then(Value::as_object);
        let upstreams =
            upstreams.ok_or("upstreams: absent, wanted an object of upstreams by id")?;
        let mut found = Vec::new();
        for (id, entry) in upstreams {
            let key = format!("{}{id}", items::UPSTREAM_PREFIX);
            items::decode(&key, entry.to_string().as_bytes(), 0)
                .map_err(|error| format!("upstreams/{id}: {error}"))?;
            let text = |name: &str| entry.get(name).and_then(Value::as_str);
            let region = (text("zone"))
                .and_then(|zone| value.get("zones")?.get(zone)?.as_str())
                .map(str::to_owned);
            found.push((text("service").unwrap_or_default().to_owned(), region));
        }
        Ok(Self { upstreams: found })
    }
}

/// Returns all findings: what gateways refuse first, then what is doubtful.
#[must_use]
pub fn check(text: &[u8], surroundings: Option<&Surroundings>) -> Vec<Finding> {
    let config: Value = match serde_json::from_slice(text) {
        Ok(config) => config,
        Err(error) => {
            let finding = Finding {
                place: String::new(),
                severity: Severity::Refused,
                value: "no JSON".to_owned(),
                wanted: format!("JSON: {error}"),
            };
            return vec![finding];
        }
    };
    let mut findings = reading::refused(&config);
    if findings.is_empty()
        && let Err(error) = items::decode(items::CONFIG_KEY, text, 0)
    {
        // For instance, a field that is given twice.
        let wanted = format!("a configuration that gateways read: {error}");
        findings.push(Finding::new(
            &config,
            String::new(),
            Severity::Refused,
            wanted,
        ));
    }
    findings.extend(doubts::doubtful(&config, surroundings));
    findings
}
