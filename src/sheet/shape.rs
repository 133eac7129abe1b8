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
const UNKNOWN_NAME: &str = "?";

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
    Integer(u64, u64),
    /// `true` or `false`.
    Bool,
    /// One of these texts.
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

/// Validates a document against a shape and adds every finding to `findings`.
///
/// The returned value always has the shape: placeholders replace invalid values, so that the checks of the
/// whole document can run and report their findings as well.
#[must_use]
pub fn validate(node: &Node, shape: &Shape, findings: &mut Vec<Finding>) -> Value {
    Validator { findings }.value(node, shape, "")
}

/// Deserializes a value that has been validated into the type that its shape describes.
///
/// # Errors
/// One finding if the shape accepts a value that the type does not, which is a bug in the shape.
pub fn deserialize<T: DeserializeOwned>(value: Value) -> Result<T, Vec<Finding>> {
    serde_json::from_value(value).map_err(|error| {
        let reason = error.to_string();
        vec![Finding::at("", Rule::Syntax { reason }, "document")]
    })
}

struct Validator<'a> {
    findings: &'a mut Vec<Finding>,
}

impl Validator<'_> {
    fn value(&mut self, node: &Node, shape: &Shape, pointer: &str) -> Value {
        let value = match (shape, node) {
            (Shape::List(shape), Node::List(items)) => Some(self.list(items, shape, pointer)),
            (Shape::Object(fields), Node::Object(given)) => {
                Some(self.object(given, fields, pointer))
            }
            (Shape::Choice(fields), Node::Object(given)) => self.choice(given, fields, pointer),
            (Shape::List(_) | Shape::Object(_) | Shape::Choice(_), _) => {
                self.add_value(pointer, wrong_type(shape), node, shape);
                None
            }
            _ => match scalar(node, shape) {
                Ok(value) => Some(value),
                Err((rule, recovered)) => {
                    self.add_value(pointer, rule, node, shape);
                    recovered
                }
            },
        };
        value.unwrap_or_else(|| placeholder(shape))
    }

    fn list(&mut self, items: &[Node], shape: &Shape, pointer: &str) -> Value {
        let items = items.iter().enumerate();
        Value::Array(
            items
                .map(|(index, item)| self.value(item, shape, &join(pointer, index)))
                .collect(),
        )
    }

    fn object(&mut self, given: &[(String, Node)], fields: &[Field], pointer: &str) -> Value {
        let mut object = self.known_fields(given, fields, pointer);
        for field in fields.iter().filter(|field| field.required) {
            if !object.contains_key(field.name) {
                let field_pointer = join(pointer, field.name);
                self.findings
                    .push(Finding::at(field_pointer, Rule::MissingField, "(absent)"));
                object.insert(field.name.to_owned(), placeholder(&field.shape));
            }
        }
        Value::Object(object)
    }

    fn choice(
        &mut self,
        given: &[(String, Node)],
        fields: &[Field],
        pointer: &str,
    ) -> Option<Value> {
        let object = self.known_fields(given, fields, pointer);
        if object.len() == 1 {
            return Some(Value::Object(object));
        }
        let node = Node::Object(given.to_vec());
        self.add(pointer, wrong_type(&Shape::Choice(&[])), &node);
        None
    }

    fn known_fields(
        &mut self,
        given: &[(String, Node)],
        fields: &[Field],
        pointer: &str,
    ) -> Map<String, Value> {
        let mut object = Map::new();
        for (name, node) in given {
            let field_pointer = join(pointer, name);
            let Some(field) = fields.iter().find(|field| field.name == name) else {
                self.findings
                    .push(Finding::at(field_pointer, Rule::UnknownField, name));
                continue;
            };
            if object.contains_key(name) {
                self.add_value(&field_pointer, Rule::DuplicateField, node, &field.shape);
                continue;
            }
            let value = self.value(node, &field.shape, &field_pointer);
            object.insert(name.clone(), value);
        }
        object
    }

    fn add(&mut self, pointer: &str, rule: Rule, node: &Node) {
        self.findings
            .push(Finding::at(pointer, rule, node.summary()));
    }

    fn add_value(&mut self, pointer: &str, rule: Rule, node: &Node, shape: &Shape) {
        match (shape, node) {
            (Shape::Secret(_), Node::Text(text)) => {
                let value = format!("(secret of {} characters)", text.chars().count());
                self.findings.push(Finding::at(pointer, rule, value));
            }
            _ if contains_secret(shape) => {
                self.findings.push(Finding::at(pointer, rule, "(secret)"));
            }
            _ => self.add(pointer, rule, node),
        }
    }
}

fn contains_secret(shape: &Shape) -> bool {
    match shape {
        Shape::Secret(_) => true,
        Shape::List(shape) => contains_secret(shape),
        Shape::Object(fields) | Shape::Choice(fields) => {
            fields.iter().any(|field| contains_secret(&field.shape))
        }
        _ => false,
    }
}

/// The broken rule, and the value to continue with if it is known.
type Violation = (Rule, Option<Value>);

fn scalar(node: &Node, shape: &Shape) -> Result<Value, Violation> {
    match (shape, node) {
        (Shape::Bool, Node::Bool(flag)) => Ok(Value::Bool(*flag)),
        (Shape::Integer(min, max), Node::Number(number)) => {
            let number = number.as_u64().ok_or((wrong_type(shape), None))?;
            check_range(number, *min, *max, u64::to_string)?;
            Ok(Value::from(number))
        }
        (Shape::Span(..) | Shape::Money, Node::Number(_)) => Err((wrong_unit(shape), None)),
        (_, Node::Text(text)) => string_value(text, shape),
        _ => Err((wrong_type(shape), None)),
    }
}

fn string_value(text: &str, shape: &Shape) -> Result<Value, Violation> {
    let recovered = || Some(Value::from(text));
    let require = |ok: bool, rule: Rule| if ok { Ok(()) } else { Err((rule, recovered())) };
    match shape {
        Shape::Name => check_name(text).map_err(|rule| (rule, recovered()))?,
        Shape::VersionRef => {
            let (model, version) = text.split_once('/').ok_or((wrong_type(shape), None))?;
            for name in [model, version] {
                check_name(name).map_err(|rule| (rule, None))?;
            }
        }
        Shape::KeyHash => {
            let is_hash = text.len() == HASH_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
            require(is_hash, Rule::KeyHash)?;
        }
        Shape::Secret(min) => {
            let rule = Rule::ShortSecret { min: *min };
            require(text.chars().count() >= *min, rule)?;
        }
        Shape::PathPrefix => require(is_path(text), Rule::PathPrefix)?,
        Shape::Address => {
            let address = text.parse::<SocketAddr>();
            address.map_err(|_not_an_address| (wrong_type(shape), None))?;
        }
        Shape::Span(min, max) => {
            let span = text.parse::<Millis>();
            let span = span.map_err(|_not_a_span| (wrong_unit(shape), None))?;
            check_range(span, *min, *max, Millis::to_string)?;
        }
        Shape::Money => {
            let amount = text.parse::<Micros>();
            amount.map_err(|_not_money| (wrong_unit(shape), None))?;
        }
        Shape::OneOf(allowed) => {
            if !allowed.contains(&text) {
                return Err((Rule::UnknownValue { allowed }, None));
            }
        }
        Shape::Text => {}
        _ => return Err((wrong_type(shape), None)),
    }
    Ok(Value::from(text))
}

fn check_range<T: Ord + Copy>(
    value: T,
    min: T,
    max: T,
    to_text: impl Fn(&T) -> String,
) -> Result<(), Violation> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    let rule = Rule::OutOfRange {
        min: to_text(&min),
        max: to_text(&max),
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
    let is_path_byte = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#' | b'"' | b'\\');
    text.starts_with('/') && text.bytes().all(is_path_byte)
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
        Shape::Integer(..) => "a whole number",
        Shape::Bool => "true or false",
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
        Shape::Name | Shape::Text | Shape::Secret(_) => Value::from(UNKNOWN_NAME),
        Shape::VersionRef => Value::from(format!("{UNKNOWN_NAME}/{UNKNOWN_NAME}")),
        Shape::KeyHash => Value::from("0".repeat(HASH_DIGITS)),
        Shape::PathPrefix => Value::from("/"),
        Shape::Address => Value::from("0.0.0.0:0"),
        Shape::Span(min, _) => Value::from(min.to_string()),
        Shape::Money => Value::from("0"),
        Shape::Integer(min, _) => Value::from(*min),
        Shape::Bool => Value::from(false),
        Shape::OneOf(allowed) => Value::from(allowed.first().copied().unwrap_or_default()),
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
