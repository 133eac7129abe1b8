//! One attempt of a request at one agent: runs it there and puts its answer together.

use std::rc::Rc;

use actix_rt::time::Instant;
use bytes::Bytes;

use super::links::{self, InFlight};
use super::rules;
use super::shared::Shared;
use crate::ids::UpstreamId;
use crate::ledger::Charge;
use crate::peer::{
    Failure, Head, Link, LinkError, ReadBody, ReadReply, ReadRequest, RunReply, RunRequest,
};
use crate::refusal::{Code, Refusal, RunStatus};
use crate::route::pick::Source as LoadSource;
use crate::stream::{Assembly, FeedResult, IncompleteReason, READ_TIMEOUT, Reply, Source};
use crate::units::Millis;

/// Time for an agent to accept or refuse an attempt.
const RUN_TIMEOUT: Millis = Millis::from_secs(3);

/// Most bytes in one read.
const READ_BYTES: u32 = 64 * 1024;

/// New connections that are tried for an answer whose connection went silent.
const RECONNECTS: u32 = 3;

/// Takes the bytes of an answer as they arrive.
pub(super) trait Sink {
    /// Takes the status line; called once before any bytes.
    fn head(&mut self, head: &Head);
    /// Takes the next bytes; `false` if the caller has left.
    async fn bytes(&mut self, bytes: Bytes) -> bool;
}

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum Ended {
    /// The whole answer was handed to the sink.
    Whole(Whole),
    /// The agent or this gateway holds a newer sheet than the plan, so the decision has to be made again;
    /// nothing ran.
    SheetBehind,
    /// The agent has no free slot and the attempt may not wait; nothing ran.
    Busy,
    /// The agent could not be reached before anything was sent.
    Unreachable(String),
    /// The agent refused it, or it failed.
    Refused(Failed),
    /// The caller left.
    CallerLeft,
}

/// A whole answer.
#[derive(Debug)]
pub(super) struct Whole {
    pub status: u16,
    pub bytes: u64,
    pub charge: Option<Charge>,
    pub replayed: bool,
}

/// An attempt without a whole answer.
#[derive(Debug)]
pub(super) struct Failed {
    pub refusal: Refusal,
    /// Whether the upstream crashed under it.
    pub crashed: bool,
    /// Bytes that were handed to the sink.
    pub handed: u64,
}

impl From<Refusal> for Ended {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(Failed {
            refusal,
            crashed: false,
            handed: 0,
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
    let in_flight = InFlight::new(shared, upstream);
    let end = Instant::now() + req.deadline.duration();
    let answer = match start(shared, upstream, &link, req).await {
        Ok(answer) => answer,
        Err(ended) => return ended,
    };
    let mut pull = Pull {
        shared,
        upstream,
        link,
        req,
        answer,
        end,
    };
    let ended = pull.read(sink).await;
    drop(in_flight);
    ended
}

/// Asks the agent to run the attempt; brings an agent with an older sheet up to date first.
async fn start(
    shared: &Rc<Shared>,
    upstream: &UpstreamId,
    link: &Link,
    req: &RunRequest,
) -> Result<u64, Ended> {
    if !is_current(shared, req) {
        return Err(Ended::SheetBehind);
    }
    let mut reply = link.run(req, RUN_TIMEOUT).await;
    if let Ok(RunReply::Older(_)) = reply {
        shared.follower.announce_to(upstream.as_str());
        links::exchange(shared, upstream, link).await;
        if !is_current(shared, req) {
            return Err(Ended::SheetBehind);
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
            let why = "agent did not take up the sheet in force";
            Err(Refusal::not_run(Code::NoUpstream, why).into())
        }
        Ok(RunReply::Newer(_)) => {
            shared.follower.pull_from(upstream.as_str());
            links::exchange(shared, upstream, link).await;
            Err(Ended::SheetBehind)
        }
        Err(error) => {
            let now = shared.clock.now();
            shared.links.borrow_mut().note_lost(upstream, now);
            Err(match error {
                LinkError::Unreachable(why) => Ended::Unreachable(why),
                error => {
                    let why = format!("agent {upstream} was lost: {error}");
                    Refusal::after_run(Code::UpstreamFailed, RunStatus::Unknown, why).into()
                }
            })
        }
    }
}

/// Takes the load that came with a reply.
fn observe_load(shared: &Shared, upstream: &UpstreamId, running: u32) {
    let now = shared.clock.now();
    let mut links = shared.links.borrow_mut();
    links.observe_load(upstream, running, now, LoadSource::Reply);
}

/// Tells whether the sheet of the plan is still in force here.
///
/// An agent that is behind as well would run the attempt under the sheet of the plan, although a newer one
/// may have withdrawn the version.
fn is_current(shared: &Shared, req: &RunRequest) -> bool {
    shared.follower.revision() == req.revision
}

/// Reads the answer of one accepted attempt.
struct Pull<'a> {
    shared: &'a Rc<Shared>,
    upstream: &'a UpstreamId,
    link: Rc<Link>,
    req: &'a RunRequest,
    answer: u64,
    end: Instant,
}

impl Pull<'_> {
    async fn read(&mut self, sink: &mut impl Sink) -> Ended {
        let attempt = self.req.attempt_number();
        let source = Source {
            request: self.req.request,
            attempt,
        };
        let mut assembly = Assembly::open(source);
        let mut head_given = false;
        loop {
            if Instant::now() >= self.end {
                self.cancel();
                return incomplete(&mut assembly, IncompleteReason::Deadline);
            }
            let Some(reply) = self.next(assembly.offset()).await else {
                return incomplete(&mut assembly, IncompleteReason::AgentLost);
            };
            if let ReadBody::Failed(failure) = reply.body {
                return self.failed(failure, assembly.offset()).await;
            }
            if !head_given && reply.head.status != 0 {
                head_given = true;
                sink.head(&reply.head);
            }
            let (status, running) = (reply.head.status, reply.running);
            let (charge, replayed) = reply.body.settled();
            let Some(part) = reply.body.into_part() else {
                return incomplete(&mut assembly, IncompleteReason::AgentLost);
            };
            let source = Source {
                request: self.req.request,
                attempt: reply.attempt,
            };
            match assembly.feed(Reply { source, part }) {
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
                    return Ended::Whole(Whole {
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

    /// Reads once; replaces a connection that went silent or broke and reads again from the offset.
    async fn next(&mut self, offset: u64) -> Option<ReadReply> {
        for _ in 0..=RECONNECTS {
            let req = ReadRequest {
                answer: self.answer,
                offset,
                max: READ_BYTES,
                linger: linger(self.shared.links.borrow().in_flight()),
            };
            match self.link.read(req, READ_TIMEOUT).await {
                Ok(reply) => return Some(reply),
                Err(error) => {
                    let upstream = self.upstream.as_str();
                    self.shared.metrics.event("answer_reconnects");
                    log::info!(event = "answer_reconnects", upstream, offset, error:% = error; "");
                }
            }
            let in_force = self.shared.follower.in_force()?;
            let addr = in_force.sheet.upstream(self.upstream)?.agent;
            match Link::connect(addr, &self.shared.peer_key, READ_TIMEOUT).await {
                Ok(link) => self.link = Rc::new(link),
                Err(LinkError::Unreachable(_)) => {
                    let now = self.shared.clock.now();
                    self.shared.links.borrow_mut().note_lost(self.upstream, now);
                    return None;
                }
                Err(_) => {}
            }
        }
        None
    }

    async fn failed(&self, failure: Failure, handed: u64) -> Ended {
        self.acknowledge();
        if failure.crashed {
            links::fetch_suspects(self.shared, self.upstream, &self.link).await;
            links::spread_suspects(self.shared).await;
        }
        Ended::Refused(Failed {
            refusal: failure.refusal,
            crashed: failure.crashed,
            handed,
        })
    }

    fn acknowledge(&self) {
        let (link, answer) = (Rc::clone(&self.link), self.answer);
        actix_rt::spawn(async move {
            // Without the acknowledgement the agent keeps the answer until its time is over.
            let _ = link.ack(answer, READ_TIMEOUT).await;
        });
    }

    fn cancel(&self) {
        let (link, answer) = (Rc::clone(&self.link), self.answer);
        actix_rt::spawn(async move {
            // Without the call the agent ends the run once no reader has been seen for a while.
            let _ = link.cancel(answer, READ_TIMEOUT).await;
        });
    }
}

fn incomplete(assembly: &mut Assembly, reason: IncompleteReason) -> Ended {
    assembly.abort(reason);
    let refusal = rules::incomplete(reason);
    Ended::Refused(Failed {
        refusal,
        crashed: false,
        handed: assembly.offset(),
    })
}

/// Returns how long an agent may collect bytes for one read: 1 ms for each request in flight, 40 ms at most.
///
/// A gateway with few requests passes each token on at once. A busy one saves most of its processor time by
/// passing on several at a time, still within the 75 ms between tokens that callers are promised.
const fn linger(in_flight: u32) -> Millis {
    const LONGEST: u32 = 40;
    Millis(if in_flight < LONGEST {
        in_flight
    } else {
        LONGEST
    } as u64)
}
