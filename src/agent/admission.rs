//! Pure functions that admit requests against the sheet in force.

use crate::idempotency::IdempotencyKey;
use crate::ids::UpstreamId;
use crate::peer::{RunRequest, Target};
use crate::refusal::{Code, Refusal};
use crate::sheet::{Sheet, UpstreamKind, VersionState};

/// Checks a request against a sheet and returns the upstream's number of slots.
///
/// The gateway has made the same checks against the same revision. The agent repeats them because all requests
/// to the upstream go through it, so the guarantees rest on its decision.
///
/// # Errors
/// The [`Refusal`] of a request that must not run here.
pub fn admit(sheet: &Sheet, upstream: &UpstreamId, req: &RunRequest) -> Result<u32, Refusal> {
    let refuse = |code, why: String| Err(Refusal::not_run(code, why));
    let Some(account) = sheet.account(&req.account) else {
        return refuse(
            Code::Forbidden,
            format!("account {} does not exist", req.account),
        );
    };
    let Some(entry) = sheet.upstream(upstream) else {
        return refuse(
            Code::NoUpstream,
            format!("upstream {upstream} is not in the sheet"),
        );
    };
    match (&req.target, &entry.serves) {
        (Target::Version(version), UpstreamKind::Engine { versions, slots }) => {
            if account.allow.binary_search(version).is_err() {
                let why = format!("account {} may not use {version}", account.id);
                return refuse(Code::Forbidden, why);
            }
            match sheet.version(version).map(|v| v.state) {
                Some(VersionState::Serving) => {}
                Some(VersionState::Draining) if req.pinned => {}
                Some(VersionState::Draining) => {
                    let why = format!("{version} is draining and takes its own sessions only");
                    return refuse(Code::VersionWithdrawn, why);
                }
                Some(VersionState::Withdrawn) | None => {
                    return refuse(Code::VersionWithdrawn, format!("{version} is withdrawn"));
                }
            }
            if !versions.contains(version) {
                return refuse(
                    Code::NoUpstream,
                    format!("{upstream} does not serve {version}"),
                );
            }
            Ok(*slots)
        }
        (Target::Service(id), UpstreamKind::Service { service, slots }) => {
            if account.services.binary_search(id).is_err() {
                let why = format!("account {} may not use service {id}", account.id);
                return refuse(Code::Forbidden, why);
            }
            if service != id {
                return refuse(Code::NoUpstream, format!("{upstream} does not serve {id}"));
            }
            Ok(*slots)
        }
        (Target::Version(version), UpstreamKind::Service { .. }) => refuse(
            Code::NoUpstream,
            format!("{upstream} does not serve {version}"),
        ),
        (Target::Service(id), UpstreamKind::Engine { .. }) => {
            refuse(Code::NoUpstream, format!("{upstream} does not serve {id}"))
        }
    }
}

/// Returns the idempotency key under which a request has to run; `None` if it may run more than once.
///
/// # Errors
/// The [`Refusal`] of a call that needs a key and has none, or a malformed one.
pub fn key(req: &RunRequest, is_engine: bool) -> Result<Option<IdempotencyKey>, Refusal> {
    if req.idempotent || is_engine {
        return Ok(None);
    }
    let Some(key) = &req.idempotency_key else {
        let why = "this call must not be repeated, so it needs an Idempotency-Key";
        return Err(Refusal::not_run(Code::BadKey, why));
    };
    let bad = |error| Refusal::not_run(Code::BadKey, format!("Idempotency-Key: {error}"));
    key.parse().map(Some).map_err(bad)
}
