//! Store keys of the ledger in the key-value service.

use crate::ids::Incarnation;

/// Prefix of all store keys of the ledger.
pub const PREFIX: &str = "/fireflywind/ledger/";

/// A parsed store key of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// `/fireflywind/ledger/<gateway>/checkpoint`.
    Checkpoint(Incarnation),
    /// `/fireflywind/ledger/<gateway>/orphans/<agent>/<page>`.
    Orphans {
        /// The gateway that accepted the requests.
        gateway: Incarnation,
        /// The agent that wrote the page.
        agent: Incarnation,
        /// Number of the page, unique among the pages of the agent.
        page: u64,
    },
}

impl Key {
    /// Parses a store key; returns `None` if it does not belong to the ledger.
    #[must_use]
    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.strip_prefix(PREFIX)?.split('/');
        let gateway = parts.next()?.parse().ok()?;
        let parsed = match parts.next()? {
            "checkpoint" => Self::Checkpoint(gateway),
            "orphans" => Self::Orphans {
                gateway,
                agent: parts.next()?.parse().ok()?,
                page: parts.next()?.parse().ok()?,
            },
            _ => return None,
        };
        parts.next().is_none().then_some(parsed)
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Checkpoint(gateway) => write!(f, "{PREFIX}{gateway}/checkpoint"),
            Self::Orphans {
                gateway,
                agent,
                page,
            } => write!(f, "{PREFIX}{gateway}/orphans/{agent}/{page}"),
        }
    }
}
