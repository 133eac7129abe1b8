//! The sheet: the one document that operators put into force.

pub mod model;
#[cfg(test)]
mod tests;

pub use model::{
    Account, Cascade, Class, Limit, Model, Policy, Price, Priority, Rollout, Service, Sheet,
    Upstream, UpstreamKind, Version, VersionState,
};
