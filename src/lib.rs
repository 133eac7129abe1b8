//! Model-aware router for versions and cascades.
//!
//! The library contains the logic; the programs under `src/bin` are thin wrappers. Modules marked pure take
//! their inputs, the time and random draws as arguments and perform no I/O, so that decisions can be replayed.

pub mod agent;
pub mod beacon;
pub mod clock;
pub mod daemon;
pub mod demo;
pub mod dissemination;
pub mod fencing;
#[cfg(test)]
mod fixtures;
pub mod follower;
pub mod forward;
pub mod gateway;
pub mod http;
pub mod idempotency;
pub mod ids;
pub mod kv;
pub mod ledger;
pub mod limits;
pub mod membership;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod rating;
pub mod record;
pub mod refusal;
pub mod rollout;
pub mod route;
pub mod router;
pub mod session;
pub mod settings;
pub mod sheet;
pub mod standin;
pub mod stream;
pub mod suspect;
pub mod telemetry;
pub mod units;
pub mod upstream;
