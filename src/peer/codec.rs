//! Conversion between typed messages and their Cap'n Proto form.

use bytes::Bytes;

use super::message::{Failure, Head, ReadBody, ReadReply, RunReply, RunRequest, Status, Target};
use super::peer_capnp as wire;
use crate::ids::{Incarnation, RequestId};
use crate::refusal::{Code, Refusal, RunStatus};
use crate::units::Millis;

type Result<T> = std::result::Result<T, capnp::Error>;

fn invalid(what: &str) -> capnp::Error {
    capnp::Error::failed(format!("{what} is not valid"))
}

fn text(reader: capnp::text::Reader<'_>) -> Result<String> {
    Ok(reader.to_str().map_err(|_utf8| invalid("text"))?.to_owned())
}

fn incarnation(bytes: &[u8]) -> Result<Incarnation> {
    let bytes = <[u8; 16]>::try_from(bytes).map_err(|_length| invalid("incarnation"))?;
    Ok(Incarnation(u128::from_be_bytes(bytes)))
}

const fn put_run_status(ran: RunStatus) -> wire::Ran {
    match ran {
        RunStatus::NotRun => wire::Ran::NotRun,
        RunStatus::Ran => wire::Ran::Ran,
        RunStatus::Unknown => wire::Ran::Unknown,
    }
}

const fn get_run_status(ran: wire::Ran) -> RunStatus {
    match ran {
        wire::Ran::NotRun => RunStatus::NotRun,
        wire::Ran::Ran => RunStatus::Ran,
        wire::Ran::Unknown => RunStatus::Unknown,
    }
}

fn put_refusal(mut to: wire::refusal::Builder<'_>, refusal: &Refusal) {
    to.set_ran(put_run_status(refusal.ran));
    to.set_code(refusal.code.as_str());
    to.set_message(&refusal.message);
    to.set_retry_after_ms(refusal.retry_after.unwrap_or_default().0);
    to.set_resend_safe(refusal.resend_safe);
}

fn get_refusal(from: wire::refusal::Reader<'_>) -> Result<Refusal> {
    let code = text(from.get_code()?)?;
    let code = Code::ALL
        .iter()
        .find(|candidate| candidate.as_str() == code)
        .copied();
    let retry_after = Millis(from.get_retry_after_ms());
    Ok(Refusal {
        code: code.ok_or_else(|| invalid("refusal code"))?,
        ran: get_run_status(from.get_ran().map_err(capnp::Error::from)?),
        message: text(from.get_message()?)?,
        retry_after: (retry_after != Millis(0)).then_some(retry_after),
        resend_safe: from.get_resend_safe(),
    })
}

pub(super) fn put_run_request(mut to: wire::run_request::Builder<'_>, req: &RunRequest) {
    to.set_gateway(&req.request.gateway.0.to_be_bytes());
    to.set_seq(req.request.seq);
    to.set_step(req.step);
    to.set_attempt(req.attempt);
    to.set_account(req.account.as_str());
    to.set_class(req.class.as_str());
    match &req.target {
        Target::Version(version) => to.set_version(version.to_string()),
        Target::Service(service) => to.set_service(service.as_str()),
    }
    to.set_pinned(req.pinned);
    to.set_method(&req.method);
    to.set_path(&req.path);
    to.set_content_type(&req.content_type);
    to.set_body(&req.body);
    to.set_idempotency_key(req.idempotency_key.as_deref().unwrap_or_default());
    to.set_idempotent(req.idempotent);
    to.set_wait(req.wait);
    to.set_deadline_ms(req.deadline.0);
    to.set_revision(req.revision);
}

pub(super) fn get_run_request(from: wire::run_request::Reader<'_>) -> Result<RunRequest> {
    let gateway = incarnation(from.get_gateway()?)?;
    let version = text(from.get_version()?)?;
    let target = if version.is_empty() {
        Target::Service(text(from.get_service()?)?.into())
    } else {
        Target::Version(version.parse().map_err(|_version| invalid("version"))?)
    };
    let key = text(from.get_idempotency_key()?)?;
    Ok(RunRequest {
        request: RequestId {
            gateway,
            seq: from.get_seq(),
        },
        step: from.get_step(),
        attempt: from.get_attempt(),
        account: text(from.get_account()?)?.into(),
        class: text(from.get_class()?)?.into(),
        target,
        pinned: from.get_pinned(),
        method: text(from.get_method()?)?,
        path: text(from.get_path()?)?,
        content_type: text(from.get_content_type()?)?,
        body: Bytes::copy_from_slice(from.get_body()?),
        idempotency_key: (!key.is_empty()).then_some(key),
        idempotent: from.get_idempotent(),
        wait: from.get_wait(),
        deadline: Millis(from.get_deadline_ms()),
        revision: from.get_revision(),
    })
}

pub(super) fn put_run_reply(mut to: wire::run_reply::Builder<'_>, reply: &RunReply) {
    match reply {
        RunReply::Accepted(answer) => to.init_accepted().set_answer(*answer),
        RunReply::Refused(refusal) => put_refusal(to.init_refused(), refusal),
        RunReply::Older(revision) => to.set_older(*revision),
        RunReply::Newer(revision) => to.set_newer(*revision),
        RunReply::Busy(running) => to.set_busy(*running),
    }
}

pub(super) fn get_run_reply(from: wire::run_reply::Reader<'_>) -> Result<RunReply> {
    use wire::run_reply::Which;
    Ok(match from.which().map_err(capnp::Error::from)? {
        Which::Accepted(accepted) => RunReply::Accepted(accepted?.get_answer()),
        Which::Refused(refusal) => RunReply::Refused(get_refusal(refusal?)?),
        Which::Older(revision) => RunReply::Older(revision),
        Which::Newer(revision) => RunReply::Newer(revision),
        Which::Busy(running) => RunReply::Busy(running),
    })
}

pub(super) fn put_read_reply(mut to: wire::read_reply::Builder<'_>, reply: &ReadReply) {
    let mut head = to.reborrow().init_head();
    head.set_status(reply.head.status);
    head.set_content_type(&reply.head.content_type);
    to.set_attempt(reply.attempt);
    to.set_running(reply.running);
    match &reply.body {
        ReadBody::Pending => to.set_pending(()),
        ReadBody::Chunk { offset, bytes } => {
            let mut chunk = to.init_chunk();
            chunk.set_offset(*offset);
            chunk.set_bytes(bytes);
        }
        ReadBody::End {
            length,
            digest,
            charge,
            replayed,
        } => {
            let mut end = to.init_end();
            end.set_length(*length);
            end.set_digest(digest);
            end.set_charge(charge);
            end.set_replayed(*replayed);
        }
        ReadBody::Failed(failure) => {
            let mut failed = to.init_failed();
            failed.set_crashed(failure.crashed);
            failed.set_offset(failure.offset);
            put_refusal(failed.init_refusal(), &failure.refusal);
        }
        ReadBody::Gone => to.set_gone(()),
    }
}

pub(super) fn get_read_reply(from: wire::read_reply::Reader<'_>) -> Result<ReadReply> {
    use wire::read_reply::Which;
    let head = from.get_head()?;
    let head = Head {
        status: head.get_status(),
        content_type: text(head.get_content_type()?)?,
    };
    let body = match from.which().map_err(capnp::Error::from)? {
        Which::Pending(()) => ReadBody::Pending,
        Which::Gone(()) => ReadBody::Gone,
        Which::Chunk(chunk) => {
            let chunk = chunk?;
            let bytes = Bytes::copy_from_slice(chunk.get_bytes()?);
            ReadBody::Chunk {
                offset: chunk.get_offset(),
                bytes,
            }
        }
        Which::End(end) => {
            let end = end?;
            ReadBody::End {
                length: end.get_length(),
                digest: end
                    .get_digest()?
                    .try_into()
                    .map_err(|_length| invalid("digest"))?,
                charge: Bytes::copy_from_slice(end.get_charge()?),
                replayed: end.get_replayed(),
            }
        }
        Which::Failed(failed) => {
            let failed = failed?;
            ReadBody::Failed(Failure {
                refusal: get_refusal(failed.get_refusal()?)?,
                crashed: failed.get_crashed(),
                offset: failed.get_offset(),
            })
        }
    };
    Ok(ReadReply {
        head,
        running: from.get_running(),
        attempt: from.get_attempt(),
        body,
    })
}

pub(super) fn put_status(mut to: wire::status::Builder<'_>, status: &Status) {
    to.set_name(&status.name);
    to.set_incarnation(&status.incarnation.0.to_be_bytes());
    to.set_revision(status.revision);
    to.set_leaving(status.leaving);
    to.set_running(status.running);
    to.set_flushed(&status.flushed);
    to.set_suspects(&status.suspects);
}

pub(super) fn get_status(from: wire::status::Reader<'_>) -> Result<Status> {
    Ok(Status {
        name: text(from.get_name()?)?,
        incarnation: incarnation(from.get_incarnation()?)?,
        revision: from.get_revision(),
        leaving: from.get_leaving(),
        running: from.get_running(),
        flushed: Bytes::copy_from_slice(from.get_flushed()?),
        suspects: Bytes::copy_from_slice(from.get_suspects()?),
    })
}
