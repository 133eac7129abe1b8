//! Pass rates of versions by request class, learned from ratings.
