//! Small stand-ins for the platform's services, used by tests and the demo.

pub mod engine;
pub mod kv;
pub mod rating;
pub mod server;
pub mod service;
#[cfg(test)]
mod tests;
pub mod vms;

pub use server::Running;

use sha2::{Digest as _, Sha256};

/// Returns the SHA-256 of some bytes in hexadecimal.
#[must_use]
pub fn digest(bytes: &[u8]) -> String {
    format!("{:x}", Sha256::digest(bytes))
}

/// Returns a hash of the parts as a number below 1,000.
fn hash_permille(parts: &[&str]) -> u16 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update(part.len().to_be_bytes());
        hash.update(part);
    }
    let sum = hash.finalize();
    let number = u32::from_be_bytes([sum[0], sum[1], sum[2], sum[3]]) % 1_000;
    u16::try_from(number).expect("a number below 1,000 fits")
}
