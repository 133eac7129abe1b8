//! Forwarding of requests to upstreams over HTTP/1.1.
//!
//! All tasks run on one thread. There is one task for each client connection, which runs its requests and all
//! of their attempts, so an event of a stream costs one read and one write. Routing decisions are made by
//! [`crate::router`].

mod admission;
mod answer_times;
mod answers;
pub use answers::report_interval;
mod attempt;
pub mod body;
mod choose;
pub mod client;
mod cold;
mod containment;
mod crash;
mod evacuations;
pub mod events;
pub mod exchange;
pub mod follow;
pub mod gateway;
pub mod head;
mod job;
pub mod memory;
pub(crate) mod notices;
mod pace;
mod places;
pub mod pool;
pub mod reply;
pub mod request;
pub mod rollouts;
mod settle;
pub mod shared;
mod silence;
pub mod stream;
#[cfg(test)]
mod tests;
pub mod upload;
