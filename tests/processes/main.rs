//! Integration tests that run the real programs as separate processes.

mod double_faults;
mod faults;
mod fixture;
mod proxy;
mod whole_path;
