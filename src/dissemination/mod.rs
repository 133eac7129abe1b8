//! Which sheet revision a process holds, offers and fetches.
