//! Choice of version, cascade plan and upstream for a request.

pub mod pick;
