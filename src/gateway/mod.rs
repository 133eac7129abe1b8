//! The gateway daemon, which takes callers' requests.
