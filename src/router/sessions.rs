//! Which version group each recent session used.
//!
//! A roll-out must not switch the version of an ongoing session. Gateways assign sessions to a group by hash and
//! so agree on new ones, but some sessions are already ongoing when a roll-out starts; each gateway keeps those
//! that it has served in their group.

use crate::units::Millis;

use super::rollout::Group;

/// Number of sessions above which expired ones are removed.
const PRUNE_THRESHOLD_SESSIONS: usize = 1_024;

/// Maximum number of sessions; beyond it, new sessions are not recorded.
const MAX_SESSIONS: usize = 16 * 1_024;

#[derive(Debug, Clone, Copy)]
struct Entry {
    session: u64,
    last_request: Millis,
    group: Group,
}

/// Recent sessions, sorted by hash.
#[derive(Debug, Clone, Default)]
pub struct Sessions {
    entries: Vec<Entry>,
}

impl Sessions {
    /// Returns the group of a session whose last request was within `idle_timeout`.
    #[must_use]
    pub fn group(&self, session: u64, now: Millis, idle_timeout: Millis) -> Option<Group> {
        let at = self.find(session).ok()?;
        let entry = &self.entries[at];
        (now.since(entry.last_request) <= idle_timeout).then_some(entry.group)
    }

    /// Records a request of a session; sessions without a request within `idle_timeout` may be removed.
    pub fn record(&mut self, session: u64, group: Group, now: Millis, idle_timeout: Millis) {
        if self.entries.len() > PRUNE_THRESHOLD_SESSIONS {
            self.entries
                .retain(|s| now.since(s.last_request) <= idle_timeout);
        }
        match self.find(session) {
            Ok(at) => {
                self.entries[at].last_request = now;
                self.entries[at].group = group;
            }
            Err(at) if self.entries.len() < MAX_SESSIONS => self.entries.insert(
                at,
                Entry {
                    session,
                    last_request: now,
                    group,
                },
            ),
            Err(_) => {}
        }
    }

    fn find(&self, session: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&session, |s| s.session)
    }
}
