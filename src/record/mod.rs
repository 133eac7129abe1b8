//! Explanation records: one per outcome, replayable.
