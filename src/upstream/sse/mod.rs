//! An incremental parser of server-sent events.

use std::mem;

#[cfg(test)]
mod tests;

/// Maximum size of an event that the parser accepts, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// An event of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// The event's type; empty for the default type.
    pub name: String,
    /// The lines of its data, joined with line feeds.
    pub data: String,
}

/// An event that is larger than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge;

#[derive(Debug, Default, PartialEq, Eq)]
enum Phase {
    /// No line was read yet; the first one may start with a byte order mark.
    #[default]
    Start,
    Open,
    Failed,
}

/// A parser that accepts the bytes of a stream split at any positions.
#[derive(Debug, Default)]
pub struct Parser {
    phase: Phase,
    line: Vec<u8>,
    name: String,
    data: Option<String>,
    /// Whether the last byte was a carriage return; a line feed after it belongs to the same line ending.
    after_carriage_return: bool,
}

impl Parser {
    /// Parses the next bytes and returns the events that they complete.
    ///
    /// # Errors
    /// [`TooLarge`] for an event over the limit, and for all bytes after it.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Event>, TooLarge> {
        let mut events = Vec::new();
        for byte in bytes {
            if self.phase == Phase::Failed {
                return Err(TooLarge);
            }
            self.take(*byte, &mut events);
            if self.buffered_len() > MAX_EVENT_BYTES {
                *self = Self {
                    phase: Phase::Failed,
                    ..Self::default()
                };
            }
        }
        match self.phase {
            Phase::Failed => Err(TooLarge),
            Phase::Start | Phase::Open => Ok(events),
        }
    }

    /// Returns the number of bytes that the parser buffers.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.line.len() + self.name.len() + self.data.as_ref().map_or(0, String::len)
    }

    fn take(&mut self, byte: u8, events: &mut Vec<Event>) {
        let follows_carriage_return = mem::replace(&mut self.after_carriage_return, byte == b'\r');
        match byte {
            b'\n' if follows_carriage_return => {}
            b'\n' | b'\r' => self.end_line(events),
            _ => self.line.push(byte),
        }
    }

    fn end_line(&mut self, events: &mut Vec<Event>) {
        let line = mem::take(&mut self.line);
        let line = String::from_utf8_lossy(&line);
        let line = match mem::replace(&mut self.phase, Phase::Open) {
            Phase::Start => line.strip_prefix('\u{feff}').unwrap_or(&line),
            Phase::Open | Phase::Failed => &line,
        };
        if line.is_empty() {
            let name = mem::take(&mut self.name);
            events.extend(self.data.take().map(|data| Event { name, data }));
            return;
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => value.clone_into(&mut self.name),
            "data" => self.add_data(value),
            // Comments and the fields for reconnection are ignored.
            _ => {}
        }
    }

    fn add_data(&mut self, value: &str) {
        match &mut self.data {
            Some(data) => {
                data.push('\n');
                data.push_str(value);
            }
            empty => *empty = Some(value.to_owned()),
        }
    }
}
