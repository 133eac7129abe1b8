//! Sets of request numbers, stored as sorted disjoint intervals.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A set of request numbers, stored as sorted intervals that neither overlap nor are adjacent.
///
/// The JSON form is a list of pairs; both ends are inclusive.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub struct Intervals(Vec<(u64, u64)>);

/// The pairs of a list are unsorted, overlap, are adjacent or contain the number 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidIntervals {
    /// Index of the first invalid pair.
    pub index: usize,
}

impl fmt::Display for InvalidIntervals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "interval {} is empty, contains 0, or overlaps or adjoins the one before",
            self.index
        )
    }
}

impl std::error::Error for InvalidIntervals {}

impl TryFrom<Vec<(u64, u64)>> for Intervals {
    type Error = InvalidIntervals;

    fn try_from(pairs: Vec<(u64, u64)>) -> Result<Self, Self::Error> {
        let mut previous_last = None;
        for (index, &(first, last)) in pairs.iter().enumerate() {
            // If adjacent intervals were allowed, equal sets could compare as different.
            let is_above = previous_last.is_none_or(|end: u64| first > end.saturating_add(1));
            if first == 0 || first > last || !is_above {
                return Err(InvalidIntervals { index });
            }
            previous_last = Some(last);
        }
        Ok(Self(pairs))
    }
}

impl From<Intervals> for Vec<(u64, u64)> {
    fn from(intervals: Intervals) -> Self {
        intervals.0
    }
}

impl Intervals {
    /// Returns the intervals; both ends are inclusive.
    #[must_use]
    pub fn pairs(&self) -> &[(u64, u64)] {
        &self.0
    }

    /// Returns the number of elements of the set.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0
            .iter()
            .fold(0, |sum, (first, last)| sum.saturating_add(last - first + 1))
    }

    /// Returns the greatest element, or 0 for an empty set.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.0.last().map_or(0, |(_, last)| *last)
    }

    /// Returns the N for which the set contains all numbers from 1 to N and not N + 1.
    #[must_use]
    pub fn prefix(&self) -> u64 {
        match self.0.first() {
            Some((1, last)) => *last,
            _ => 0,
        }
    }

    /// Returns whether the set contains the number.
    #[must_use]
    pub fn contains(&self, n: u64) -> bool {
        let index = self.0.partition_point(|(_, last)| *last < n);
        self.0.get(index).is_some_and(|(first, _)| *first <= n)
    }

    /// Returns the number of intervals that the set would have with the number added.
    #[must_use]
    pub fn len_with(&self, n: u64) -> usize {
        if self.contains(n) {
            return self.0.len();
        }
        let index = self.0.partition_point(|(_, last)| *last < n);
        let (joins_before, joins_after) = self.adjacent_sides(index, n);
        self.0.len() + 1 - usize::from(joins_before) - usize::from(joins_after)
    }

    /// Adds a number; returns whether it was added.
    ///
    /// The number 0 is not a valid request number and is never added.
    pub fn insert(&mut self, n: u64) -> bool {
        if n == 0 || self.contains(n) {
            return false;
        }
        let index = self.0.partition_point(|(_, last)| *last < n);
        match self.adjacent_sides(index, n) {
            (true, true) => {
                self.0[index - 1].1 = self.0[index].1;
                self.0.remove(index);
            }
            (true, false) => self.0[index - 1].1 = n,
            (false, true) => self.0[index].0 = n,
            (false, false) => self.0.insert(index, (n, n)),
        }
        true
    }

    /// Returns the numbers from 1 to `to` that the set does not contain.
    #[must_use]
    pub fn missing(&self, to: u64) -> Self {
        let mut gaps = Vec::new();
        let mut next = 1;
        for &(first, last) in self.0.iter().take_while(|(first, _)| *first <= to) {
            if first > next {
                gaps.push((next, first - 1));
            }
            next = last.saturating_add(1);
        }
        if next <= to && !self.contains(next) {
            gaps.push((next, to));
        }
        Self(gaps)
    }

    /// Returns whether `n` is adjacent to the interval before `index`, and to the interval at `index`.
    fn adjacent_sides(&self, index: usize, n: u64) -> (bool, bool) {
        let before = index.checked_sub(1).and_then(|i| self.0.get(i));
        let after = self.0.get(index);
        (
            before.is_some_and(|(_, last)| last + 1 == n),
            after.is_some_and(|(first, _)| n + 1 == *first),
        )
    }
}

impl FromIterator<u64> for Intervals {
    fn from_iter<I: IntoIterator<Item = u64>>(iter: I) -> Self {
        let mut set = Self::default();
        for n in iter {
            set.insert(n);
        }
        set
    }
}
