//! What a configuration changes in the one in force.

use serde_json::{Map, Value};

use crate::sheet::Difference;
use crate::sheet::diff::Change;

use super::{is_secret, masked, without_keys};

/// Lists the differences between two configurations; entries of lists are compared by their names, and API keys are left out.
#[must_use]
pub fn differences(old: &Value, new: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    compare(&mut found, String::new(), Some(old), Some(new));
    found
}

fn compare(out: &mut Vec<Difference>, pointer: String, old: Option<&Value>, new: Option<&Value>) {
    if old == new {
        return;
    }
    if let (Some(old), Some(new)) = (old, new)
        && let (Some(old), Some(new)) = (fields(old), fields(new))
    {
        let names = old
            .keys()
            .chain(new.keys().filter(|n| !old.contains_key(*n)));
        for name in names {
            let name_part = name.replace('~', "~0").replace('/', "~1");
            let pointer = format!("{pointer}/{name_part}");
            compare(out, pointer, old.get(name), new.get(name));
        }
        return;
    }
    let show = |value: &Value| {
        if is_secret(&pointer) {
            Value::from(masked(value))
        } else {
            without_keys(value.clone())
        }
    };
    let change = match (old.map(show), new.map(show)) {
        (Some(old), Some(new)) => Change::Changed { old, new },
        (Some(old), None) => Change::Removed(old),
        (None, Some(new)) => Change::Added(new),
        (None, None) => return,
    };
    out.push(Difference { pointer, change });
}

/// Returns the fields of an object, or the entries of a list by their names.
fn fields(value: &Value) -> Option<Map<String, Value>> {
    match value {
        Value::Object(fields) => Some(fields.clone()),
        Value::Array(entries) if !entries.is_empty() => {
            let by_name = entries.iter().map(|entry| {
                let name = entry.get("name").or_else(|| entry.get("service"))?;
                Some((name.as_str()?.to_owned(), entry.clone()))
            });
            let by_name: Map<_, _> = by_name.collect::<Option<_>>()?;
            // Entries of the same name cannot be told apart.
            (by_name.len() == entries.len()).then_some(by_name)
        }
        _ => None,
    }
}
