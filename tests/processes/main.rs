//! Tests with the real programs as processes.

mod double_faults;
mod faults;
mod fixture;
mod proxy;
mod whole_path;
