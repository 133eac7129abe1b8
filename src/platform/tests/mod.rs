//! Tests of the platform adapter: items, settings and the client of the store.

mod items;
mod store;
