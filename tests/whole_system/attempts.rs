//! One attempt at an agent; the code around the library follows `src/gateway/attempt.rs`.

use std::rc::Rc;

use fireflywind::gateway::rules;
use fireflywind::ids::UpstreamId;
use fireflywind::ledger::Charge;
use fireflywind::peer::{LinkError, ReadBody, ReadReply, RunReply, RunRequest};
use fireflywind::refusal::{Code, Refusal, RunStatus};
use fireflywind::stream::{Assembly, AttemptId, FeedResult, IncompleteReason, READ_TIMEOUT, Reply};
use fireflywind::units::Millis;

use super::callers::Transcript;
use super::gateway::slot_of;
use super::jobs::Job;
use super::network::{Conn, Delivery, connect};

/// Time within which an agent must accept or refuse an attempt.
const RUN_TIMEOUT: Millis = Millis::from_secs(3);

/// Maximum number of bytes in one read; small, so that answers take several reads.
const MAX_READ_BYTES: u32 = 48;

/// Number of reconnects for an answer whose connection broke or became unresponsive.
const MAX_RECONNECTS: u32 = 3;

pub enum AttemptEnd {
    Whole(CompleteAnswer),
    SheetBehind,
    Failed { refusal: Refusal, crashed: bool },
}

impl From<Refusal> for AttemptEnd {
    fn from(refusal: Refusal) -> Self {
        let crashed = false;
        Self::Failed { refusal, crashed }
    }
}

pub struct CompleteAnswer {
    pub charge: Option<Charge>,
    pub replayed: bool,
}

/// Where the bytes of an answer go.
pub enum Sink {
    Stream { to: Rc<Transcript>, head: bool },
    Buffer(Vec<u8>),
}

impl Sink {
    fn head(&mut self) {
        if let Self::Stream { head, .. } = self {
            *head = true;
        }
    }

    fn bytes(&mut self, bytes: &[u8]) {
        match self {
            Self::Stream { to, .. } => to.bytes.borrow_mut().extend_from_slice(bytes),
            Self::Buffer(buf) => buf.extend_from_slice(bytes),
        }
    }

    /// Discards what has been received; returns `false` if the caller already has the status line.
    pub fn restart(&mut self) -> bool {
        match self {
            Self::Stream { head, .. } => !*head,
            Self::Buffer(buf) => {
                buf.clear();
                true
            }
        }
    }
}

impl Job {
    pub async fn attempt(
        &self,
        upstream: &UpstreamId,
        req: &RunRequest,
        sink: &mut Sink,
    ) -> AttemptEnd {
        let Some(conn) = self.gateway.conn(upstream) else {
            return Refusal::not_run(Code::NoUpstream, "no connection to the agent").into();
        };
        let end = self.gateway.proc.env.now() + req.deadline;
        match self.start(upstream, &conn, req).await {
            Ok(answer) => self.read(upstream, conn, req, answer, end, sink).await,
            Err(ended) => ended,
        }
    }

    async fn ask_to_run(&self, conn: &Rc<Conn>, req: &RunRequest) -> Result<RunReply, LinkError> {
        let own = self.gateway.follower().revision();
        self.gateway.proc.env.oracle.record_sent(req, own);
        let req = req.clone();
        let call = conn.call(Delivery::Once, RUN_TIMEOUT, move |agent| {
            let req = req.clone();
            async move { agent.run(req) }
        });
        call.await
    }

    fn is_current(&self, req: &RunRequest) -> bool {
        self.gateway.follower().revision() == req.revision
    }

    /// Asks the agent to run the attempt; an agent with an older sheet is sent the newer one and asked again.
    async fn start(
        &self,
        upstream: &UpstreamId,
        conn: &Rc<Conn>,
        req: &RunRequest,
    ) -> Result<u64, AttemptEnd> {
        let gateway = &self.gateway;
        if !self.is_current(req) {
            return Err(AttemptEnd::SheetBehind);
        }
        let mut reply = self.ask_to_run(conn, req).await;
        if let Ok(RunReply::Older(_)) = reply {
            gateway.follower().announce_to(upstream.as_str());
            gateway.exchange(upstream, conn).await;
            if !self.is_current(req) {
                return Err(AttemptEnd::SheetBehind);
            }
            reply = self.ask_to_run(conn, req).await;
        }
        match reply {
            Ok(RunReply::Accepted(answer)) => Ok(answer),
            Ok(RunReply::Refused(refusal)) => Err(refusal.into()),
            // Not expected: the attempts of this test all set `wait`.
            Ok(RunReply::Busy(_)) => Err(Refusal::not_run(Code::Overloaded, "busy").into()),
            Ok(RunReply::Older(_)) => {
                Err(Refusal::not_run(Code::NoUpstream, "agent did not take up the sheet").into())
            }
            Ok(RunReply::Newer(_)) => {
                gateway.follower().pull_from(upstream.as_str());
                gateway.exchange(upstream, conn).await;
                Err(AttemptEnd::SheetBehind)
            }
            Err(error) => {
                gateway.record_unreachable(upstream);
                Err(match error {
                    LinkError::Unreachable(why) => Refusal::not_run(Code::NoUpstream, why),
                    error => Refusal::after_run(
                        Code::UpstreamFailed,
                        RunStatus::Unknown,
                        format!("agent {upstream} was lost: {error}"),
                    ),
                }
                .into())
            }
        }
    }

    /// Reads the answer of an accepted attempt.
    async fn read(
        &self,
        upstream: &UpstreamId,
        mut conn: Rc<Conn>,
        req: &RunRequest,
        answer: u64,
        end: Millis,
        sink: &mut Sink,
    ) -> AttemptEnd {
        let request = req.request;
        let source = |attempt| AttemptId { request, attempt };
        let mut assembly = Assembly::open(source(req.attempt_number()));
        let mut has_head = false;
        loop {
            if self.gateway.proc.env.now() >= end {
                Self::acknowledge(&conn, answer);
                return incomplete(&mut assembly, IncompleteReason::Deadline);
            }
            let read = self.next(upstream, &mut conn, answer, assembly.offset());
            let Some(reply) = read.await else {
                return incomplete(&mut assembly, IncompleteReason::AgentLost);
            };
            if let ReadBody::Failed(failure) = reply.body {
                Self::acknowledge(&conn, answer);
                if failure.crashed {
                    self.gateway.broadcast_suspects(upstream, &conn).await;
                }
                let (refusal, crashed) = (failure.refusal, failure.crashed);
                return AttemptEnd::Failed { refusal, crashed };
            }
            if !has_head && reply.head.status != 0 {
                has_head = true;
                sink.head();
            }
            let (charge, replayed) = reply.body.charge_and_replayed();
            let Some(part) = reply.body.into_part() else {
                return incomplete(&mut assembly, IncompleteReason::AgentLost);
            };
            let source = source(reply.attempt);
            match assembly.feed(Reply {
                attempt_id: source,
                part,
            }) {
                FeedResult::Waiting | FeedResult::Dropped | FeedResult::ReadAgain(_) => {}
                FeedResult::Bytes(bytes) => sink.bytes(&bytes),
                FeedResult::Whole => {
                    Self::acknowledge(&conn, answer);
                    return AttemptEnd::Whole(CompleteAnswer { charge, replayed });
                }
                FeedResult::Incomplete(reason) => return incomplete(&mut assembly, reason),
            }
        }
    }

    /// Reads once. If the connection broke or became unresponsive, reconnects and reads again from the offset.
    async fn next(
        &self,
        upstream: &UpstreamId,
        conn: &mut Rc<Conn>,
        answer: u64,
        offset: u64,
    ) -> Option<ReadReply> {
        for _ in 0..=MAX_RECONNECTS {
            let read = conn.call(Delivery::Repeated, READ_TIMEOUT, move |agent| async move {
                agent.read(answer, offset, MAX_READ_BYTES).await
            });
            if let Ok(reply) = read.await {
                return Some(reply);
            }
            let proc = &self.gateway.proc;
            let Ok(new) = connect(proc, slot_of(upstream), READ_TIMEOUT).await else {
                self.gateway.record_unreachable(upstream);
                return None;
            };
            *conn = new;
        }
        None
    }

    fn acknowledge(conn: &Rc<Conn>, answer: u64) {
        let conn = Rc::clone(conn);
        tokio::task::spawn_local(async move {
            let acknowledged =
                conn.call(Delivery::Repeated, READ_TIMEOUT, move |agent| async move {
                    agent.acknowledge(answer);
                });
            // Without the acknowledgement, the agent keeps the answer until its retention time has passed.
            let _ = acknowledged.await;
        });
    }
}

fn incomplete(assembly: &mut Assembly, reason: IncompleteReason) -> AttemptEnd {
    assembly.abort(reason);
    rules::incomplete(reason).into()
}
