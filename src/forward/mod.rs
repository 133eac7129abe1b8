//! Forwarding of requests to upstreams over HTTP/1.1.
//!
//! One thread, and one task for each client connection: a request and all of its attempts run in the task
//! of its connection, so an event of a stream costs one read and one write. Decisions come from
//! [`crate::router`].

mod attempt;
pub mod body;
mod choose;
pub mod client;
pub mod events;
pub mod exchange;
pub mod follow;
pub mod gateway;
pub mod head;
mod job;
pub mod pool;
pub mod reply;
pub mod request;
pub mod shared;
mod silence;
pub mod stream;
#[cfg(test)]
mod tests;
