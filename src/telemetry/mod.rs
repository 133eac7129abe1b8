//! Logs and metrics of the daemons.

pub mod buffered;
pub mod logging;
pub mod metrics;
#[cfg(test)]
mod tests;

pub use metrics::Metrics;
