//! Signed session tokens that pin a session to a version.
