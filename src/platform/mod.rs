//! Adapter to the users' platform: the only code that knows its names.
//!
//! It decodes the store's items, the header fields and the settings into the product's types, and encodes
//! what the gateway writes. Decisions, state and recovery are in [`crate::router`] and [`crate::forward`].

pub mod headers;
pub mod items;
pub mod report;
pub mod settings;
pub mod store;
#[cfg(test)]
mod tests;
