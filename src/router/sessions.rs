//! Which version each recent session used.
//!
//! A roll-out must not move a session in its middle. Gateways agree on a session's side by its hash, but
//! at the start of a roll-out some sessions are under way; a gateway keeps those that it has seen.

use crate::units::Millis;

use super::rollout::Group;

/// Sessions after which old ones are dropped.
const PRUNE_ABOVE: usize = 1_024;

/// Sessions that are kept at most; the newest ones get no entry beyond that.
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
    /// Returns the side of a session that was seen within `span`.
    #[must_use]
    pub fn group(&self, session: u64, now: Millis, span: Millis) -> Option<Group> {
        let at = self.find(session).ok()?;
        let seen = &self.seen[at];
        (now.since(seen.last) <= span).then_some(seen.group)
    }

    /// Records a request of a session.
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
