//! Tests of the adapter: items, settings, the client of the store.

mod items;
mod store;
