//! Boundaries and ids of server-sent events.
//!
//! Only complete events are forwarded: an upstream may fail in the middle of one, and the stream is then
//! resumed at another upstream after the last complete event.

use bytes::BytesMut;

/// Maximum length of an event.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Error of an event that is longer than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Splits a byte stream after its complete events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    buf: BytesMut,
    scanned: usize,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// Returns the buffer to which the bytes of the stream are appended.
    pub const fn input(&mut self) -> &mut BytesMut {
        &mut self.buf
    }

    /// Removes all complete events from the buffer and returns them; empty if there is none.
    ///
    /// # Errors
    /// If an incomplete event is too long.
    pub fn take(&mut self) -> Result<BytesMut, EventTooLong> {
        let mut end = 0;
        let mut at = self.scanned;
        while let Some(found) = self.buf[at..].iter().position(|b| *b == b'\n') {
            let newline = at + found;
            at = newline + 1;
            if is_blank_line(&self.buf, newline) {
                self.last_id = event_id(&self.buf[end..at]).or(self.last_id);
                end = at;
            }
        }
        if self.buf.len() - end > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.scanned = at - end;
        Ok(self.buf.split_to(end))
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Discards an incomplete event after its upstream has failed.
    pub fn drop_partial(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    /// Sets the id of the event after which the client resumes a stream.
    pub const fn resume_after(&mut self, id: Option<u64>) {
        self.last_id = id;
    }
}

/// Returns whether the line that ends at `newline` is empty.
fn is_blank_line(buf: &[u8], newline: usize) -> bool {
    match newline.checked_sub(1).map(|at| buf[at]) {
        None | Some(b'\n') => true,
        Some(b'\r') => newline < 2 || buf[newline - 2] == b'\n',
        Some(_) => false,
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|b| *b == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
