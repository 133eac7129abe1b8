//! Tracks which upstreams are live, leaving or gone, and chooses those that a gateway connects to.
//!
//! Direct evidence (a connection, a reply, a leaving notice, a refused connection, silence) takes precedence
//! over the platform's VM list, which may be out of date. For an upstream with recent messages, the list can
//! only add that its VM is leaving, because the agent on that VM may not have been notified.

mod subset;
#[cfg(test)]
mod tests;

pub use subset::{SUBSET_SIZE, rank, subset};

use crate::ids::{DataCentre, Incarnation, UpstreamId};
use crate::units::Millis;

/// Time without a message after which an upstream gets no new work and its connection is closed.
pub const SILENCE_TIMEOUT: Millis = Millis::from_secs(3);
/// Time without a message after which an upstream counts as gone, regardless of the VM list.
pub const GONE_TIMEOUT: Millis = Millis::from_secs(30);
/// Time between pings; two may be lost before [`SILENCE_TIMEOUT`] passes.
pub const PING_INTERVAL: Millis = Millis::from_secs(1);
/// Time after which a connection attempt without an answer is abandoned.
pub const CONNECT_TIMEOUT: Millis = Millis::from_secs(3);
/// Wait after the first failed connection attempt; it doubles with each consecutive failure.
pub const RETRY_DELAY_MIN: Millis = Millis(250);
/// Maximum wait between attempts, unless the VM list calls the upstream leaving or does not contain it.
pub const RETRY_DELAY_MAX: Millis = Millis::from_secs(2);
/// Maximum wait between attempts if the VM list calls the upstream leaving or does not contain it.
pub const RETRY_DELAY_MAX_NOT_LIVE: Millis = Millis::from_secs(10);
/// Time within which a reachable and responsive upstream is usable again, not counting the round trip.
///
/// It is the timeout of the last failed attempt plus the maximum wait after it.
pub const MAX_RECOVERY_TIME: Millis = Millis(CONNECT_TIMEOUT.0 + RETRY_DELAY_MAX_NOT_LIVE.0);
/// Maximum time for which the VM list may still show the state of a VM that has been replaced.
pub const MAX_VM_LIST_LAG: Millis = Millis::from_secs(60);
/// Maximum number of incarnations of an upstream whose leaving notices are kept.
const MAX_DEPARTED_INCARNATIONS: usize = 8;

/// State of an upstream from the point of view of one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Connected with recent messages; may receive new work.
    Live,
    /// Without recent messages, and without evidence that it is gone.
    Suspect,
    /// Finishing its work; must not receive new work.
    Leaving,
    /// Not running, not reachable or not known.
    Gone,
}

/// State of an upstream's VM in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmListing {
    /// The VM is live.
    Live,
    /// The VM is leaving.
    Leaving,
    /// The VM is not in the list.
    Absent,
}

/// Number of a connection attempt; evidence from an earlier attempt is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt(pub u64);

/// Direct evidence about an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The attempt succeeded and reached this incarnation.
    Connected(Attempt, Incarnation),
    /// The attempt was refused.
    Refused(Attempt),
    /// The connection of this attempt was closed.
    Closed(Attempt),
    /// A message of this incarnation arrived.
    MessageReceived(Incarnation),
    /// A leaving notice of this incarnation; every status reply repeats it, so a lost one does no harm.
    Leaving(Incarnation),
}

/// An action for the gateway to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Connect and report the result with the number of the attempt.
    Connect(UpstreamId, Attempt),
    /// Close the connection or abandon the attempt.
    ///
    /// Responses that are still being read have connections of their own and continue.
    Disconnect(UpstreamId),
    /// Send a status message.
    Ping(UpstreamId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Link {
    Down { retry_at: Millis },
    Connecting { since: Millis },
    Up { next_ping: Millis },
}

#[derive(Debug)]
struct Member {
    id: UpstreamId,
    wanted: bool,
    listed: Option<VmListing>,
    /// Time at which the list began to call the VM leaving; valid only while `listed` is `Leaving`.
    leaving_since: Millis,
    link: Link,
    attempt: Attempt,
    failures: u32,
    refused: bool,
    incarnation: Option<Incarnation>,
    /// Time at which a connection first reached the current incarnation.
    incarnation_since: Millis,
    last_message_at: Option<Millis>,
    /// Incarnations that sent a leaving notice; they never become live again.
    departed: Vec<Incarnation>,
}

/// The upstreams of one gateway.
#[derive(Debug, Default)]
pub struct Members {
    /// Sorted by name. Members that are not wanted are kept together with their leaving notices.
    members: Vec<Member>,
}

impl Members {
    /// Creates a set without upstreams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the upstreams that the gateway should connect to.
    pub fn set_wanted(&mut self, wanted: &[UpstreamId], now: Millis) {
        for member in &mut self.members {
            member.wanted = false;
        }
        for id in wanted {
            let at = match self.position(id) {
                Ok(at) => at,
                Err(at) => {
                    self.members.insert(at, Member::new(id.clone(), now));
                    at
                }
            };
            self.members[at].wanted = true;
        }
    }

    /// Removes upstreams that are neither configured, wanted nor connected.
    pub fn retain(&mut self, configured: impl Fn(&UpstreamId) -> bool) {
        self.members
            .retain(|member| member.wanted || member.has_connection() || configured(&member.id));
    }

    /// Applies a new VM list; an upstream that is not in it counts as absent.
    ///
    /// An upstream that is newly listed as live is retried at once.
    pub fn apply_vm_list(&mut self, list: &[(UpstreamId, VmListing)], now: Millis) {
        for member in &mut self.members {
            let entry = list.iter().find(|(id, _)| *id == member.id);
            let listed = entry.map_or(VmListing::Absent, |(_, listed)| *listed);
            if listed == VmListing::Leaving && member.listed != Some(VmListing::Leaving) {
                member.leaving_since = now;
            }
            let became_live = listed == VmListing::Live && member.listed != Some(VmListing::Live);
            member.listed = Some(listed);
            if let (true, Link::Down { retry_at }) = (became_live, &mut member.link) {
                *retry_at = now.min(*retry_at);
            }
        }
    }

    /// Applies direct evidence; evidence about an unknown upstream is ignored.
    pub fn observe(&mut self, id: &UpstreamId, evidence: Evidence, now: Millis) {
        if let Ok(at) = self.position(id) {
            self.members[at].observe(evidence, now);
        }
    }

    /// Returns the actions that are due and updates the connection states.
    pub fn step(&mut self, now: Millis) -> Vec<Effect> {
        self.members
            .iter_mut()
            .flat_map(|member| member.step(now))
            .collect()
    }

    /// Returns the state of an upstream; an unknown one is gone.
    #[must_use]
    pub fn state(&self, id: &UpstreamId, now: Millis) -> State {
        self.position(id)
            .map_or(State::Gone, |at| self.members[at].state(now))
    }

    /// Returns the incarnation of an upstream if it may receive new work.
    #[must_use]
    pub fn usable(&self, id: &UpstreamId, now: Millis) -> Option<Incarnation> {
        let member = &self.members[self.position(id).ok()?];
        member
            .incarnation
            .filter(|_| member.state(now) == State::Live)
    }

    /// Returns all upstreams that may receive new work, sorted by name.
    #[must_use]
    pub fn all_usable(&self, now: Millis) -> Vec<&UpstreamId> {
        let live = self.members.iter().filter(|m| m.state(now) == State::Live);
        live.map(|member| &member.id).collect()
    }

    /// Chooses the upstreams of one version that the gateway should connect to.
    ///
    /// These are the subset of all upstreams, so that one that returns is detected, and the subset of those
    /// that are neither leaving nor gone, so that enough remain after the loss of a data centre.
    #[must_use]
    pub fn targets(
        &self,
        gateway: &str,
        own: &DataCentre,
        upstreams: &[(UpstreamId, DataCentre)],
        n: usize,
        now: Millis,
    ) -> Vec<UpstreamId> {
        let is_lost = |id: &UpstreamId| {
            let is_known = self.position(id).is_ok();
            is_known && matches!(self.state(id, now), State::Leaving | State::Gone)
        };
        let remaining: Vec<_> = upstreams
            .iter()
            .filter(|(id, _)| !is_lost(id))
            .cloned()
            .collect();
        let mut targets = subset(gateway, own, upstreams, n);
        for id in subset(gateway, own, &remaining, n) {
            if !targets.contains(&id) {
                targets.push(id);
            }
        }
        targets
    }

    fn position(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.members.binary_search_by(|member| member.id.cmp(id))
    }
}

impl Member {
    const fn new(id: UpstreamId, now: Millis) -> Self {
        Self {
            id,
            wanted: true,
            listed: None,
            leaving_since: now,
            link: Link::Down { retry_at: now },
            attempt: Attempt(0),
            failures: 0,
            refused: false,
            incarnation: None,
            incarnation_since: now,
            last_message_at: None,
            departed: Vec::new(),
        }
    }

    const fn has_connection(&self) -> bool {
        !matches!(self.link, Link::Down { .. })
    }

    fn has_left(&self) -> bool {
        self.incarnation.is_some_and(|p| self.departed.contains(&p))
    }

    /// Returns whether the VM of the current incarnation is listed as leaving.
    ///
    /// If it was already listed as leaving when the incarnation was first reached, the entry may belong to the VM
    /// that it replaced. Such an entry is ignored until [`MAX_VM_LIST_LAG`] has passed.
    fn is_listed_leaving(&self, now: Millis) -> bool {
        let may_be_predecessor = self.leaving_since < self.incarnation_since
            && now.since(self.incarnation_since) < MAX_VM_LIST_LAG;
        self.listed == Some(VmListing::Leaving) && !may_be_predecessor
    }

    fn silence(&self, now: Millis) -> Millis {
        self.last_message_at
            .map_or(Millis(u64::MAX), |at| now.since(at))
    }

    fn state(&self, now: Millis) -> State {
        let silence = self.silence(now);
        let is_fresh = matches!(self.link, Link::Up { .. }) && silence < SILENCE_TIMEOUT;
        let had_message = self.last_message_at.is_some();
        match self.listed {
            _ if self.refused => State::Gone,
            _ if is_fresh && (self.has_left() || self.is_listed_leaving(now)) => State::Leaving,
            _ if is_fresh => State::Live,
            _ if had_message && silence >= GONE_TIMEOUT => State::Gone,
            Some(VmListing::Absent) if silence >= SILENCE_TIMEOUT => State::Gone,
            _ if self.has_left() => State::Leaving,
            Some(VmListing::Leaving) => State::Leaving,
            _ => State::Suspect,
        }
    }

    fn observe(&mut self, evidence: Evidence, now: Millis) {
        match evidence {
            Evidence::Connected(attempt, incarnation) if self.is_current(attempt) => {
                self.link = Link::Up { next_ping: now };
                if self.incarnation != Some(incarnation) {
                    self.incarnation_since = now;
                }
                self.incarnation = Some(incarnation);
                self.last_message_at = Some(now);
                self.refused = false;
                self.failures = 0;
            }
            Evidence::Refused(attempt) if self.is_current(attempt) => {
                self.refused = true;
                self.schedule_retry(now);
            }
            Evidence::Closed(attempt) if self.is_current(attempt) => self.schedule_retry(now),
            Evidence::MessageReceived(incarnation) if self.incarnation == Some(incarnation) => {
                self.last_message_at = Some(now);
            }
            Evidence::Leaving(incarnation) => self.record_departure(incarnation),
            // Evidence of an earlier attempt or incarnation.
            _ => {}
        }
    }

    fn is_current(&self, attempt: Attempt) -> bool {
        self.has_connection() && self.attempt == attempt
    }

    fn record_departure(&mut self, incarnation: Incarnation) {
        if !self.departed.contains(&incarnation) {
            if self.departed.len() >= MAX_DEPARTED_INCARNATIONS {
                let current = self.incarnation;
                let oldest = self.departed.iter().position(|p| Some(*p) != current);
                oldest.map(|at| self.departed.remove(at));
            }
            self.departed.push(incarnation);
        }
    }

    fn schedule_retry(&mut self, now: Millis) {
        let wait = Millis(RETRY_DELAY_MIN.0 << self.failures.min(10));
        let max_wait = match self.listed {
            Some(VmListing::Leaving | VmListing::Absent) => RETRY_DELAY_MAX_NOT_LIVE,
            Some(VmListing::Live) | None => RETRY_DELAY_MAX,
        };
        self.failures = self.failures.saturating_add(1);
        self.link = Link::Down {
            retry_at: now + wait.min(max_wait),
        };
    }

    fn step(&mut self, now: Millis) -> Vec<Effect> {
        if !self.wanted {
            return self.disconnect(now).into_iter().collect();
        }
        let mut effects = Vec::new();
        let timed_out = match self.link {
            Link::Up { .. } => self.silence(now) >= SILENCE_TIMEOUT,
            Link::Connecting { since } => now.since(since) >= CONNECT_TIMEOUT,
            Link::Down { .. } => false,
        };
        if timed_out {
            effects.extend(self.disconnect(now));
        }
        match &mut self.link {
            Link::Down { retry_at } if now >= *retry_at => {
                self.attempt.0 += 1;
                self.link = Link::Connecting { since: now };
                effects.push(Effect::Connect(self.id.clone(), self.attempt));
            }
            Link::Up { next_ping } if now >= *next_ping => {
                *next_ping = now + PING_INTERVAL;
                effects.push(Effect::Ping(self.id.clone()));
            }
            _ => {}
        }
        effects
    }

    fn disconnect(&mut self, now: Millis) -> Option<Effect> {
        if !self.has_connection() {
            return None;
        }
        self.schedule_retry(now);
        Some(Effect::Disconnect(self.id.clone()))
    }
}
