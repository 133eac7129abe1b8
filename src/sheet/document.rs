//! A JSON parser that keeps duplicate field names and limits the length and depth of documents.

use std::fmt;

use serde::de::{self, DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::error::Category;
use serde_json::{Number, Value};

use super::finding::{Finding, Place, Rule};

/// Largest document, in bytes; the same as the key-value service's limit on a value.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Deepest nesting of lists and objects; a sheet uses 6 levels.
pub const MAX_DEPTH: usize = 16;

/// A JSON value whose objects keep all fields in order, duplicates included.
#[derive(Debug, Clone, PartialEq)]
pub enum Node {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number.
    Number(Number),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// An object.
    Object(Vec<(String, Node)>),
}

impl Node {
    /// Describes the value on one line for a finding; the contents of objects and lists are left out.
    #[must_use]
    pub fn summary(&self) -> String {
        match self {
            Self::Null => "null".to_owned(),
            Self::Bool(flag) => flag.to_string(),
            Self::Number(number) => number.to_string(),
            Self::Text(text) => Value::from(text.as_str()).to_string(),
            Self::List(items) => format!("list of {}", items.len()),
            Self::Object(fields) => format!("object of {} fields", fields.len()),
        }
    }
}

/// Parses a document.
///
/// # Errors
/// A finding if the text is too long, not valid JSON or nested too deeply.
pub fn parse(text: &[u8]) -> Result<Node, Finding> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let rule = Rule::TextTooLong {
            max: MAX_DOCUMENT_BYTES,
        };
        return Err(Finding::at("", rule, format!("{} bytes", text.len())));
    }
    let mut de = serde_json::Deserializer::from_slice(text);
    let parsed = Seed { depth: 0 }.deserialize(&mut de);
    parsed
        .and_then(|node| de.end().map(|()| node))
        .map_err(|error| syntax_finding(&error, text))
}

fn syntax_finding(error: &serde_json::Error, text: &[u8]) -> Finding {
    let rule = match error.classify() {
        Category::Eof => Rule::Truncated,
        // The visitor accepts every JSON value, so an error of this category comes from the depth limit.
        Category::Data => Rule::TooDeep { max: MAX_DEPTH },
        Category::Syntax | Category::Io => Rule::Syntax {
            reason: parser_message(error),
        },
    };
    let line = text
        .split(|byte| *byte == b'\n')
        .nth(error.line().saturating_sub(1))
        .unwrap_or_default();
    let mut finding = Finding::at("", rule, String::from_utf8_lossy(line).trim());
    finding.place = Place::Text {
        line: error.line(),
        column: error.column(),
    };
    finding
}

/// Returns the parser's message without the position, which the finding's place contains.
fn parser_message(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let end = text.rfind(" at line ").unwrap_or(text.len());
    text[..end].to_owned()
}

#[derive(Clone, Copy)]
struct Seed {
    depth: usize,
}

impl Seed {
    fn nested<E: de::Error>(self) -> Result<Self, E> {
        if self.depth >= MAX_DEPTH {
            return Err(E::custom("nested too deep"));
        }
        Ok(Self {
            depth: self.depth + 1,
        })
    }
}

impl<'de> DeserializeSeed<'de> for Seed {
    type Value = Node;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seed {
    type Value = Node;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E: de::Error>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E: de::Error>(self, v: bool) -> Result<Node, E> {
        Ok(Node::Bool(v))
    }

    fn visit_u64<E: de::Error>(self, v: u64) -> Result<Node, E> {
        Ok(Node::Number(v.into()))
    }

    fn visit_i64<E: de::Error>(self, v: i64) -> Result<Node, E> {
        Ok(Node::Number(v.into()))
    }

    fn visit_f64<E: de::Error>(self, v: f64) -> Result<Node, E> {
        Ok(Number::from_f64(v).map_or(Node::Null, Node::Number))
    }

    fn visit_str<E: de::Error>(self, v: &str) -> Result<Node, E> {
        Ok(Node::Text(v.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let inner = self.nested()?;
        let mut items = Vec::new();
        while let Some(item) = seq.next_element_seed(inner)? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let inner = self.nested()?;
        let mut fields = Vec::new();
        while let Some(name) = map.next_key::<String>()? {
            fields.push((name, map.next_value_seed(inner)?));
        }
        Ok(Node::Object(fields))
    }
}
