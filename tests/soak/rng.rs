//! A seeded random number generator.

use std::time::Duration;

use fireflywind::router::mix;

/// A random number generator; one seed always gives the same sequence.
#[derive(Debug, Clone)]
pub struct Rng {
    state: u64,
}

impl Rng {
    /// Creates the generator of one part of the test, such as a client, for a seed.
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

    /// Returns `true` with a probability given in percent.
    pub const fn percent_chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Returns a random element of a slice.
    pub fn choose<'a, T>(&mut self, all: &'a [T]) -> &'a T {
        let at =
            usize::try_from(self.below(all.len() as u64)).expect("the index is below a length");
        &all[at]
    }

    /// Returns a random duration between two bounds in milliseconds.
    pub const fn duration_ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }
}
