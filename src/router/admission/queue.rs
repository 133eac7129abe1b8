//! Order of the requests that wait for admission at one gateway: start-time fair queueing within each priority.
//!
//! The load: one account sends many times as much as usual, or repeats its requests at once. Each account has a line of
//! its own, and a request's tag is the work that its account has been given before. Requests of other accounts pass
//! those of the busy one, whose surplus waits for the longest.

use std::rc::Rc;

use crate::units::Millis;

use super::Applicant;

/// Place of a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    key: Key,
    /// Work of the request, in prompt tokens of the largest model.
    pub work: u64,
    /// When the request is sent at the latest.
    pub latest: Millis,
}

/// Sort key of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    priority: u8,
    start_tag: u64,
    ticket: u64,
}

/// Line of one client account.
#[derive(Debug, Clone)]
struct Line {
    account: Option<Rc<str>>,
    waiting: usize,
    finish_tag: u64,
}

/// Requests that wait for admission.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    /// Sorted.
    places: Vec<Key>,
    /// Lines of the accounts with a waiting request, sorted by account.
    lines: Vec<Line>,
    /// Accounts of the tickets in `places`, sorted by ticket.
    accounts: Vec<(u64, Option<Rc<str>>)>,
    /// Start tag of the request that was sent last.
    virtual_time: u64,
    next_ticket: u64,
}

impl Queue {
    /// Adds a request, to be sent at `latest`.
    pub fn enter(&mut self, applicant: &Applicant, latest: Millis) -> Place {
        let account = applicant.account.clone();
        let found = (self.lines).binary_search_by(|line| line.account.cmp(&account));
        let at = found.unwrap_or_else(|at| {
            let line = Line {
                account: account.clone(),
                waiting: 0,
                finish_tag: 0,
            };
            self.lines.insert(at, line);
            at
        });
        let line = &mut self.lines[at];
        let start_tag = line.finish_tag.max(self.virtual_time);
        line.finish_tag = start_tag.saturating_add(applicant.work);
        line.waiting += 1;
        let key = Key {
            priority: applicant.priority,
            start_tag,
            ticket: self.next_ticket,
        };
        self.next_ticket += 1;
        self.accounts.push((key.ticket, account));
        let at = self.places.partition_point(|other| *other < key);
        self.places.insert(at, key);
        Place {
            key,
            work: applicant.work,
            latest,
        }
    }

    /// Returns whether the request is the next one to be sent.
    #[must_use]
    pub fn is_first(&self, place: &Place) -> bool {
        self.places.first() == Some(&place.key)
    }

    /// Removes a request; the line of an account without waiting requests is forgotten.
    pub fn leave(&mut self, place: &Place, is_sent: bool) {
        let Ok(at) = self.places.binary_search(&place.key) else {
            return;
        };
        self.places.remove(at);
        if is_sent {
            self.virtual_time = self.virtual_time.max(place.key.start_tag);
        }
        let ticket = place.key.ticket;
        let Ok(at) = (self.accounts).binary_search_by_key(&ticket, |(ticket, _)| *ticket) else {
            return;
        };
        let (_, account) = self.accounts.remove(at);
        if let Ok(at) = (self.lines).binary_search_by(|line| line.account.cmp(&account)) {
            self.lines[at].waiting -= 1;
            if self.lines[at].waiting == 0 {
                self.lines.remove(at);
            }
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
