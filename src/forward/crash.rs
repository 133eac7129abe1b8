//! Finds out whether an upstream's process has ended when an answer breaks off.

use std::io;
use std::rc::Rc;

use actix_rt::time::{sleep, timeout};

use crate::router::fleet::Upstream;
use crate::router::rollout::Phase;
use crate::units::Millis;

use super::exchange;
use super::shared::Shared;

/// Time limit for the connection that shows whether a process still listens.
const CHECK_TIMEOUT: Millis = Millis(500);

/// Time after which a gateway knows that a roll-out is complete.
const ROLLOUT_DELAY: Millis = Millis(1_000);

/// What a new connection shows of an upstream's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ProcessState {
    /// It accepts connections.
    Running,
    /// Nothing listens at its address.
    Ended,
    /// Its VM does not answer.
    Unknown,
}

/// Checks the upstream in the background, unless it is being checked already; `at` is when an answer broke off there.
pub(super) fn check(shared: &Rc<Shared>, upstream: &Rc<Upstream>, at: Millis) {
    let id = (Rc::clone(&upstream.id), upstream.boot);
    let mut checks = shared.crash_checks.borrow_mut();
    let Err(position) = checks.binary_search(&id) else {
        return;
    };
    checks.insert(position, id.clone());
    drop(checks);
    let (shared, upstream) = (Rc::clone(shared), Rc::clone(upstream));
    actix_rt::spawn(async move {
        let connected = timeout(
            CHECK_TIMEOUT.duration(),
            exchange::connect(upstream.addr, &shared.answer_memory),
        )
        .await;
        let state = match connected {
            Ok(Ok(_)) => ProcessState::Running,
            Ok(Err(error)) if is_refused(&error) => ProcessState::Ended,
            Ok(Err(_)) | Err(_) => ProcessState::Unknown,
        };
        let now = shared.clock.now();
        let is_planned = !(shared.fleet.borrow()).is_ready(&upstream.id, upstream.boot, now);
        log::info!(event = "upstream_checked", upstream:% = upstream.id, boot = upstream.boot, state:? = state,
            is_planned = is_planned, took_ms = now.since(at).0; "");
        let is_old = is_being_replaced(&shared, &upstream);
        if state == ProcessState::Ended && is_old {
            // The platform stops the old upstreams when a roll-out is complete; this gateway may not know yet that it is.
            sleep(ROLLOUT_DELAY.duration()).await;
        }
        // An upstream that leaves as planned ends without a crash.
        if state == ProcessState::Ended && !is_planned && !is_replaced(&shared, &upstream) {
            shared.record_crash(&upstream.id, upstream.boot, at);
        }
        let mut checks = shared.crash_checks.borrow_mut();
        if let Ok(position) = checks.binary_search(&id) {
            checks.remove(position);
        }
    });
}

/// Records a crash of an upstream that refuses connections, if an answer that this gateway dropped may have caused it.
pub(super) fn connection_refused(shared: &Shared, upstream: &Upstream) {
    let now = shared.clock.now();
    let is_planned = !(shared.fleet.borrow()).is_ready(&upstream.id, upstream.boot, now);
    // An upstream with too many connections may refuse more of them, but it still answers on those that it has.
    let is_idle = (shared.exposures.borrow()).is_idle(&upstream.id, upstream.boot);
    if is_idle && !is_planned && !is_replaced(shared, upstream) {
        shared.record_crash(&upstream.id, upstream.boot, now);
    }
}

/// Returns whether the upstream has a version that a complete roll-out has replaced; the platform stops these.
fn is_replaced(shared: &Shared, upstream: &Upstream) -> bool {
    let rollouts = shared.rollouts.borrow();
    let rollout = rollouts.get(&upstream.service);
    rollout.is_some_and(|r| r.phase() == Phase::Complete && r.to != upstream.version)
}

/// Returns whether the upstream has a version that a roll-out is replacing.
fn is_being_replaced(shared: &Shared, upstream: &Upstream) -> bool {
    let rollouts = shared.rollouts.borrow();
    let rollout = rollouts.get(&upstream.service);
    rollout.is_some_and(|r| r.phase() == Phase::Active && r.to != upstream.version)
}

/// Returns whether a connection failed because nothing listens at the address.
pub(super) fn is_refused(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}
