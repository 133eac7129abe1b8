//! Settings of the daemons.
