//! Findings: the validation errors of a document with their positions.

use std::fmt;

use serde_json::Value;

/// Length, in characters, after which a finding truncates the offending value.
const MAX_VALUE_CHARS: usize = 80;

/// Position of a finding in a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// A JSON pointer (RFC 6901); the empty pointer is the whole document.
    Pointer(String),
    /// A position in text that is not valid JSON, counted from 1.
    Text {
        /// The line.
        line: usize,
        /// The column.
        column: usize,
    },
}

impl Place {
    /// Returns whether this place is `other` or lies below it.
    #[must_use]
    pub fn is_within(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Pointer(inner), Self::Pointer(outer)) => inner
                .strip_prefix(outer.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/')),
            _ => self == other,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pointer(pointer) if pointer.is_empty() => f.write_str("document"),
            Self::Pointer(pointer) => f.write_str(pointer),
            Self::Text { line, column } => write!(f, "line {line}, column {column}"),
        }
    }
}

/// Kind of entry that a reference names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryKind {
    /// A version of a model.
    Version,
    /// A cascade.
    Cascade,
    /// A request class.
    Class,
    /// A plain service.
    Service,
}

impl fmt::Display for EntryKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Version => "version",
            Self::Cascade => "cascade",
            Self::Class => "class",
            Self::Service => "service",
        })
    }
}

/// The rule that a document breaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rule {
    /// The text is longer than `max` bytes.
    TextTooLong {
        /// The limit, in bytes.
        max: usize,
    },
    /// The text ends before the document does.
    Truncated,
    /// The text is not JSON.
    Syntax {
        /// The JSON parser's message.
        reason: String,
    },
    /// Lists and objects are nested more than `max` levels deep.
    TooDeep {
        /// The limit.
        max: usize,
    },
    /// A field name appears twice in one object.
    DuplicateField,
    /// A list has two entries of the same name.
    Duplicate {
        /// Pointer to the first entry.
        first: String,
    },
    /// The object has a field that its schema does not define.
    UnknownField,
    /// A required field is absent.
    MissingField,
    /// The value has the wrong type or form.
    WrongType {
        /// The expected type or form.
        expected: &'static str,
    },
    /// The value is not one of the allowed values.
    UnknownValue {
        /// The allowed values.
        allowed: &'static [&'static str],
    },
    /// The value has no unit or the wrong one.
    WrongUnit {
        /// The expected type or form.
        expected: &'static str,
    },
    /// The value is outside its range.
    OutOfRange {
        /// The smallest value.
        min: String,
        /// The largest value.
        max: String,
    },
    /// A name is empty.
    EmptyName,
    /// A name is longer than `max` bytes.
    NameTooLong {
        /// The limit, in bytes.
        max: usize,
    },
    /// A name contains a character other than letters, digits, `-`, `_` and `.`.
    NameCharacter,
    /// A key hash is not 64 hexadecimal digits.
    KeyHash,
    /// Two accounts have the same key hash.
    SharedKeyHash {
        /// Pointer to the first entry.
        first: String,
    },
    /// A reference to something that does not exist.
    Dangling {
        /// The kind of entry that the reference should name.
        kind: EntryKind,
    },
    /// A cascade has no step.
    EmptyCascade,
    /// A cascade has the same version in two steps.
    RepeatedStep {
        /// Pointer to the first step with the version.
        first: String,
    },
    /// A cascade has a withdrawn version.
    WithdrawnStep,
    /// The shares of the roll-outs that replace one stable version add up to more than 1,000 permille.
    ShareSum {
        /// The sum, in permille.
        sum: u32,
    },
    /// A roll-out replaces its own version.
    RolloutOfItself,
    /// A roll-out replaces a withdrawn version.
    RolloutOfWithdrawn,
    /// Roll-outs replace each other in a cycle.
    RolloutCycle,
    /// An account may use a version that no upstream serves.
    NotServed,
    /// No upstream runs a plain service.
    NoUpstream,
    /// An account has a limit for a class but may use no step of its cascade.
    NoUsableStep,
    /// A path prefix does not start with `/` or contains a character that is not valid in a path.
    PathPrefix,
    /// Two services have the same path prefix.
    SharedPrefix {
        /// Pointer to the first entry.
        first: String,
    },
    /// Two upstreams, or two listeners of a process, have the same address.
    SharedAddress {
        /// Pointer to the first entry.
        first: String,
    },
    /// The path prefix of a price is not within that of its service.
    PriceOutsideService {
        /// The service's path prefix.
        prefix: String,
    },
    /// A secret is too short.
    ShortSecret {
        /// The limit, in characters.
        min: usize,
    },
    /// A list that must not be empty has no entry.
    EmptyList,
    /// A file to which a setting refers cannot be read.
    Unreadable {
        /// The operating system's message.
        reason: String,
    },
    /// Two fields are mutually exclusive.
    MutuallyExclusive {
        /// The other field.
        other: &'static str,
    },
}

impl Rule {
    /// Returns whether the value at the finding's place is unknown because of the finding.
    ///
    /// Checks of references and sums skip such values, so that one error is not reported twice.
    #[must_use]
    pub const fn makes_value_unknown(&self) -> bool {
        !matches!(
            self,
            Self::OutOfRange { .. }
                | Self::EmptyName
                | Self::NameTooLong { .. }
                | Self::NameCharacter
                | Self::UnknownField
                | Self::KeyHash
        )
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TextTooLong { max } => write!(f, "text is longer than {max} bytes"),
            Self::Truncated => f.write_str("text ends inside the document"),
            Self::Syntax { reason } => write!(f, "not valid JSON ({reason})"),
            Self::TooDeep { max } => write!(f, "nested more than {max} deep"),
            Self::DuplicateField => f.write_str("field appears twice"),
            Self::Duplicate { first } => write!(f, "already listed at {first}"),
            Self::UnknownField => f.write_str("unknown field"),
            Self::MissingField => f.write_str("required field is missing"),
            Self::WrongType { expected } => write!(f, "must be {expected}"),
            Self::UnknownValue { allowed } => write!(f, "must be one of {}", allowed.join(", ")),
            Self::WrongUnit { expected } => write!(f, "must have a unit, {expected}"),
            Self::OutOfRange { min, max } => write!(f, "must be from {min} to {max}"),
            Self::EmptyName => f.write_str("name is empty"),
            Self::NameTooLong { max } => write!(f, "name is longer than {max} bytes"),
            Self::NameCharacter => {
                f.write_str("name may hold only letters, digits, '-', '_' and '.'")
            }
            Self::KeyHash => f.write_str("must be a SHA-256 of 64 hexadecimal digits"),
            Self::SharedKeyHash { first } => write!(f, "key hash is already used at {first}"),
            Self::Dangling { kind } => write!(f, "{kind} does not exist"),
            Self::EmptyCascade => f.write_str("cascade has no step"),
            Self::RepeatedStep { first } => write!(f, "cascade already has this step at {first}"),
            Self::WithdrawnStep => f.write_str("cascade has a withdrawn version"),
            Self::ShareSum { sum } => write!(
                f,
                "rollouts of one stable version have {sum} permille together, over 1000"
            ),
            Self::RolloutOfItself => f.write_str("rollout replaces its own version"),
            Self::RolloutOfWithdrawn => f.write_str("rollout replaces a withdrawn version"),
            Self::RolloutCycle => f.write_str("rollouts replace each other in a cycle"),
            Self::NotServed => f.write_str("no upstream serves the version"),
            Self::NoUpstream => f.write_str("no upstream runs the service"),
            Self::NoUsableStep => {
                f.write_str("account may use no step of the cascade of this class")
            }
            Self::PathPrefix => f.write_str("must be a path that starts with '/'"),
            Self::SharedPrefix { first } => write!(f, "path prefix is already used at {first}"),
            Self::SharedAddress { first } => write!(f, "address is already used at {first}"),
            Self::PriceOutsideService { prefix } => {
                write!(f, "price is outside the service's path prefix {prefix}")
            }
            Self::ShortSecret { min } => write!(f, "must have at least {min} characters"),
            Self::EmptyList => f.write_str("must have at least one entry"),
            Self::Unreadable { reason } => write!(f, "file cannot be read ({reason})"),
            Self::MutuallyExclusive { other } => write!(f, "cannot be given together with {other}"),
        }
    }
}

/// One validation error of a document, with its position and the offending value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Position of the error.
    pub place: Place,
    /// The rule that is broken.
    pub rule: Rule,
    /// The offending value, truncated; secrets are left out.
    pub value: String,
}

impl Finding {
    /// Creates a finding at a JSON pointer.
    #[must_use]
    pub fn at(pointer: impl Into<String>, rule: Rule, value: impl fmt::Display) -> Self {
        Self {
            place: Place::Pointer(pointer.into()),
            rule,
            value: truncate(&value.to_string()),
        }
    }

    /// Returns the finding as JSON, for programs.
    #[must_use]
    pub fn to_json(&self) -> Value {
        serde_json::json!({
            "place": self.place.to_string(),
            "rule": self.rule.to_string(),
            "value": self.value,
        })
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.place, self.rule, self.value)
    }
}

/// Appends one segment to a JSON pointer.
#[must_use]
pub fn join(pointer: &str, segment: impl fmt::Display) -> String {
    let segment = segment.to_string().replace('~', "~0").replace('/', "~1");
    format!("{pointer}/{segment}")
}

/// Truncates the value and escapes control characters, so that a finding fits on one line.
fn truncate(value: &str) -> String {
    let mut truncated = String::new();
    for (index, c) in value.chars().enumerate() {
        if index == MAX_VALUE_CHARS {
            truncated.push_str("...");
            break;
        }
        if c.is_control() {
            truncated.extend(c.escape_default());
        } else {
            truncated.push(c);
        }
    }
    truncated
}
