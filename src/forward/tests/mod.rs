//! Tests of forwarding: parsers by properties, the whole path against stand-ins on loopback.

mod endless;
mod fixture;
mod follow;
mod leaving;
mod parsers;
mod whole_path;
