//! Boundaries and ids of server-sent events.
//!
//! Only whole events are passed on: an upstream may break off in the middle of one, and the stream goes on
//! at another upstream after the last whole one.

use bytes::BytesMut;

/// Longest event, in bytes.
const MAX_EVENT: usize = 64 * 1024;

/// An event is longer than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub struct Events {
    held: BytesMut,
    scanned: usize,
    last_id: Option<u64>,
}

impl Events {
    /// Returns the buffer that takes the stream's bytes.
    pub const fn input(&mut self) -> &mut BytesMut {
        &mut self.held
    }

    /// Takes all whole events that have arrived; empty if there is none.
    ///
    /// # Errors
    /// If an event is too long.
    pub fn take(&mut self) -> Result<BytesMut, TooLong> {
        let mut end = 0;
        let mut at = self.scanned;
        while let Some(found) = self.held[at..].iter().position(|b| *b == b'\n') {
            let newline = at + found;
            at = newline + 1;
            if is_blank_line(&self.held, newline) {
                self.last_id = event_id(&self.held[end..at]).or(self.last_id);
                end = at;
            }
        }
        if self.held.len() - end > MAX_EVENT {
            return Err(TooLong);
        }
        self.scanned = at - end;
        Ok(self.held.split_to(end))
    }

    /// Returns the id of the last whole event.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Tells whether bytes of an unfinished event are held.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.held.is_empty()
    }

    /// Drops an unfinished event, whose upstream is lost.
    pub fn drop_partial(&mut self) {
        self.held.clear();
        self.scanned = 0;
    }

    /// Sets the id after which a client goes on with a stream.
    pub const fn resume_after(&mut self, id: Option<u64>) {
        self.last_id = id;
    }
}

/// Tells whether the line that ends at `newline` is empty.
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
