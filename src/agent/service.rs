//! Runs calls on a plain service.

use std::rc::Rc;

use actix_http::Method;
use actix_http::header::{HeaderName, HeaderValue};
use bytes::{Bytes, BytesMut};

use super::answers::Answer;
use super::shared::{Client, Shared};
use super::slots::{SlotRequest, no_slot};
use super::{price, refusals};
use crate::follower::InForce;
use crate::ledger::Charge;
use crate::peer::{RunRequest, Target};
use crate::refusal::{Code, Refusal, RunStatus};
use crate::upstream::UpstreamError;
use crate::upstream::exchange::{Request, Response};

/// Maximum size of the answer to a keyed call, in bytes; it is held in memory until its outcome is stored.
pub(super) const MAX_KEYED_ANSWER_BYTES: usize = 8 << 20;

/// Lowest HTTP status that counts as a failure of the call; failed calls are not charged.
const FIRST_ERROR_STATUS: u16 = 400;

/// Runs an idempotent call and streams its answer.
pub(super) async fn run(
    shared: Rc<Shared>,
    answer: Rc<Answer>,
    in_force: Rc<InForce>,
    slot_request: SlotRequest,
    req: RunRequest,
) {
    let work = pass_through(&shared, &answer, &in_force, slot_request, &req);
    let ended = tokio::select! {
        ended = work => ended,
        () = answer.cancelled() => Err(interrupted(Code::UpstreamFailed, "call was cancelled")),
        () = actix_rt::time::sleep(req.deadline.duration()) => {
            Err(interrupted(Code::DeadlineExceeded, "deadline passed before the end of the answer"))
        }
    };
    if let Err(refusal) = ended {
        answer.fail(refusal, false);
    }
}

fn interrupted(code: Code, why: &str) -> Refusal {
    Refusal::after_run(code, RunStatus::Unknown, why).resend_safe()
}

async fn pass_through(
    shared: &Shared,
    answer: &Answer,
    in_force: &InForce,
    slot_request: SlotRequest,
    req: &RunRequest,
) -> Result<(), Refusal> {
    let Some(_slot) = slot_request.wait().await else {
        return Err(no_slot());
    };
    shared.recheck_admission(in_force, req)?;
    let mut response = send(shared, req)
        .await
        .map_err(|error| refusals::service(&error).resend_safe())?;
    let status = response.status.as_u16();
    answer.set_head(status, &content_type(&response));
    loop {
        match response.body.next().await {
            Ok(Some(bytes)) => answer.append(bytes).await,
            Ok(None) => break,
            Err(error) => return Err(refusals::service(&error).resend_safe()),
        }
    }
    let charge = charge(shared, in_force, req, status);
    answer.complete(charge.as_ref(), false);
    Ok(())
}

/// Returns the charge of a call that ended with `status`, and adds it to the held charges; `None` if the call
/// is not charged.
pub(super) fn charge(
    shared: &Shared,
    in_force: &InForce,
    req: &RunRequest,
    status: u16,
) -> Option<Charge> {
    let Target::Service(service) = &req.target else {
        return None;
    };
    if status >= FIRST_ERROR_STATUS {
        return None;
    }
    let charge = price::call(&in_force.sheet, req, service)?;
    let now = shared.clock.now();
    shared.held_charges.borrow_mut().hold(charge.clone(), now);
    Some(charge)
}

/// A complete response of the service.
pub(super) struct CompleteResponse {
    pub status: u16,
    pub content_type: String,
    pub body: Bytes,
}

/// Runs a call and reads its complete response.
pub(super) async fn call(
    shared: &Shared,
    req: &RunRequest,
) -> Result<CompleteResponse, UpstreamError> {
    let mut response = send(shared, req).await?;
    let mut body = BytesMut::new();
    while let Some(bytes) = response.body.next().await? {
        if body.len() + bytes.len() > MAX_KEYED_ANSWER_BYTES {
            let why = format!("answer is over {MAX_KEYED_ANSWER_BYTES} bytes");
            return Err(UpstreamError::Invalid(why));
        }
        body.extend_from_slice(&bytes);
    }
    let content_type = content_type(&response);
    Ok(CompleteResponse {
        status: response.status.as_u16(),
        content_type,
        body: body.freeze(),
    })
}

async fn send(shared: &Shared, req: &RunRequest) -> Result<Response, UpstreamError> {
    let Client::Service(service) = &shared.client else {
        return Err(UpstreamError::NotSent(
            "upstream is no plain service".to_owned(),
        ));
    };
    let method: Method = req
        .method
        .parse()
        .map_err(|_method| UpstreamError::NotSent(format!("method {:?}", req.method)))?;
    let named = [
        (
            "content-type",
            Some(req.content_type.as_str()).filter(|v| !v.is_empty()),
        ),
        ("idempotency-key", req.idempotency_key.as_deref()),
        ("fireflywind-account", Some(req.account.as_str())),
    ];
    let headers = named.into_iter().filter_map(|(name, value)| {
        let value = HeaderValue::from_str(value?).ok()?;
        Some((HeaderName::from_static(name), value))
    });
    let request = Request {
        method,
        target: req.path.clone(),
        headers: headers.collect(),
        body: req.body.clone(),
    };
    service.call(request).await
}

fn content_type(response: &Response) -> String {
    let value = response.headers.get("content-type");
    value
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
