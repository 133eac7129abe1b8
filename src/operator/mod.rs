//! Reads and replaces the configuration in force, for the operator's program.
//!
//! The program's verbs check, apply, show, diff and status are thin wrappers around this module.

mod apply;
mod collect;
mod read;
mod status;
#[cfg(test)]
mod tests;
mod wait;

pub use apply::{Applied, ApplyError, apply};
pub use collect::collect_garbage;
pub use read::{InForce, ReadError, StoredRoot, read, read_root};
pub use status::{RolloutStatus, Status, status};
pub use wait::{ProcessRevision, wait};

use crate::sheet::digest::Digest;

/// Key of the root in force.
pub const ROOT_KEY: &str = "/fireflywind/root";

/// Key of the root before the one in force.
pub const PREVIOUS_ROOT_KEY: &str = "/fireflywind/root-previous";

/// Prefix of the keys of parts; the SHA-256 in hexadecimal follows.
pub const PART_PREFIX: &str = "/fireflywind/part/";

/// Key that each removal of old parts modifies, so that a concurrent apply detects it.
pub const COLLECTION_KEY: &str = "/fireflywind/part-collection";

/// Largest number of operations in one transaction; etcd's default limit is 128, conditions included.
const MAX_TXN_OPS: usize = 64;

fn part_key(digest: &Digest) -> String {
    format!("{PART_PREFIX}{digest}")
}
