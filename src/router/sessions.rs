//! Which version group each recent session used.
//!
//! A roll-out must not switch the version of an ongoing session. Gateways assign sessions to a group by hash and
//! so agree on new ones, but some sessions are already ongoing when a roll-out starts; each gateway keeps those
//! that it has seen in their group.

use crate::units::Millis;

use super::rollout::Group;

/// Number of sessions above which expired ones are removed.
const PRUNE_ABOVE: usize = 1_024;

/// Maximum number of sessions; beyond it, new sessions are not recorded.
const MAX_SESSIONS: usize = 16 * 1_024;

#[derive(Debug, Clone, Copy)]
struct Seen {
    session: u64,
    last: Millis,
    group: Group,
}

/// Recent sessions, sorted by hash.
#[derive(Debug, Clone, Default)]
pub struct Sessions {
    seen: Vec<Seen>,
}

impl Sessions {
    /// Returns the group of a session whose last request was within `span`.
    #[must_use]
    pub fn group(&self, session: u64, now: Millis, span: Millis) -> Option<Group> {
        let at = self.find(session).ok()?;
        let seen = &self.seen[at];
        (now.since(seen.last) <= span).then_some(seen.group)
    }

    /// Records a request of a session; sessions without a request within `span` may be removed.
    pub fn record(&mut self, session: u64, group: Group, now: Millis, span: Millis) {
        if self.seen.len() > PRUNE_ABOVE {
            self.seen.retain(|s| now.since(s.last) <= span);
        }
        match self.find(session) {
            Ok(at) => {
                self.seen[at].last = now;
                self.seen[at].group = group;
            }
            Err(at) if self.seen.len() < MAX_SESSIONS => self.seen.insert(
                at,
                Seen {
                    session,
                    last: now,
                    group,
                },
            ),
            Err(_) => {}
        }
    }

    fn find(&self, session: u64) -> Result<usize, usize> {
        self.seen.binary_search_by_key(&session, |s| s.session)
    }
}
