//! Differences between two sheets, whose entries are matched by ID.

use std::cmp::Ordering;
use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

use super::finding::join;
use super::model::Sheet;

/// How a value differs.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Only the new sheet has the value.
    Added(Value),
    /// Only the old sheet has the value.
    Removed(Value),
    /// The sheets have different values.
    Changed {
        /// The value of the old sheet.
        old: Value,
        /// The value of the new sheet.
        new: Value,
    },
}

/// One difference between two sheets.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// JSON pointer with IDs in place of list indexes, such as `/accounts/shop/allow`.
    pub pointer: String,
    /// How the value there differs.
    pub change: Change,
}

impl Difference {
    /// Returns the difference as JSON, for programs.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let (old, new) = match &self.change {
            Change::Added(new) => (None, Some(new)),
            Change::Removed(old) => (Some(old), None),
            Change::Changed { old, new } => (Some(old), Some(new)),
        };
        let mut fields = Map::new();
        fields.insert("pointer".to_owned(), Value::from(self.pointer.as_str()));
        for (name, value) in [("old", old), ("new", new)] {
            if let Some(value) = value {
                fields.insert(name.to_owned(), value.clone());
            }
        }
        Value::Object(fields)
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.change {
            Change::Added(new) => write!(f, "+ {}: {new}", self.pointer),
            Change::Removed(old) => write!(f, "- {}: {old}", self.pointer),
            Change::Changed { old, new } => write!(f, "~ {}: {old} -> {new}", self.pointer),
        }
    }
}

/// Lists the differences between two sheets whose lists are sorted.
///
/// An entry that only one sheet has is one difference. Lists whose entries have no ID, such as the steps of a
/// cascade, are compared as a whole.
#[must_use]
pub fn diff(old: &Sheet, new: &Sheet) -> Vec<Difference> {
    let mut found = Vec::new();
    let out = &mut found;
    diff_entries(out, "/accounts", &old.accounts, &new.accounts, |e| {
        e.id.as_str()
    });
    diff_entries(out, "/models", &old.models, &new.models, |e| e.id.as_str());
    diff_entries(out, "/cascades", &old.cascades, &new.cascades, |e| {
        e.id.as_str()
    });
    diff_entries(out, "/classes", &old.classes, &new.classes, |e| {
        e.id.as_str()
    });
    diff_entries(out, "/services", &old.services, &new.services, |e| {
        e.id.as_str()
    });
    diff_entries(out, "/upstreams", &old.upstreams, &new.upstreams, |e| {
        e.id.as_str()
    });
    diff_values(out, "/policy", to_value(&old.policy), to_value(&new.policy));
    found
}

/// Merges two sorted lists; entries that are equal are not converted to JSON.
fn diff_entries<T: Serialize + PartialEq>(
    out: &mut Vec<Difference>,
    list: &str,
    old: &[T],
    new: &[T],
    id: impl Fn(&T) -> &str,
) {
    let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(old), Some(new)) => id(old).cmp(id(new)),
        };
        let before = old.next_if(|_| order.is_le());
        let after = new.next_if(|_| order.is_ge());
        if before == after {
            continue;
        }
        let Some(name) = before.or(after).map(&id) else {
            return;
        };
        let pointer = join(list, name);
        match (before.map(to_value), after.map(to_value)) {
            (Some(old), Some(new)) => diff_values(out, &pointer, old, new),
            (Some(old), None) => push(out, &pointer, Change::Removed(old)),
            (None, Some(new)) => push(out, &pointer, Change::Added(new)),
            (None, None) => {}
        }
    }
}

fn diff_values(out: &mut Vec<Difference>, pointer: &str, old: Value, new: Value) {
    if old == new {
        return;
    }
    match (keyed_by_id(old), keyed_by_id(new)) {
        (Value::Object(old), Value::Object(new)) => diff_fields(out, pointer, old, new),
        // One list is empty, so all entries of the other were added or removed.
        (Value::Object(old), Value::Array(new)) if new.is_empty() => {
            diff_fields(out, pointer, old, Map::new());
        }
        (Value::Array(old), Value::Object(new)) if old.is_empty() => {
            diff_fields(out, pointer, Map::new(), new);
        }
        (old, new) => push(out, pointer, Change::Changed { old, new }),
    }
}

fn diff_fields(
    out: &mut Vec<Difference>,
    pointer: &str,
    old: Map<String, Value>,
    mut new: Map<String, Value>,
) {
    for (name, old) in old {
        let pointer = join(pointer, &name);
        match new.remove(&name) {
            Some(new) => diff_values(out, &pointer, old, new),
            None => push(out, &pointer, Change::Removed(old)),
        }
    }
    for (name, new) in new {
        push(out, &join(pointer, &name), Change::Added(new));
    }
}

/// Converts a list whose entries have IDs into an object keyed by ID; other values stay as they are.
fn keyed_by_id(value: Value) -> Value {
    let Value::Array(items) = value else {
        return value;
    };
    let ids: Vec<_> = items
        .iter()
        .filter_map(entry_id)
        .map(str::to_owned)
        .collect();
    if ids.is_empty() || ids.len() != items.len() {
        return Value::Array(items);
    }
    Value::Object(ids.into_iter().zip(items).collect())
}

fn entry_id(item: &Value) -> Option<&str> {
    let id = item.get("id").or_else(|| item.get("class"))?;
    id.as_str()
}

fn push(out: &mut Vec<Difference>, pointer: &str, change: Change) {
    out.push(Difference {
        pointer: pointer.to_owned(),
        change,
    });
}

fn to_value(value: impl Serialize) -> Value {
    // The sheet's types have only string keys and finite numbers, so the conversion never fails.
    serde_json::to_value(value).unwrap_or_default()
}
