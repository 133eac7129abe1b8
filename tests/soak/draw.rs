//! Random numbers of a seed.

use std::time::Duration;

use fireflywind::router::mix;

/// A sequence of random numbers.
#[derive(Debug, Clone)]
pub struct Draw {
    state: u64,
}

impl Draw {
    /// Starts the sequence of a seed and a part of the test.
    pub const fn new(seed: u64, part: u64) -> Self {
        Self {
            state: mix(seed ^ mix(part)),
        }
    }

    /// Returns the next number.
    pub const fn next(&mut self) -> u64 {
        self.state = mix(self.state);
        self.state
    }

    /// Returns a number below `end`.
    pub const fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }

    /// Tells whether an event of this chance, in percent, happens.
    pub const fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Returns an element.
    pub fn pick<'a, T>(&mut self, all: &'a [T]) -> &'a T {
        let at = usize::try_from(self.below(all.len() as u64)).expect("it is below a length");
        &all[at]
    }

    /// Returns a time between two bounds, in milliseconds.
    pub const fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }
}
