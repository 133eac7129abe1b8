//! The latest records of a process.

use std::collections::VecDeque;

use bytes::Bytes;

use super::Record;
use crate::ids::RequestId;

/// A bounded ring of records; holds their JSON, which is smaller than the records.
#[derive(Debug)]
pub struct Ring {
    max_bytes: usize,
    bytes: usize,
    records: VecDeque<(RequestId, Bytes)>,
}

impl Ring {
    /// Makes a ring that holds at most `max_bytes` of records.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            records: VecDeque::new(),
        }
    }

    /// Adds a record and returns its JSON; drops the oldest records over the bound.
    ///
    /// # Panics
    /// Never: every record has a JSON form.
    pub fn push(&mut self, record: &Record) -> Bytes {
        let json = serde_json::to_vec(record).expect("a record has a JSON form");
        let json = Bytes::from(json);
        self.bytes += json.len();
        self.records.push_back((record.request, json.clone()));
        while self.bytes > self.max_bytes
            && let Some((_, dropped)) = self.records.pop_front()
        {
            self.bytes -= dropped.len();
        }
        json
    }

    /// Finds the JSON of a request's record.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<Bytes> {
        let found = self.records.iter().rev().find(|(id, _)| *id == request);
        found.map(|(_, json)| json.clone())
    }

    /// Returns all records as JSON, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.records.iter().map(|(_, json)| json)
    }
}
