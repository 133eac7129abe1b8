//! Tests with the real programs as processes.

mod faults;
mod fixture;
mod proxy;
mod whole_path;
