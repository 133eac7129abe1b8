//! Bounded buffer of a process's most recent records.

use std::collections::VecDeque;

use bytes::Bytes;

use super::Record;
use crate::ids::RequestId;

/// A bounded buffer of the most recent records; stores their JSON, which is smaller than the records.
#[derive(Debug)]
pub struct Ring {
    max_bytes: usize,
    bytes: usize,
    records: VecDeque<(RequestId, Bytes)>,
}

impl Ring {
    /// Creates a ring that holds at most `max_bytes` of JSON.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            records: VecDeque::new(),
        }
    }

    /// Adds a record and returns its JSON; evicts the oldest records when the limit is exceeded.
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

    /// Returns the JSON of the latest record of a request.
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
