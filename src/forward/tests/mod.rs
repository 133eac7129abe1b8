//! Tests of forwarding: property tests of the parsers, and requests through a gateway on loopback.

mod endless;
mod fixture;
mod follow;
mod leaving;
mod parsers;
mod whole_path;
