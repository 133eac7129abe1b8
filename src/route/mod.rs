//! Choice of the version, cascade plan and upstream of a request.

pub mod pick;
pub mod plan;

pub use plan::{Plan, PlanError, PlanInput, plan};
