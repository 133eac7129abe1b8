//! Runs one attempt of a request at an agent and assembles its answer.

use std::rc::Rc;

use actix_rt::time::Instant;
use bytes::Bytes;

use super::links::{self, InFlightGuard};
use super::rules;
use super::shared::Shared;
use crate::ids::UpstreamId;
use crate::ledger::Charge;
use crate::peer::{
    Failure, Head, Link, LinkError, ReadBody, ReadReply, ReadRequest, RunReply, RunRequest,
};
use crate::refusal::{Code, Refusal, RunStatus};
use crate::route::pick::LoadSource;
use crate::stream::{Assembly, AttemptId, FeedResult, IncompleteReason, READ_TIMEOUT, Reply};
use crate::units::Millis;

/// Time limit for an agent to accept or refuse an attempt.
const RUN_TIMEOUT: Millis = Millis::from_secs(3);

/// Maximum number of bytes in one read.
const MAX_READ_BYTES: u32 = 64 * 1024;

/// Maximum number of times that one read reconnects after its connection timed out or failed.
const MAX_RECONNECTS: u32 = 3;

/// Receives an answer as it arrives.
pub(super) trait Sink {
    /// Receives the status and the content type; called once per attempt, before any bytes.
    fn head(&mut self, head: &Head);
    /// Receives the next bytes; returns `false` if the caller has disconnected.
    async fn bytes(&mut self, bytes: Bytes) -> bool;
}

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum Ended {
    /// The complete answer was written to the sink.
    Complete(CompleteAnswer),
    /// The agent or this gateway has a newer sheet than the plan, so the request must be planned again;
    /// nothing ran.
    PlanOutdated,
    /// The agent has no free slot and the attempt may not be queued; nothing ran.
    Busy,
    /// The agent could not be reached; nothing was sent.
    Unreachable(String),
    /// The agent refused the attempt, or the attempt failed.
    Failed(FailedAttempt),
    /// The caller disconnected.
    CallerLeft,
}

/// A complete answer.
#[derive(Debug)]
pub(super) struct CompleteAnswer {
    pub status: u16,
    pub bytes: u64,
    pub charge: Option<Charge>,
    pub replayed: bool,
}

/// An attempt that ended without a complete answer.
#[derive(Debug)]
pub(super) struct FailedAttempt {
    pub refusal: Refusal,
    /// Whether the upstream crashed while it ran the attempt.
    pub crashed: bool,
    /// Bytes that were written to the sink.
    pub sink_bytes: u64,
}

impl From<Refusal> for Ended {
    fn from(refusal: Refusal) -> Self {
        Self::Failed(FailedAttempt {
            refusal,
            crashed: false,
            sink_bytes: 0,
        })
    }
}

/// Runs one attempt at an agent.
pub(super) async fn run(
    shared: &Rc<Shared>,
    upstream: &UpstreamId,
    req: &RunRequest,
    sink: &mut impl Sink,
) -> Ended {
    let link = shared.links.borrow().link(upstream);
    let Some(link) = link else {
        return Ended::Unreachable("no connection to the agent".to_owned());
    };
    let in_flight = InFlightGuard::new(shared, upstream);
    let deadline = Instant::now() + req.deadline.duration();
    let answer = match start(shared, upstream, &link, req).await {
        Ok(answer) => answer,
        Err(ended) => return ended,
    };
    let mut reader = AnswerReader {
        shared,
        upstream,
        link,
        req,
        answer,
        deadline,
    };
    let ended = reader.read(sink).await;
    drop(in_flight);
    ended
}

/// Requests the run from the agent; if its sheet is older than the plan, updates the sheet and retries.
async fn start(
    shared: &Rc<Shared>,
    upstream: &UpstreamId,
    link: &Link,
    req: &RunRequest,
) -> Result<u64, Ended> {
    if !is_plan_current(shared, req) {
        return Err(Ended::PlanOutdated);
    }
    let mut reply = link.run(req, RUN_TIMEOUT).await;
    if let Ok(RunReply::Older(_)) = reply {
        shared.follower.announce_to(upstream.as_str());
        links::exchange_sheets(shared, upstream, link).await;
        if !is_plan_current(shared, req) {
            return Err(Ended::PlanOutdated);
        }
        reply = link.run(req, RUN_TIMEOUT).await;
    }
    match reply {
        Ok(RunReply::Accepted(answer)) => Ok(answer),
        Ok(RunReply::Refused(refusal)) => Err(refusal.into()),
        Ok(RunReply::Busy(running)) => {
            observe_load(shared, upstream, running);
            Err(Ended::Busy)
        }
        Ok(RunReply::Older(_)) => {
            let message = "agent did not take up the sheet in force";
            Err(Refusal::not_run(Code::NoUpstream, message).into())
        }
        Ok(RunReply::Newer(_)) => {
            shared.follower.pull_from(upstream.as_str());
            links::exchange_sheets(shared, upstream, link).await;
            Err(Ended::PlanOutdated)
        }
        Err(error) => {
            let now = shared.clock.now();
            shared.links.borrow_mut().mark_lost(upstream, now);
            Err(match error {
                LinkError::Unreachable(message) => Ended::Unreachable(message),
                error => {
                    let message = format!("agent {upstream} was lost: {error}");
                    Refusal::after_run(Code::UpstreamFailed, RunStatus::Unknown, message).into()
                }
            })
        }
    }
}

/// Records the load that an agent sent with a reply.
fn observe_load(shared: &Shared, upstream: &UpstreamId, running: u32) {
    let now = shared.clock.now();
    let mut links = shared.links.borrow_mut();
    links.observe_load(upstream, running, now, LoadSource::Reply);
}

/// Returns whether the sheet revision of the plan is still in force in this gateway.
///
/// Without this check, an agent with an equally old sheet would run the attempt, although a newer sheet may
/// have withdrawn the version.
fn is_plan_current(shared: &Shared, req: &RunRequest) -> bool {
    shared.follower.revision() == req.revision
}

/// Reads the answer of one accepted attempt.
struct AnswerReader<'a> {
    shared: &'a Rc<Shared>,
    upstream: &'a UpstreamId,
    link: Rc<Link>,
    req: &'a RunRequest,
    answer: u64,
    deadline: Instant,
}

impl AnswerReader<'_> {
    async fn read(&mut self, sink: &mut impl Sink) -> Ended {
        let attempt = self.req.attempt_number();
        let attempt_id = AttemptId {
            request: self.req.request,
            attempt,
        };
        let mut assembly = Assembly::open(attempt_id);
        let mut head_sent = false;
        loop {
            if Instant::now() >= self.deadline {
                self.cancel();
                return incomplete(&mut assembly, IncompleteReason::Deadline);
            }
            let Some(reply) = self.read_part(assembly.offset()).await else {
                return incomplete(&mut assembly, IncompleteReason::AgentLost);
            };
            if let ReadBody::Failed(failure) = reply.body {
                return self.on_failure(failure, assembly.offset()).await;
            }
            if !head_sent && reply.head.status != 0 {
                head_sent = true;
                sink.head(&reply.head);
            }
            let (status, running) = (reply.head.status, reply.running);
            let (charge, replayed) = reply.body.charge_and_replayed();
            let Some(part) = reply.body.into_part() else {
                return incomplete(&mut assembly, IncompleteReason::AgentLost);
            };
            let attempt_id = AttemptId {
                request: self.req.request,
                attempt: reply.attempt,
            };
            match assembly.feed(Reply { attempt_id, part }) {
                FeedResult::Waiting | FeedResult::Dropped | FeedResult::ReadAgain(_) => {}
                FeedResult::Bytes(bytes) => {
                    if !sink.bytes(bytes).await {
                        self.cancel();
                        return Ended::CallerLeft;
                    }
                }
                FeedResult::Whole => {
                    observe_load(self.shared, self.upstream, running);
                    self.acknowledge();
                    let bytes = assembly.offset();
                    return Ended::Complete(CompleteAnswer {
                        status,
                        bytes,
                        charge,
                        replayed,
                    });
                }
                FeedResult::Incomplete(reason) => return incomplete(&mut assembly, reason),
            }
        }
    }

    /// Reads the next part of the answer; if the connection timed out or failed, reconnects and reads again from
    /// the same offset.
    async fn read_part(&mut self, offset: u64) -> Option<ReadReply> {
        for _ in 0..=MAX_RECONNECTS {
            let req = ReadRequest {
                answer: self.answer,
                offset,
                max: MAX_READ_BYTES,
                linger: linger(self.shared.links.borrow().in_flight()),
            };
            match self.link.read(req, READ_TIMEOUT).await {
                Ok(reply) => return Some(reply),
                Err(error) => {
                    let upstream = self.upstream.as_str();
                    self.shared.metrics.count_event("answer_reconnects");
                    log::info!(event = "answer_reconnects", upstream, offset, error:% = error; "");
                }
            }
            let in_force = self.shared.follower.in_force()?;
            let addr = in_force.sheet.upstream(self.upstream)?.agent;
            match Link::connect(addr, &self.shared.peer_key, READ_TIMEOUT).await {
                Ok(link) => self.link = Rc::new(link),
                Err(LinkError::Unreachable(_)) => {
                    let now = self.shared.clock.now();
                    self.shared.links.borrow_mut().mark_lost(self.upstream, now);
                    return None;
                }
                Err(_) => {}
            }
        }
        None
    }

    async fn on_failure(&self, failure: Failure, sink_bytes: u64) -> Ended {
        self.acknowledge();
        if failure.crashed {
            links::fetch_crash_reports(self.shared, self.upstream, &self.link).await;
            links::send_crash_reports(self.shared).await;
        }
        Ended::Failed(FailedAttempt {
            refusal: failure.refusal,
            crashed: failure.crashed,
            sink_bytes,
        })
    }

    fn acknowledge(&self) {
        let (link, answer) = (Rc::clone(&self.link), self.answer);
        actix_rt::spawn(async move {
            // If the acknowledgement is lost, the agent keeps the answer until its retention period is over.
            let _ = link.ack(answer, READ_TIMEOUT).await;
        });
    }

    fn cancel(&self) {
        let (link, answer) = (Rc::clone(&self.link), self.answer);
        actix_rt::spawn(async move {
            // If the call is lost, the agent cancels the run after a period without a reader.
            let _ = link.cancel(answer, READ_TIMEOUT).await;
        });
    }
}

fn incomplete(assembly: &mut Assembly, reason: IncompleteReason) -> Ended {
    assembly.abort(reason);
    let refusal = rules::incomplete(reason);
    Ended::Failed(FailedAttempt {
        refusal,
        crashed: false,
        sink_bytes: assembly.offset(),
    })
}

/// Returns how long an agent may collect bytes for one read: 1 ms per request in flight, 40 ms at most.
///
/// A gateway with few requests forwards each token at once. A busy one saves most of its processor time by
/// forwarding several tokens at a time, still within the 75 ms between tokens that callers are promised.
const fn linger(in_flight: u32) -> Millis {
    const MAX_LINGER_MS: u32 = 40;
    Millis(if in_flight < MAX_LINGER_MS {
        in_flight
    } else {
        MAX_LINGER_MS
    } as u64)
}
