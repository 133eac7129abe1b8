//! Processes requests: plan, steps, attempts, rating of answers, ledger and record.

mod job;
mod reservation;
mod sinks;

use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::oneshot;

use super::chat::Chat;
use super::planning::{self, Planning};
use super::quality::{self, AnswerToRate};
use super::rules;
use super::shared::Shared;
use crate::follower::InForce;
use crate::http::Outgoing;
use crate::ids::{AccountId, ClassId, VersionRef, random_u64};
use crate::peer::Target;
use crate::rating::{Ppm, Reach};
use crate::record::{Event, RatingResult, RequestedTarget, accepts, refusal_of};
use crate::refusal::{Code, Refusal, RunStatus};
use crate::route::plan::{Accept, PlanStep, plan};
use crate::sheet::Service;
use crate::units::{Permille, Tokens};

use job::{Job, StepEnd};
use sinks::{BufferSink, ResponseSender, StreamSink};

/// Maximum number of plans for one request; it is planned again when the sheet changes.
const MAX_PLANS: u32 = 3;

/// Request of an authenticated caller.
#[derive(Debug, Clone)]
pub(super) struct CallerRequest {
    pub account: AccountId,
    pub method: String,
    pub path: String,
    pub content_type: String,
    pub body: Bytes,
    pub idempotency_key: Option<String>,
}

/// A chat completion request and the version that its session is pinned to.
#[derive(Debug)]
pub(super) struct ChatRequest {
    pub chat: Chat,
    pub session: Option<VersionRef>,
}

/// Serves a chat completion; returns as soon as the status is known.
pub(super) async fn chat(
    shared: &Rc<Shared>,
    in_force: Rc<InForce>,
    caller_request: CallerRequest,
    chat_request: ChatRequest,
) -> Outgoing {
    let class = match &chat_request.chat.asked {
        RequestedTarget::Class(class) => class.clone(),
        RequestedTarget::Version(_) | RequestedTarget::Service(_) => planning::DIRECT_CLASS.into(),
    };
    let asked = chat_request.chat.asked.clone();
    let (tx, rx) = oneshot::channel();
    let expected = chat_request.chat.expected_tokens;
    let job = match Job::open(shared, in_force, caller_request, class, asked, expected) {
        Ok(job) => job,
        Err(refusal) => return Outgoing::refusal(&refusal),
    };
    actix_rt::spawn(run_chat(job, chat_request, ResponseSender::new(tx)));
    await_response(rx).await
}

/// Serves a call of a plain service; returns as soon as the status is known.
pub(super) async fn service(
    shared: &Rc<Shared>,
    in_force: Rc<InForce>,
    caller_request: CallerRequest,
    service: Service,
) -> Outgoing {
    let class: ClassId = service.id.as_str().into();
    let asked = RequestedTarget::Service(service.id.clone());
    let (tx, rx) = oneshot::channel();
    let job = match Job::open(shared, in_force, caller_request, class, asked, Tokens(0)) {
        Ok(job) => job,
        Err(refusal) => return Outgoing::refusal(&refusal),
    };
    actix_rt::spawn(run_service(job, service, ResponseSender::new(tx)));
    await_response(rx).await
}

async fn await_response(rx: oneshot::Receiver<Outgoing>) -> Outgoing {
    rx.await.unwrap_or_else(|_dropped| {
        let message = "the gateway gave the request up";
        Outgoing::refusal(&Refusal::after_run(
            Code::UpstreamFailed,
            RunStatus::Unknown,
            message,
        ))
    })
}

async fn run_service(mut job: Job, service: Service, response: ResponseSender) {
    job.set_deadline(service.deadline);
    let target = Target::Service(service.id.clone());
    let mut last = None;
    for _ in 0..MAX_PLANS {
        let mut sink = StreamSink::new(response.clone(), &job, None);
        let ended = job.run_step(0, &target, false, None, &mut sink).await;
        if let StepEnd::PlanOutdated = ended {
            if let Err(refusal) = job.reload_sheet_for(&target) {
                last = Some(StepEnd::Refused(refusal));
                break;
            }
            continue;
        }
        last = Some(ended);
        break;
    }
    let ended = last.unwrap_or_else(|| StepEnd::Refused(rules::sheet_changed_too_often()));
    job.finish(ended, &response);
}

async fn run_chat(mut job: Job, chat_request: ChatRequest, response: ResponseSender) {
    let mut ended = StepEnd::Refused(rules::sheet_changed_too_often());
    for _ in 0..MAX_PLANS {
        match plan_and_run(&mut job, &chat_request, &response).await {
            StepEnd::PlanOutdated => {
                if let Err(refusal) = job.reload_sheet() {
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
    job.finish(ended, &response);
}

async fn plan_and_run(
    job: &mut Job,
    chat_request: &ChatRequest,
    response: &ResponseSender,
) -> StepEnd {
    let planned = {
        let account = job.in_force.sheet.account(&job.caller_request.account);
        let Some(account) = account else {
            let message = "the account was removed from the sheet";
            return StepEnd::Refused(Refusal::not_run(Code::Unauthorized, message));
        };
        let session = chat_request.session.clone();
        planning::collect(
            &job.shared,
            &job.in_force,
            account,
            &chat_request.chat,
            session,
        )
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
    let draws = [random_u64(), random_u64(), random_u64(), random_u64()];
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
            let class_target = ClassTarget { class, target };
            run_steps(job, chat_request, &class_target, &plan.steps, response).await
        }
    }
}

/// Class of a request and its quality target.
struct ClassTarget {
    class: ClassId,
    target: Permille,
}

async fn run_steps(
    job: &mut Job,
    chat_request: &ChatRequest,
    class_target: &ClassTarget,
    steps: &[PlanStep],
    response: &ResponseSender,
) -> StepEnd {
    let chat = &chat_request.chat;
    let mut rejected = None;
    for (at, step) in steps.iter().enumerate() {
        let number = u16::try_from(at).unwrap_or(u16::MAX);
        let target = Target::Version(step.version.clone());
        let pinned = chat_request.session.is_some();
        if chat.streamed && steps.len() == 1 {
            let mut sink = StreamSink::new(response.clone(), job, Some(&step.version));
            return job
                .run_step(number, &target, pinned, Some(chat.prefix_hash), &mut sink)
                .await;
        }
        let mut sink = BufferSink::new(response.clone());
        let ended = job
            .run_step(number, &target, pinned, Some(chat.prefix_hash), &mut sink)
            .await;
        let StepEnd::Complete(complete) = ended else {
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
        let answer = AnswerToRate {
            class: class_target.class.clone(),
            version: step.version.clone(),
            reach,
            prompt: chat.prompt.as_str().into(),
            text: quality::completion_text(&sink.body),
        };
        let rated = rate_answer(job, step, complete.status, answer).await;
        let accepted = accepts(step.accept, rated);
        let event = Event::Judged {
            step: number,
            accept: step.accept,
            rated,
            accepted,
        };
        job.events.push(event);
        let body = std::mem::take(&mut sink.body).freeze();
        let buffered = StepEnd::Buffered {
            complete,
            head: sink.head,
            body,
            version: step.version.clone(),
        };
        if accepted {
            let estimate = if at == 0 { step.first } else { step.escalated };
            record_delivered(job, class_target, rated, estimate);
            return buffered;
        }
        rejected = Some(buffered);
    }
    rejected.unwrap_or_else(|| {
        StepEnd::Refused(Refusal::not_run(Code::NoUpstream, "the plan has no step"))
    })
}

/// Records the quality of a delivered answer, so that the class meets its target on average.
fn record_delivered(job: &Job, class_target: &ClassTarget, rated: RatingResult, estimate: Ppm) {
    let quality = match rated {
        RatingResult::Pass => Ppm::ONE,
        RatingResult::Fail => Ppm(0),
        RatingResult::Missing => estimate,
    };
    let table = &mut job.shared.quality.borrow_mut().table;
    table.record_delivered(&class_target.class, class_target.target, quality);
}

async fn rate_answer(
    job: &Job,
    step: &PlanStep,
    status: u16,
    answer: AnswerToRate,
) -> RatingResult {
    if status != 200 {
        return RatingResult::Missing;
    }
    if step.accept == Accept::Final {
        quality::sample(&job.shared, random_u64(), answer);
        return RatingResult::Missing;
    }
    quality::rate(&job.shared, answer).await
}
