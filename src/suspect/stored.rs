//! What the store has of a containment, before and after a restore.

/// What the present history of the store has of a containment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stored {
    /// Nothing; the verdict is only this gateway's so far.
    Nothing,
    /// The record in force, at this revision.
    At(u64),
    /// After a restore: an older record at this revision, or none if it is 0.
    Behind(u64),
}

impl Stored {
    /// Returns the condition of the next write: 0 if there is no record.
    pub(super) const fn revision(self) -> u64 {
        match self {
            Self::Nothing => 0,
            Self::At(revision) | Self::Behind(revision) => revision,
        }
    }

    /// Returns whether a record at a revision is newer than what is known.
    pub(super) const fn is_before(self, revision: u64) -> bool {
        match self {
            Self::Nothing | Self::Behind(_) => true,
            Self::At(known) => known < revision,
        }
    }
}
