//! Which history of the store a gateway's knowledge belongs to.
//!
//! A store that is restored from a copy goes on with another history: what was written since the copy is gone, and revisions
//! are given out again. Each answer names the era of the history that it comes from. Revisions, leases and conditions of writes
//! are only compared within one era; everything that was learned in another one has to be read again.
//!
//! A new history starts with the older copy. What its writers had written since is written again within [`SETTLE_TIME`]; until
//! then the history is not settled, and something that is missing or older in it proves nothing.

use std::fmt;

use crate::units::Millis;

/// Time after the first answer of a new era in which operators and upstreams write again what the copy lacks. The platform
/// names about two seconds after the store's return.
pub const SETTLE_TIME: Millis = Millis(2_000);

/// Time over which gateways that see a new era spread their listings, for each gateway: with four calls a listing, together they make
/// 1,000 calls a second on average. From 425 gateways on, [`MAX_LISTING_SPREAD`] is reached and the rate grows with them.
const LISTING_SPREAD_PER_GATEWAY: Millis = Millis(4);

/// Upper bound of that spread; the shortest time in which a gateway must have caught up is 3 s.
const MAX_LISTING_SPREAD: Millis = Millis(1_700);

/// Number of a history of the store.
///
/// The store raises it by one with each restore. Stores that do not name it have a single era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

impl Era {
    /// The era of a store that does not name any.
    pub const UNNAMED: Self = Self(0);
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The next call that reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Read {
    /// List all items.
    List,
    /// Wait for changes after a revision of an era.
    Watch {
        /// Era that the revision belongs to.
        era: Era,
        /// Last revision that is known.
        after: u64,
    },
}

/// What the era of an answer tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sighting {
    /// The answer comes from the history that is known as the present one.
    Present,
    /// The store has another history than before, or answers for the first time.
    New {
        /// The era before.
        replaces: Option<Era>,
        /// Last revision that was known of it, if any.
        revision: Option<u64>,
    },
    /// The answer comes from a history that has been replaced since the call was sent.
    Late,
}

/// How far the present history can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Its items have not been listed; nothing is known of its records.
    Unread,
    /// Its items are known, but it may lack what was confirmed before.
    Unsettled,
    /// It has all that was confirmed.
    Settled,
}

/// Where a configuration was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownConfig {
    era: Era,
    version: u64,
    revision: u64,
}

/// The store's present history, as far as it is known. Times are of the gateway's clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct History {
    era: Option<Era>,
    /// When the first answer of the era arrived.
    learned_at: Millis,
    /// When an answer last came from a history whose items were known.
    heard_at: Millis,
    /// Last revision that was read; `None` if the era's items have to be listed.
    revision: Option<u64>,
    /// Whether the era's items have been listed.
    is_read: bool,
    /// Era that some gateway has recorded as settled, and the revision of that record.
    settled_record: Option<(Era, u64)>,
    /// The configuration that was read last.
    config: Option<KnownConfig>,
    /// Whether the operator has written the configuration in the present history.
    is_config_written: bool,
}

impl History {
    /// Takes in the era of an answer to a call that was sent at `sent_at`.
    ///
    /// An answer to a call from before the present era was known may be late. A call that was sent afterwards is answered by
    /// the present history, even if its number is lower.
    pub fn observe(&mut self, era: Era, sent_at: Millis, now: Millis) -> Sighting {
        match self.era {
            Some(known) if known == era => {
                if self.is_read {
                    self.heard_at = now;
                }
                return Sighting::Present;
            }
            Some(known) if era < known && sent_at <= self.learned_at => return Sighting::Late,
            _ => {}
        }
        let replaces = self.era.replace(era);
        self.learned_at = now;
        let revision = self.revision.take();
        self.is_read = false;
        self.is_config_written = false;
        Sighting::New { replaces, revision }
    }

    /// Returns the next call that reads the store.
    #[must_use]
    pub const fn next_read(&self) -> Read {
        match (self.era, self.revision) {
            (Some(era), Some(after)) => Read::Watch { era, after },
            _ => Read::List,
        }
    }

    /// Records a read's answer with this era and revision; returns whether its items belong to the present history and follow
    /// what is known of it.
    ///
    /// The era must have been taken in by [`Self::observe`].
    pub fn accept(&mut self, read: Read, era: Era, revision: u64) -> bool {
        if self.era != Some(era) {
            return false;
        }
        match read {
            Read::List => {
                self.revision = Some(revision);
                self.is_read = true;
            }
            Read::Watch { era: asked, after } => {
                if asked != era || self.revision != Some(after) {
                    return false;
                }
                self.revision = Some(revision.max(after));
            }
        }
        true
    }

    /// Forgets the revision, because the store no longer has the changes since then; returns it.
    pub const fn forget_revision(&mut self) -> Option<u64> {
        self.revision.take()
    }

    /// Returns the era of the present history, once there was an answer.
    #[must_use]
    pub const fn era(&self) -> Option<Era> {
        self.era
    }

    /// Returns when an answer last came from the present history after its items were listed or, until then, from the history
    /// before.
    #[must_use]
    pub const fn heard_at(&self) -> Millis {
        self.heard_at
    }

    /// Returns whether nothing of the present history has been read yet.
    #[must_use]
    pub const fn is_unread(&self) -> bool {
        !self.is_read
    }

    /// Returns whether a write that was decided in an era counts: its condition and what it wrote belong to the present history.
    #[must_use]
    pub fn is_present(&self, era: Option<Era>) -> bool {
        era.is_some() && self.era == era
    }

    /// Takes in the record, with its revision, that some gateway has found an era to be settled.
    pub const fn record_settled(&mut self, era: Era, revision: u64) {
        self.settled_record = Some((era, revision));
    }

    /// Returns the revision of the record that the present era is settled.
    ///
    /// As a further condition of a write it keeps a gateway that has not heard of a restore from meeting its condition by
    /// chance: the next settled era replaces the record.
    #[must_use]
    pub fn settled_revision(&self) -> Option<u64> {
        let (era, revision) = self.settled_record?;
        (self.era == Some(era)).then_some(revision)
    }

    /// Returns whether the present history is settled and not recorded as such.
    #[must_use]
    pub fn needs_settled_record(&self, now: Millis) -> bool {
        self.era != Some(Era::UNNAMED) && self.is_settled(now) && !self.is_recorded_as_settled()
    }

    fn is_recorded_as_settled(&self) -> bool {
        self.settled_revision().is_some()
    }

    /// Records a configuration that was read from the present history, from a listing or as a change.
    ///
    /// Operators write again what a restore has lost. A change is such a write, and so is a listed configuration whose version
    /// had another revision in the history that the copy was made of.
    pub fn record_config(&mut self, version: u64, revision: u64, is_listed: bool) {
        let Some(era) = self.era else {
            return;
        };
        let is_rewritten = self.config.is_some_and(|known| {
            known.era.0 + 1 == era.0 && known.version == version && known.revision != revision
        });
        self.is_config_written |= !is_listed || is_rewritten;
        self.config = Some(KnownConfig {
            era,
            version,
            revision,
        });
    }

    /// Returns whether the present history has a configuration of this version or a later one.
    #[must_use]
    pub fn has_config(&self, version: u64) -> bool {
        self.config
            .is_some_and(|c| Some(c.era) == self.era && c.version >= version)
    }

    /// Returns whether the newest configuration that was confirmed before the present history is in it again.
    #[must_use]
    pub fn is_config_settled(&self, now: Millis) -> bool {
        self.is_config_written || self.is_settled(now)
    }

    /// Returns whether all that was confirmed before the present history is in it again.
    #[must_use]
    pub fn is_settled(&self, now: Millis) -> bool {
        self.settles_in(now) == Some(Millis(0))
    }

    /// Returns how far the present history can be relied on.
    #[must_use]
    pub fn standing(&self, now: Millis) -> Standing {
        match (self.is_read, self.is_settled(now)) {
            (false, _) => Standing::Unread,
            (true, false) => Standing::Unsettled,
            (true, true) => Standing::Settled,
        }
    }

    /// Returns the time until the present history is settled; `None` if there was no answer yet.
    #[must_use]
    pub fn settles_in(&self, now: Millis) -> Option<Millis> {
        let era = self.era?;
        if era == Era::UNNAMED || self.is_recorded_as_settled() {
            return Some(Millis(0));
        }
        Some(SETTLE_TIME.since(now.since(self.learned_at)))
    }
}

/// Returns the longest random pause before a gateway that has seen a new era lists the store.
#[must_use]
pub fn listing_spread(gateways: u64) -> Millis {
    Millis(LISTING_SPREAD_PER_GATEWAY.0 * gateways).min(MAX_LISTING_SPREAD)
}
