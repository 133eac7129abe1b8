//! Processes requests: plan, steps, attempts, rating of answers, ledger and record.

mod job;
mod limited;
mod sinks;

use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::oneshot;

use super::chat::Chat;
use super::planning::{self, Planning};
use super::quality::{self, Answered};
use super::rules;
use super::shared::Shared;
use crate::follower::InForce;
use crate::http::Outgoing;
use crate::ids::{AccountId, ClassId, VersionRef, draw};
use crate::peer::Target;
use crate::rating::{Ppm, Reach};
use crate::record::{Event, RatingResult, RequestedTarget, accepts, refusal_of};
use crate::refusal::{Code, Refusal, RunStatus};
use crate::route::plan::{Accept, PlanStep, plan};
use crate::sheet::Service;
use crate::units::{Permille, Tokens};

use job::{Job, StepEnd};
use sinks::{Buffer, Reply, Stream};

/// Maximum number of plans for one request; it is planned again when the sheet changes.
const MAX_PLANS: u32 = 3;

/// Request of an authenticated caller.
#[derive(Debug, Clone)]
pub(super) struct Ask {
    pub account: AccountId,
    pub method: String,
    pub path: String,
    pub content_type: String,
    pub body: Bytes,
    pub idempotency_key: Option<String>,
}

/// A chat completion request and the version that its session is pinned to.
#[derive(Debug)]
pub(super) struct Chatting {
    pub chat: Chat,
    pub session: Option<VersionRef>,
}

/// Serves a chat completion; returns as soon as the status is known.
pub(super) async fn chat(
    shared: &Rc<Shared>,
    in_force: Rc<InForce>,
    ask: Ask,
    chatting: Chatting,
) -> Outgoing {
    let class = match &chatting.chat.asked {
        RequestedTarget::Class(class) => class.clone(),
        RequestedTarget::Version(_) | RequestedTarget::Service(_) => planning::DIRECT.into(),
    };
    let asked = chatting.chat.asked.clone();
    let (tx, rx) = oneshot::channel();
    let expected = chatting.chat.expected_tokens;
    let job = match Job::open(shared, in_force, ask, class, asked, expected) {
        Ok(job) => job,
        Err(refusal) => return Outgoing::refusal(&refusal),
    };
    actix_rt::spawn(run_chat(job, chatting, Reply::new(tx)));
    answer(rx).await
}

/// Serves a call of a plain service; returns as soon as the status is known.
pub(super) async fn service(
    shared: &Rc<Shared>,
    in_force: Rc<InForce>,
    ask: Ask,
    service: Service,
) -> Outgoing {
    let class: ClassId = service.id.as_str().into();
    let asked = RequestedTarget::Service(service.id.clone());
    let (tx, rx) = oneshot::channel();
    let job = match Job::open(shared, in_force, ask, class, asked, Tokens(0)) {
        Ok(job) => job,
        Err(refusal) => return Outgoing::refusal(&refusal),
    };
    actix_rt::spawn(run_service(job, service, Reply::new(tx)));
    answer(rx).await
}

async fn answer(rx: oneshot::Receiver<Outgoing>) -> Outgoing {
    rx.await.unwrap_or_else(|_dropped| {
        let why = "the gateway gave the request up";
        Outgoing::refusal(&Refusal::after_run(
            Code::UpstreamFailed,
            RunStatus::Unknown,
            why,
        ))
    })
}

async fn run_service(mut job: Job, service: Service, reply: Reply) {
    job.set_deadline(service.deadline);
    let target = Target::Service(service.id.clone());
    let mut last = None;
    for _ in 0..MAX_PLANS {
        let mut sink = Stream::new(reply.clone(), &job, None);
        let ended = job.step(0, &target, false, None, &mut sink).await;
        if let StepEnd::SheetBehind = ended {
            if let Err(refusal) = job.refresh(&target) {
                last = Some(StepEnd::Refused(refusal));
                break;
            }
            continue;
        }
        last = Some(ended);
        break;
    }
    let ended = last.unwrap_or_else(|| StepEnd::Refused(rules::sheet_changes()));
    job.finish(ended, &reply);
}

async fn run_chat(mut job: Job, chatting: Chatting, reply: Reply) {
    let mut ended = StepEnd::Refused(rules::sheet_changes());
    for _ in 0..MAX_PLANS {
        match chat_once(&mut job, &chatting, &reply).await {
            StepEnd::SheetBehind => {
                if let Err(refusal) = job.renew() {
                    ended = StepEnd::Refused(refusal);
                    break;
                }
            }
            other => {
                ended = other;
                break;
            }
        }
    }
    job.finish(ended, &reply);
}

async fn chat_once(job: &mut Job, chatting: &Chatting, reply: &Reply) -> StepEnd {
    let planned = {
        let account = job.in_force.sheet.account(&job.ask.account);
        let Some(account) = account else {
            let why = "the account was removed from the sheet";
            return StepEnd::Refused(Refusal::not_run(Code::Unauthorized, why));
        };
        let session = chatting.session.clone();
        planning::collect(&job.shared, &job.in_force, account, &chatting.chat, session)
    };
    let Planning {
        class,
        deadline,
        input,
    } = match planned {
        Ok(planning) => planning,
        Err(refusal) => return StepEnd::Refused(refusal),
    };
    job.set_deadline(deadline);
    let target = input.quality_target;
    let draws = [draw(), draw(), draw(), draw()];
    let result = plan(&input, draws);
    let event = Event::Planned {
        input: Box::new(input),
        draws,
        result: result.clone(),
    };
    job.events.push(event);
    match result {
        Err(error) => StepEnd::Refused(refusal_of(&error)),
        Ok(plan) => {
            let quality = Quality { class, target };
            run_steps(job, chatting, &quality, &plan.steps, reply).await
        }
    }
}

/// Class of a request and its quality target.
struct Quality {
    class: ClassId,
    target: Permille,
}

async fn run_steps(
    job: &mut Job,
    chatting: &Chatting,
    quality: &Quality,
    steps: &[PlanStep],
    reply: &Reply,
) -> StepEnd {
    let chat = &chatting.chat;
    let mut rejected = None;
    for (at, step) in steps.iter().enumerate() {
        let number = u16::try_from(at).unwrap_or(u16::MAX);
        let target = Target::Version(step.version.clone());
        let pinned = chatting.session.is_some();
        if chat.streamed && steps.len() == 1 {
            let mut sink = Stream::new(reply.clone(), job, Some(&step.version));
            return job
                .step(number, &target, pinned, Some(chat.prefix), &mut sink)
                .await;
        }
        let mut sink = Buffer::new(reply.clone());
        let ended = job
            .step(number, &target, pinned, Some(chat.prefix), &mut sink)
            .await;
        let StepEnd::Whole(whole) = ended else {
            // The rejected answer of an earlier step is better than none.
            return match (rejected, ended) {
                (Some(earlier), StepEnd::Refused(_)) => earlier,
                (_, ended) => ended,
            };
        };
        let reach = if at == 0 {
            Reach::First
        } else {
            Reach::Escalated
        };
        let answered = Answered {
            class: quality.class.clone(),
            version: step.version.clone(),
            reach,
            prompt: chat.prompt.as_str().into(),
            text: quality::text_of(&sink.body),
        };
        let rated = judge(job, step, whole.status, answered).await;
        let accepted = accepts(step.accept, rated);
        let event = Event::Judged {
            step: number,
            accept: step.accept,
            rated,
            accepted,
        };
        job.events.push(event);
        let body = std::mem::take(&mut sink.body).freeze();
        let given = StepEnd::Buffered {
            whole,
            head: sink.head,
            body,
            version: step.version.clone(),
        };
        if accepted {
            let unrated = if at == 0 { step.first } else { step.escalated };
            note_returned(job, quality, rated, unrated);
            return given;
        }
        rejected = Some(given);
    }
    rejected.unwrap_or_else(|| {
        StepEnd::Refused(Refusal::not_run(Code::NoUpstream, "the plan has no step"))
    })
}

/// Records the quality of a delivered answer, so that the class meets its target on average.
fn note_returned(job: &Job, of: &Quality, rated: RatingResult, unrated: Ppm) {
    let quality = match rated {
        RatingResult::Pass => Ppm::ONE,
        RatingResult::Fail => Ppm(0),
        RatingResult::Missing => unrated,
    };
    let table = &mut job.shared.quality.borrow_mut().table;
    table.record_delivered(&of.class, of.target, quality);
}

async fn judge(job: &Job, step: &PlanStep, status: u16, answered: Answered) -> RatingResult {
    if status != 200 {
        return RatingResult::Missing;
    }
    if step.accept == Accept::Final {
        quality::sample(&job.shared, draw(), answered);
        return RatingResult::Missing;
    }
    quality::rate(&job.shared, answered).await
}
