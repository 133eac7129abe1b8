//! Bounds on the bytes that a gateway holds for others, over all connections together.
//!
//! A share of up to [`BASE_BYTES`] is always granted, so that large messages of some cannot keep small ones of others out;
//! the number of connections bounds the sum of these.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// Largest share that is granted however much is held.
pub const BASE_BYTES: usize = 4 * 1024;

/// Shares above this size may take only a part of the memory.
const LARGE_BYTES: usize = 64 * 1024;

/// Part of the memory that large shares may take, in percent.
const LARGE_PERCENT: usize = 75;

/// Error of a share that does not fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryFull;

impl fmt::Display for MemoryFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("memory for messages is full")
    }
}

impl std::error::Error for MemoryFull {}

impl From<MemoryFull> for std::io::Error {
    fn from(error: MemoryFull) -> Self {
        Self::new(std::io::ErrorKind::OutOfMemory, error)
    }
}

/// Memory that many connections share.
#[derive(Debug)]
pub struct Memory {
    limit: Cell<usize>,
    held: Cell<usize>,
}

impl Memory {
    /// Creates a memory of `limit` bytes of which nothing is held.
    #[must_use]
    pub fn open(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit: Cell::new(limit),
            held: Cell::new(0),
        })
    }

    /// Changes the limit; shares that are held already stay.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Starts a share of nothing.
    #[must_use]
    pub fn share(self: &Rc<Self>) -> Share {
        Share {
            memory: Rc::clone(self),
            bytes: 0,
        }
    }
}

/// Bytes that one owner holds; released when dropped.
#[derive(Debug)]
pub struct Share {
    memory: Rc<Memory>,
    bytes: usize,
}

impl Share {
    /// Returns the memory that this is a share of.
    #[must_use]
    pub const fn memory(&self) -> &Rc<Memory> {
        &self.memory
    }

    /// Changes the share to `bytes`.
    ///
    /// # Errors
    /// If it would become larger than fits; the share is unchanged then.
    pub fn set(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        let Memory { limit, held } = &*self.memory;
        let all = held.get() - self.bytes + bytes;
        let limit = if bytes > LARGE_BYTES {
            limit.get() / 100 * LARGE_PERCENT
        } else {
            limit.get()
        };
        if bytes > self.bytes && bytes > BASE_BYTES && all > limit {
            return Err(MemoryFull);
        }
        held.set(all);
        self.bytes = bytes;
        Ok(())
    }
}

impl Share {
    /// Reduces the share to `bytes`, if it is larger.
    pub fn shrink(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.memory.held.update(|held| held - released);
        self.bytes -= released;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.held.update(|held| held - self.bytes);
    }
}
