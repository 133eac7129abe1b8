//! Admission under shortage: which requests wait at the gateway while prompts queue at the upstreams.
//!
//! The load: a burst of long prompts that may take seconds to answer, beside short ones that must start to answer soon. An
//! engine starts a prompt as soon as it has a slot and memory for it, and then works on all started prompts in turn.
//! Once the long ones are there, no rank at the engine brings the short ones forward. A gateway therefore keeps a
//! request that has time back while the queues at the upstreams are longer than requests with less time can bear, unless its
//! own rank goes before theirs. Upstreams stay busy meanwhile, so nothing is lost to the ones that wait but their place.
//!
//! * [`room`] is the work that the upstreams can take before their queues are that long, as load reports show it.
//! * [`queue`] is the order in which requests of one gateway take their part of that room.
//! * [`speed`] is the time that upstreams take per token of a prompt, measured on this gateway's own requests.
//!
//! A request waits for at most half of the time that it can spare before its latency target, and is then sent in any case.
//! So no account, session or size starves, and without a shortage nothing waits.

pub mod queue;
pub mod room;
pub mod speed;
#[cfg(test)]
mod tests;

use std::rc::Rc;

use crate::units::Millis;

use self::queue::{Place, Queue};
use self::room::Room;
use self::speed::Speed;

/// Part of the tighter latency target that may pass in the queue of an upstream. A request of a cascade
/// passes two queues, each with reports that are up to half as old as the wait, and the rest is its own work.
const QUEUE_DIVISOR: u64 = 4;

/// Number of times that a request's own work is processed before its answer begins: a cascade may run two models.
const RUNS_BEFORE_ANSWER: u64 = 2;

/// Part of the spare time of a request that it may wait at the gateway; the rest is left for queues at the upstreams.
const WAIT_DIVISOR: u64 = 2;

/// A request that asks for admission.
#[derive(Debug, Clone)]
pub struct Applicant {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Client account.
    pub account: Option<Rc<str>>,
    /// Work of the request on its model, in prompt tokens of the largest model.
    pub work: u64,
    /// When the request arrived.
    pub arrived: Millis,
    /// Time within which its answer has its full value.
    pub latency_target: Millis,
    /// When it times out.
    pub deadline: Millis,
}

/// What becomes of a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It is sent; the queues at the upstreams are short enough.
    Room,
    /// It is sent although the queues are long: it has waited for as long as it can.
    Aged,
    /// It is sent; too few upstreams have reported their load for a decision.
    Unknown,
    /// It waits.
    Wait,
}

impl Verdict {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Room => "room",
            Self::Aged => "aged",
            Self::Unknown => "unknown",
            Self::Wait => "wait",
        }
    }
}

/// Time for which a view of the upstreams' room is used; beacons report every 150 ms.
const ROOM_LIFETIME: Millis = Millis(50);

/// Time for which a priority counts as in use after its last request.
const PRIORITY_LIFETIME: Millis = Millis::from_secs(5);

/// A priority in use, with the shortest latency target of its requests.
#[derive(Debug, Clone, Copy)]
struct Rank {
    priority: u8,
    latency_target: Millis,
    seen_at: Millis,
}

/// Admission to the upstreams that serve one class of models of a service.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    queue: Queue,
    speed: Speed,
    /// Sorted by priority.
    ranks: Vec<Rank>,
    /// Room that is left of the last view, and when it was taken.
    view: Option<(Option<Room>, Millis)>,
}

impl Admission {
    /// Records that a request has arrived.
    pub fn record_request(&mut self, priority: u8, latency_target: Millis, now: Millis) {
        match (self.ranks).binary_search_by_key(&priority, |rank| rank.priority) {
            Ok(at) => {
                let rank = &mut self.ranks[at];
                let is_old = now.since(rank.seen_at) > PRIORITY_LIFETIME;
                if is_old || latency_target < rank.latency_target {
                    rank.latency_target = latency_target;
                }
                rank.seen_at = now;
            }
            Err(at) => self.ranks.insert(
                at,
                Rank {
                    priority,
                    latency_target,
                    seen_at: now,
                },
            ),
        }
    }

    /// Returns the shortest latency target in use of requests that are as urgent or more, if it is shorter than the request's own.
    #[must_use]
    pub fn tighter_target(
        &self,
        priority: u8,
        latency_target: Millis,
        now: Millis,
    ) -> Option<Millis> {
        (self.ranks.iter())
            .take_while(|rank| rank.priority <= priority)
            .filter(|rank| now.since(rank.seen_at) <= PRIORITY_LIFETIME)
            .map(|rank| rank.latency_target)
            .min()
            .filter(|target| *target < latency_target)
    }

    /// Records the time to first byte of a request with this work, behind this backlog, in prompt tokens of the largest
    /// model.
    pub fn observe_first_byte(&mut self, work: u64, backlog: u64, took: Millis) {
        self.speed.observe(work.saturating_add(backlog), took);
    }

    /// Returns the longest queue at an upstream behind which requests with this latency target start in time, in prompt
    /// tokens of the largest model.
    #[must_use]
    pub fn queue_bound(&self, latency_target: Millis) -> u64 {
        self.speed
            .tokens_within(Millis(latency_target.0 / QUEUE_DIVISOR))
    }

    /// Returns whether the view of the upstreams' room is to be renewed.
    #[must_use]
    pub fn needs_view(&self, now: Millis) -> bool {
        (self.view).is_none_or(|(_, at)| now.since(at) >= ROOM_LIFETIME)
    }

    /// Takes in a view of the upstreams' room; `None` if their load is not known.
    pub fn set_view(&mut self, room: Option<Room>, now: Millis) {
        self.view = Some((room, now));
    }

    /// Lets a request wait in line; [`Self::poll`] tells when it may be sent.
    pub fn enter(&mut self, applicant: &Applicant) -> Place {
        let own = self.speed.time_for(applicant.work * RUNS_BEFORE_ANSWER);
        let spare = applicant.latency_target.since(own);
        let latest = applicant.arrived + Millis(spare.0 / WAIT_DIVISOR);
        (self.queue).enter(applicant, latest.min(applicant.deadline))
    }

    /// Decides about a request in line; `draw` is a uniform random number. A request that is sent has left the line.
    pub fn poll(&mut self, place: &Place, draw: u64, now: Millis) -> Verdict {
        let verdict = match self.view.and_then(|(room, _)| room) {
            None => Verdict::Unknown,
            Some(_) if now >= place.latest => Verdict::Aged,
            Some(room) if self.queue.is_first(place) && room.admits(place.work, draw) => {
                Verdict::Room
            }
            Some(_) => return Verdict::Wait,
        };
        if let Some((Some(room), _)) = &mut self.view {
            room.share = room.share.saturating_sub(place.work);
        }
        self.queue.leave(place, true);
        verdict
    }

    /// Removes a request whose client has gone.
    pub fn withdraw(&mut self, place: &Place) {
        self.queue.leave(place, false);
    }

    /// Returns the number of requests in line.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.queue.len()
    }
}
