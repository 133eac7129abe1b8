//! Choice of version, cascade plan and upstream for a request.

pub mod pick;
pub mod plan;

pub use plan::{Plan, PlanError, PlanInput, plan};
