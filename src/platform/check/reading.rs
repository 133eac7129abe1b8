//! What gateways refuse, found with their own reader.

use serde_json::{Value, json};

use crate::platform::items::{self, CONFIG_KEY};

use super::{Finding, Severity};

/// Faults of one entry after which the search ends; an entry has fewer fields.
const MAX_FAULTS_PER_ENTRY: usize = 64;

/// Returns what gateways refuse in a configuration.
pub(super) fn refused(config: &Value) -> Vec<Finding> {
    let mut findings = Vec::new();
    let Some(fields) = config.as_object() else {
        let wanted = "an object with version and routes";
        findings.push(Finding::new(
            config,
            String::new(),
            Severity::Refused,
            wanted,
        ));
        return findings;
    };
    // The lists without their entries, which follow one by one.
    let mut frame = fields.clone();
    for name in ["routes", "services", "tenants"] {
        if fields.get(name).is_some_and(Value::is_array) {
            frame.insert(name.to_owned(), json!([]));
        }
    }
    findings.extend(faults(config, "", Value::Object(frame), |frame| {
        frame.clone()
    }));
    let entries = |name: &str| {
        let list = fields.get(name).and_then(Value::as_array);
        list.map_or(&[][..], Vec::as_slice).iter().enumerate()
    };
    for (at, route) in entries("routes") {
        let place = format!("/routes/{at}");
        findings.extend(faults(
            config,
            &place,
            route.clone(),
            |route| json!({"version": 1, "routes": [route]}),
        ));
    }
    for name in ["services", "tenants"] {
        for (at, entry) in entries(name) {
            let place = format!("/{name}/{at}");
            findings.extend(faults(
                config,
                &place,
                entry.clone(),
                |entry| json!({"version": 1, "routes": [], name: [entry]}),
            ));
        }
    }
    findings
}

/// Returns the faults of an entry that the reader finds when `whole` puts it into a configuration.
fn faults(
    config: &Value,
    place: &str,
    mut entry: Value,
    whole: impl Fn(&Value) -> Value,
) -> Vec<Finding> {
    let mut findings: Vec<Finding> = Vec::new();
    while findings.len() < MAX_FAULTS_PER_ENTRY {
        let text = whole(&entry).to_string();
        let Err(error) = items::decode(CONFIG_KEY, text.as_bytes(), 0) else {
            return findings;
        };
        let fault = Fault::parse(&error.to_string());
        let at = format!("{place}{}", fault.pointer);
        if findings.iter().any(|known| known.place == at) {
            // The replacement did not help.
            return findings;
        }
        let is_repaired = repair(&mut entry, &fault.pointer);
        findings.push(Finding::new(config, at, Severity::Refused, fault.wanted));
        if !is_repaired {
            return findings;
        }
    }
    findings
}

/// An error of the reader.
struct Fault {
    /// JSON pointer within the entry.
    pointer: String,
    wanted: String,
}

impl Fault {
    /// Reads the reader's error text: `field PATH: CAUSE`, or a sentence about the entry.
    fn parse(error: &str) -> Self {
        let (path, cause) = (error.strip_prefix("field "))
            .and_then(|rest| rest.split_once(": "))
            .unwrap_or(("", error));
        let mut pointer = String::new();
        for part in path.split(['.', '[', ']']).filter(|part| !part.is_empty()) {
            pointer.push('/');
            pointer.push_str(part);
        }
        // A probe has its entry first in its list.
        for list in ["/services/0", "/tenants/0"] {
            if pointer.starts_with(list) {
                pointer.drain(..list.len());
            }
        }
        if let Some(name) = quoted(cause, "missing field `", '`') {
            pointer = format!("{pointer}/{name}");
        } else if cause.starts_with("type of route") {
            pointer.push_str("/type");
        } else if cause.contains("has neither") {
            pointer.push_str("/service");
        }
        let wanted = match cause.rsplit_once("expected ") {
            Some((_, expected)) => expected.split(" at line ").next().unwrap_or(expected),
            None => cause,
        };
        Self {
            pointer,
            wanted: wanted.to_owned(),
        }
    }
}

fn quoted<'a>(text: &'a str, before: &str, after: char) -> Option<&'a str> {
    let (_, rest) = text.split_once(before)?;
    Some(rest.split_once(after)?.0)
}

/// Puts a valid value at a place, so that the reader goes on to the next fault; returns whether one is known.
fn repair(entry: &mut Value, pointer: &str) -> bool {
    let Some((parent, last)) = pointer.rsplit_once('/') else {
        return false;
    };
    let is_element = last.parse::<usize>().is_ok();
    let name = if is_element {
        parent.rsplit('/').next().unwrap_or_default()
    } else {
        last
    };
    let valid = if is_element {
        Some(valid_element(name))
    } else {
        valid_field(name)
    };
    match (entry.pointer_mut(parent), valid) {
        (Some(Value::Object(fields)), Some(valid)) => {
            fields.insert(last.to_owned(), valid);
            true
        }
        // A field that is not known here has a default.
        (Some(Value::Object(fields)), None) => fields.remove(last).is_some(),
        (Some(Value::Array(entries)), Some(valid)) => {
            let at = last.parse().ok().and_then(|at: usize| entries.get_mut(at));
            at.map(|at| *at = valid).is_some()
        }
        _ => false,
    }
}

fn valid_field(name: &str) -> Option<Value> {
    Some(match name {
        "name" | "host" | "service" => json!("x"),
        "prefix" => json!("/"),
        "type" => json!("safe"),
        "routes" | "services" | "tenants" | "sizes" | "split" | "models" | "apiKeys" => json!([]),
        "limits" => {
            json!({"maxHeaderBytes": 1, "maxBodyBytes": 1, "headerTimeoutMs": 1, "idleTimeoutMs": 1})
        }
        "engine" => json!({}),
        "public" | "sticky" | "resumable" => json!(false),
        "version" | "timeoutMs" | "goalMs" | "gapAimMs" | "weight" | "cost" | "priority"
        | "attempts" | "maxConns" | "maxHeaderBytes" | "maxBodyBytes" | "headerTimeoutMs"
        | "idleTimeoutMs" => json!(1),
        _ => return None,
    })
}

fn valid_element(list: &str) -> Value {
    match list {
        "split" => json!({"service": "x", "weight": 1}),
        "models" => json!({"name": "x"}),
        _ => json!("x"),
    }
}
