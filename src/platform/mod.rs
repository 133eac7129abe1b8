//! Adapter to the users' platform: the only module that uses the platform's keys, header fields and settings.
//!
//! Decodes the store's items, header fields and settings into the product's types, and encodes what the gateway
//! writes. Decisions, state and recovery are in [`crate::router`] and [`crate::forward`].

pub mod check;
mod figures;
pub mod headers;
pub mod items;
pub mod report;
pub mod settings;
pub mod store;
#[cfg(test)]
mod tests;
