//! Tests with the real programs as processes.

mod faults;
mod fixture;
mod whole_path;
