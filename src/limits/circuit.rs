//! Circuit breakers, one for each pair of upstream and version.

use serde::{Deserialize, Serialize};

use crate::ids::{UpstreamId, VersionRef};
use crate::units::Millis;

/// Number of the latest results that a closed circuit keeps and decides on; each is one bit.
const WINDOW_RESULTS: u32 = 20;
/// Minimum number of results after which a circuit can open.
const MIN_RESULTS: u32 = 5;
/// Time for which a circuit first stays open; doubled each time a probe fails.
const INITIAL_OPEN_TIME: Millis = Millis::from_secs(1);
const MAX_OPEN_TIME: Millis = Millis::from_secs(30);
/// Consecutive probes that must succeed before a half-open circuit closes.
const PROBES_TO_CLOSE: u32 = 3;
/// Time after which a probe without a result counts as failed.
const PROBE_TIMEOUT: Millis = Millis::from_secs(10);

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CircuitDecision {
    /// It may be sent without restriction: the circuit is closed.
    #[serde(rename = "open")]
    Allowed,
    /// It may be sent as the probe that tests whether the upstream has recovered, with the time of sending.
    Probe(Millis),
    /// It must not be sent; a new decision is possible after this time.
    #[serde(rename = "blocked")]
    Denied(Millis),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Closed {
        /// Number of results, up to [`WINDOW_RESULTS`].
        results: u32,
        /// The latest results, one bit each, set for a failure.
        failures: u32,
    },
    Open {
        until: Millis,
        /// How long the circuit stays open.
        span: Millis,
    },
    HalfOpen {
        /// Time at which the probe in flight was sent.
        probe: Option<Millis>,
        /// Consecutive probes that succeeded.
        passed: u32,
        /// How long the circuit last stayed open.
        span: Millis,
    },
}

const CLOSED: State = State::Closed {
    results: 0,
    failures: 0,
};

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Circuit {
    upstream: UpstreamId,
    version: VersionRef,
    state: State,
}

/// Circuits of the pairs of upstream and version that have failed recently.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Circuits {
    /// Sorted by upstream and version.
    circuits: Vec<Circuit>,
}

impl Circuits {
    /// Decides whether a request may be sent, and records its time if it is sent as a probe.
    pub fn admit(
        &mut self,
        upstream: &UpstreamId,
        version: &VersionRef,
        now: Millis,
    ) -> CircuitDecision {
        let Ok(index) = self.find(upstream, version) else {
            return CircuitDecision::Allowed;
        };
        let state = &mut self.circuits[index].state;
        apply_timeouts(state, now);
        match *state {
            State::Closed { .. } => CircuitDecision::Allowed,
            State::Open { until, .. } => CircuitDecision::Denied(until.since(now)),
            State::HalfOpen {
                probe: Some(sent), ..
            } => CircuitDecision::Denied((sent + PROBE_TIMEOUT).since(now)),
            State::HalfOpen {
                probe: None,
                passed,
                span,
            } => {
                *state = State::HalfOpen {
                    probe: Some(now),
                    passed,
                    span,
                };
                CircuitDecision::Probe(now)
            }
        }
    }

    /// Records the result of a request; `decision` is what [`Self::admit`] returned for it.
    pub fn record_result(
        &mut self,
        upstream: &UpstreamId,
        version: &VersionRef,
        decision: CircuitDecision,
        succeeded: bool,
        now: Millis,
    ) {
        let found = self.find(upstream, version);
        // A circuit is only needed after a failure.
        let index = match found {
            Err(_) if succeeded => return,
            Ok(index) => index,
            Err(index) => {
                let circuit = Circuit {
                    upstream: upstream.clone(),
                    version: version.clone(),
                    state: CLOSED,
                };
                self.circuits.insert(index, circuit);
                index
            }
        };
        let state = &mut self.circuits[index].state;
        apply_timeouts(state, now);
        *state = next_state(*state, decision, succeeded, now);
        let healthy = matches!(*state, State::Closed { failures: 0, results } if results > 0);
        if healthy || *state == CLOSED {
            self.circuits.remove(index);
        }
    }

    /// Drops the circuits of upstreams for which `keep` is false, such as those that no longer exist.
    pub fn retain(&mut self, mut keep: impl FnMut(&UpstreamId) -> bool) {
        self.circuits.retain(|circuit| keep(&circuit.upstream));
    }

    fn find(&self, upstream: &UpstreamId, version: &VersionRef) -> Result<usize, usize> {
        self.circuits
            .binary_search_by(|c| (&c.upstream, &c.version).cmp(&(upstream, version)))
    }
}

/// Applies the transitions that depend on time: the end of the open state and the time-out of a probe.
fn apply_timeouts(state: &mut State, now: Millis) {
    match *state {
        State::Open { until, span } if now >= until => {
            *state = State::HalfOpen {
                probe: None,
                passed: 0,
                span,
            };
        }
        State::HalfOpen {
            probe: Some(sent),
            span,
            ..
        } if now >= sent + PROBE_TIMEOUT => *state = open(double_span(span), now),
        State::Closed { .. } | State::Open { .. } | State::HalfOpen { .. } => {}
    }
}

/// Returns the state after a result.
fn next_state(state: State, decision: CircuitDecision, succeeded: bool, now: Millis) -> State {
    match (state, decision) {
        (State::Closed { results, failures }, _) => {
            let mask = (1 << WINDOW_RESULTS) - 1;
            let failures = ((failures << 1) | u32::from(!succeeded)) & mask;
            let results = (results + 1).min(WINDOW_RESULTS);
            if results >= MIN_RESULTS && failures.count_ones() * 2 >= results {
                open(INITIAL_OPEN_TIME, now)
            } else {
                State::Closed { results, failures }
            }
        }
        (
            State::HalfOpen {
                probe: Some(sent),
                passed,
                span,
            },
            CircuitDecision::Probe(reported),
        ) if sent == reported => match (succeeded, passed + 1) {
            (false, _) => open(double_span(span), now),
            (true, PROBES_TO_CLOSE) => CLOSED,
            (true, passed) => State::HalfOpen {
                probe: None,
                passed,
                span,
            },
        },
        // Results of requests that were sent before the circuit opened, and of probes that have timed out,
        // are ignored as outdated.
        (State::Open { .. } | State::HalfOpen { .. }, _) => state,
    }
}

fn open(span: Millis, now: Millis) -> State {
    State::Open {
        until: now + span,
        span,
    }
}

fn double_span(span: Millis) -> Millis {
    (span + span).min(MAX_OPEN_TIME)
}
