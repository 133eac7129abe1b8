//! Room of the upstreams for prompts, as their load reports show it to one gateway.

/// Work that upstreams can take before their queues exceed a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// This gateway's part, in prompt tokens of the largest model.
    pub share: u64,
    /// Upstreams whose queue is shorter than the bound.
    pub open: usize,
    /// Upstreams with a recent report.
    pub known: usize,
}

impl Room {
    /// Returns the room below `bound`, from the backlog of each upstream; `None` marks an upstream without a recent report.
    ///
    /// Gateways see the same reports and do not hear of each other's sends until the next one, so each takes an equal part.
    /// Returns `None` if fewer than half of the upstreams have reported: a gateway with an old view keeps nothing back.
    #[must_use]
    pub fn below(
        bound: u64,
        backlogs: impl IntoIterator<Item = Option<u64>>,
        gateways: u64,
    ) -> Option<Self> {
        let (mut all, mut known, mut open, mut free) = (0_usize, 0, 0, 0_u64);
        for backlog in backlogs {
            all += 1;
            let Some(backlog) = backlog else { continue };
            known += 1;
            if backlog < bound {
                open += 1;
                free = free.saturating_add(bound - backlog);
            }
        }
        (known > 0 && known * 2 >= all).then(|| Self {
            share: free / gateways.max(1),
            open,
            known,
        })
    }

    /// Returns whether a request with this work is sent; `draw` is a uniform random number.
    ///
    /// A part smaller than the request admits it with the probability that makes the sum over all gateways right, so
    /// long prompts get in as well.
    #[must_use]
    pub const fn admits(self, work: u64, draw: u64) -> bool {
        self.open > 0 && (work <= self.share || draw % work < self.share)
    }
}
