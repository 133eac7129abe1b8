//! Tests of the platform adapter: items, settings and the client of the store.

mod check;
mod items;
mod store;
