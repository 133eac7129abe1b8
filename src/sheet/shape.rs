//! Document schemas: the fields of each object, and the form and range of each value.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::document::Node;
use super::finding::{Finding, Rule, join};
use crate::ids::MAX_NAME_BYTES;
use crate::units::{Micros, Millis};

/// Number of hexadecimal digits of a SHA-256.
const HASH_DIGITS: usize = 64;

/// Placeholder for an unknown name; it is not a valid name, so it equals none.
const NO_NAME: &str = "?";

/// The form of a value.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// A name of letters, digits, `-`, `_` and `.`.
    Name,
    /// A version reference `model/version`.
    VersionRef,
    /// A SHA-256 in hexadecimal.
    KeyHash,
    /// Any text.
    Text,
    /// A secret of at least this many characters; findings do not quote it.
    Secret(usize),
    /// A path that starts with `/`.
    PathPrefix,
    /// An IP address with a port.
    Address,
    /// A time span within a range.
    Span(Millis, Millis),
    /// An amount of money.
    Money,
    /// A whole number within a range.
    Count(u64, u64),
    /// `true` or `false`.
    Flag,
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// A list.
    List(&'static Shape),
    /// An object with these fields.
    Object(&'static [Field]),
    /// An object with exactly one of these fields.
    Choice(&'static [Field]),
}

/// A field of an object.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    name: &'static str,
    shape: Shape,
    required: bool,
}

impl Field {
    /// Creates a field that must be present.
    #[must_use]
    pub const fn required(name: &'static str, shape: Shape) -> Self {
        Self {
            name,
            shape,
            required: true,
        }
    }

    /// Creates a field that may be absent.
    #[must_use]
    pub const fn optional(name: &'static str, shape: Shape) -> Self {
        Self {
            name,
            shape,
            required: false,
        }
    }
}

/// Validates a document against a shape and adds every finding to `found`.
///
/// The returned value always has the shape: placeholders replace invalid values, so that the checks of the
/// whole document can run and report their findings as well.
#[must_use]
pub fn read(node: &Node, shape: &Shape, found: &mut Vec<Finding>) -> Value {
    Reader { found }.value(node, shape, "")
}

/// Deserializes a value that has been validated into the type that its shape describes.
///
/// # Errors
/// One finding if the shape accepts a value that the type does not, which is a bug in the shape.
pub fn typed<T: DeserializeOwned>(value: Value) -> Result<T, Vec<Finding>> {
    serde_json::from_value(value).map_err(|error| {
        let reason = error.to_string();
        vec![Finding::at("", Rule::Syntax { reason }, "document")]
    })
}

struct Reader<'a> {
    found: &'a mut Vec<Finding>,
}

impl Reader<'_> {
    fn value(&mut self, node: &Node, shape: &Shape, place: &str) -> Value {
        let value = match (shape, node) {
            (Shape::List(shape), Node::List(items)) => Some(self.list(items, shape, place)),
            (Shape::Object(fields), Node::Object(given)) => Some(self.object(given, fields, place)),
            (Shape::Choice(fields), Node::Object(given)) => self.choice(given, fields, place),
            (Shape::List(_) | Shape::Object(_) | Shape::Choice(_), _) => {
                self.add_value(place, wrong_type(shape), node, shape);
                None
            }
            _ => match scalar(node, shape) {
                Ok(value) => Some(value),
                Err((rule, kept)) => {
                    self.add_value(place, rule, node, shape);
                    kept
                }
            },
        };
        value.unwrap_or_else(|| placeholder(shape))
    }

    fn list(&mut self, items: &[Node], shape: &Shape, place: &str) -> Value {
        let items = items.iter().enumerate();
        Value::Array(
            items
                .map(|(at, item)| self.value(item, shape, &join(place, at)))
                .collect(),
        )
    }

    fn object(&mut self, given: &[(String, Node)], fields: &[Field], place: &str) -> Value {
        let mut object = self.known_fields(given, fields, place);
        for field in fields.iter().filter(|field| field.required) {
            if !object.contains_key(field.name) {
                let at = join(place, field.name);
                self.found
                    .push(Finding::at(at, Rule::MissingField, "(absent)"));
                object.insert(field.name.to_owned(), placeholder(&field.shape));
            }
        }
        Value::Object(object)
    }

    fn choice(&mut self, given: &[(String, Node)], fields: &[Field], place: &str) -> Option<Value> {
        let object = self.known_fields(given, fields, place);
        if object.len() == 1 {
            return Some(Value::Object(object));
        }
        let node = Node::Object(given.to_vec());
        self.add(place, wrong_type(&Shape::Choice(&[])), &node);
        None
    }

    fn known_fields(
        &mut self,
        given: &[(String, Node)],
        fields: &[Field],
        place: &str,
    ) -> Map<String, Value> {
        let mut object = Map::new();
        for (name, node) in given {
            let at = join(place, name);
            let Some(field) = fields.iter().find(|field| field.name == name) else {
                self.found.push(Finding::at(at, Rule::UnknownField, name));
                continue;
            };
            if object.contains_key(name) {
                self.add_value(&at, Rule::DuplicateField, node, &field.shape);
                continue;
            }
            let value = self.value(node, &field.shape, &at);
            object.insert(name.clone(), value);
        }
        object
    }

    fn add(&mut self, place: &str, rule: Rule, node: &Node) {
        self.found.push(Finding::at(place, rule, node.summary()));
    }

    fn add_value(&mut self, place: &str, rule: Rule, node: &Node, shape: &Shape) {
        match (shape, node) {
            (Shape::Secret(_), Node::Text(text)) => {
                let value = format!("(secret of {} characters)", text.chars().count());
                self.found.push(Finding::at(place, rule, value));
            }
            _ if holds_secret(shape) => self.found.push(Finding::at(place, rule, "(secret)")),
            _ => self.add(place, rule, node),
        }
    }
}

fn holds_secret(shape: &Shape) -> bool {
    match shape {
        Shape::Secret(_) => true,
        Shape::List(shape) => holds_secret(shape),
        Shape::Object(fields) | Shape::Choice(fields) => {
            fields.iter().any(|field| holds_secret(&field.shape))
        }
        _ => false,
    }
}

/// The broken rule, and the value to continue with if it is known.
type Fault = (Rule, Option<Value>);

fn scalar(node: &Node, shape: &Shape) -> Result<Value, Fault> {
    match (shape, node) {
        (Shape::Flag, Node::Flag(flag)) => Ok(Value::Bool(*flag)),
        (Shape::Count(min, max), Node::Number(number)) => {
            let number = number.as_u64().ok_or((wrong_type(shape), None))?;
            in_range(number, *min, *max, u64::to_string)?;
            Ok(Value::from(number))
        }
        (Shape::Span(..) | Shape::Money, Node::Number(_)) => Err((wrong_unit(shape), None)),
        (_, Node::Text(text)) => text_value(text, shape),
        _ => Err((wrong_type(shape), None)),
    }
}

fn text_value(text: &str, shape: &Shape) -> Result<Value, Fault> {
    let kept = || Some(Value::from(text));
    let form = |ok: bool, rule: Rule| if ok { Ok(()) } else { Err((rule, kept())) };
    match shape {
        Shape::Name => check_name(text).map_err(|rule| (rule, kept()))?,
        Shape::VersionRef => {
            let (model, version) = text.split_once('/').ok_or((wrong_type(shape), None))?;
            for name in [model, version] {
                check_name(name).map_err(|rule| (rule, None))?;
            }
        }
        Shape::KeyHash => {
            let is_hash = text.len() == HASH_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
            form(is_hash, Rule::KeyHash)?;
        }
        Shape::Secret(min) => {
            let rule = Rule::ShortSecret { min: *min };
            form(text.chars().count() >= *min, rule)?;
        }
        Shape::PathPrefix => form(is_path(text), Rule::PathPrefix)?,
        Shape::Address => {
            let address = text.parse::<SocketAddr>();
            address.map_err(|_not_an_address| (wrong_type(shape), None))?;
        }
        Shape::Span(min, max) => {
            let span = text.parse::<Millis>();
            let span = span.map_err(|_not_a_span| (wrong_unit(shape), None))?;
            in_range(span, *min, *max, Millis::to_string)?;
        }
        Shape::Money => {
            let amount = text.parse::<Micros>();
            amount.map_err(|_not_money| (wrong_unit(shape), None))?;
        }
        Shape::OneOf(words) => {
            if !words.contains(&text) {
                return Err((Rule::UnknownWord { words }, None));
            }
        }
        Shape::Text => {}
        _ => return Err((wrong_type(shape), None)),
    }
    Ok(Value::from(text))
}

fn in_range<T: Ord + Copy>(
    value: T,
    min: T,
    max: T,
    text: impl Fn(&T) -> String,
) -> Result<(), Fault> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    let rule = Rule::OutOfRange {
        min: text(&min),
        max: text(&max),
    };
    Err((rule, None))
}

fn check_name(name: &str) -> Result<(), Rule> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if name.is_empty() {
        Err(Rule::EmptyName)
    } else if name.len() > MAX_NAME_BYTES {
        Err(Rule::NameTooLong {
            max: MAX_NAME_BYTES,
        })
    } else if !name.bytes().all(allowed) {
        Err(Rule::NameCharacter)
    } else {
        Ok(())
    }
}

fn is_path(text: &str) -> bool {
    let in_path = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#' | b'"' | b'\\');
    text.starts_with('/') && text.bytes().all(in_path)
}

const fn wrong_type(shape: &Shape) -> Rule {
    let expected = match shape {
        Shape::Name => "a name",
        Shape::VersionRef => "a version such as \"small/v1\"",
        Shape::KeyHash => "a SHA-256 as text",
        Shape::Text => "text",
        Shape::Secret(_) => "a secret as text",
        Shape::PathPrefix => "a path as text",
        Shape::Address => "an IP address with a port, such as \"10.0.0.1:7100\"",
        Shape::Span(..) => "a time span such as \"2s\"",
        Shape::Money => "an amount such as \"0.25\"",
        Shape::Count(..) => "a whole number",
        Shape::Flag => "true or false",
        Shape::OneOf(_) => "a word as text",
        Shape::List(_) => "a list",
        Shape::Object(_) => "an object",
        Shape::Choice(_) => "an object with exactly one of its fields",
    };
    Rule::WrongType { expected }
}

const fn wrong_unit(shape: &Shape) -> Rule {
    let expected = match shape {
        Shape::Money => "as text with at most six decimals, such as \"0.25\"",
        _ => "such as \"500ms\", \"2s\", \"5m\" or \"24h\"",
    };
    Rule::WrongUnit { expected }
}

fn placeholder(shape: &Shape) -> Value {
    match shape {
        Shape::Name | Shape::Text | Shape::Secret(_) => Value::from(NO_NAME),
        Shape::VersionRef => Value::from(format!("{NO_NAME}/{NO_NAME}")),
        Shape::KeyHash => Value::from("0".repeat(HASH_DIGITS)),
        Shape::PathPrefix => Value::from("/"),
        Shape::Address => Value::from("0.0.0.0:0"),
        Shape::Span(min, _) => Value::from(min.to_string()),
        Shape::Money => Value::from("0"),
        Shape::Count(min, _) => Value::from(*min),
        Shape::Flag => Value::from(false),
        Shape::OneOf(words) => Value::from(words.first().copied().unwrap_or_default()),
        Shape::List(_) => Value::Array(Vec::new()),
        Shape::Object(fields) => Value::Object(
            fields
                .iter()
                .filter(|field| field.required)
                .map(|field| (field.name.to_owned(), placeholder(&field.shape)))
                .collect(),
        ),
        Shape::Choice(fields) => Value::Object(
            fields
                .iter()
                .take(1)
                .map(|field| (field.name.to_owned(), placeholder(&field.shape)))
                .collect(),
        ),
    }
}
