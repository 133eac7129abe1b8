//! Admission of a request against the sheet in force; pure.

use crate::ids::UpstreamId;
use crate::peer::{RunRequest, Target};
use crate::refusal::{Code, Refusal};
use crate::sheet::{Sheet, UpstreamKind, VersionState};

/// Checks a request against a sheet and returns the upstream's slots.
///
/// The gateway has checked the same under the same revision. The agent checks again, since it is the only
/// way to the upstream and its answer is what makes the properties hold.
///
/// # Errors
/// The [`Refusal`] of a request that must not run here.
pub(super) fn admit(
    sheet: &Sheet,
    upstream: &UpstreamId,
    req: &RunRequest,
) -> Result<u32, Refusal> {
    let refuse = |code, why: String| Err(Refusal::not_run(code, why));
    let Some(account) = sheet.account(&req.account) else {
        return refuse(
            Code::Forbidden,
            format!("account {} does not exist", req.account),
        );
    };
    let Some(own) = sheet.upstream(upstream) else {
        return refuse(
            Code::NoUpstream,
            format!("upstream {upstream} is not in the sheet"),
        );
    };
    match (&req.target, &own.serves) {
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
