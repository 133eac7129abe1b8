//! The agent daemon, which runs next to one upstream.
//!
//! All requests to the upstream go through its agent. The agent admits them against the newest sheet,
//! suppresses duplicates, buffers answers until the gateway has read them, sends orders to the engine as its
//! only writer, and holds copies of charges.

pub mod admission;
pub mod answers;
mod background;
mod calls;
mod engine;
mod keyed;
mod leases;
mod orders;
pub mod price;
pub mod refusals;
mod service;
mod shared;
mod slots;
mod stall;
#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use actix_rt::time::{Instant, sleep};

use crate::http;
use crate::kv::KeyValue;
use crate::membership::PING_INTERVAL;
use crate::peer::{PeerKey, Server};
use crate::settings;
use crate::units::Millis;

pub use price::path_has_prefix;
use shared::Shared;

/// Minimum time that a stopping agent stays up, even if it is idle: two heartbeats of each gateway.
///
/// A request that a gateway sends before it is notified of the stop is refused and can run elsewhere. If the agent
/// closed the connection instead, it would be unknown whether the request ran.
pub const MIN_SHUTDOWN_TIME: Millis = Millis(2 * PING_INTERVAL.0);

/// Interval at which a graceful stop checks for unfinished work.
const STOP_POLL_INTERVAL: Millis = Millis(50);

/// A running agent; dropping it stops it at once.
#[derive(Debug)]
pub struct Agent {
    server: Server,
    admin: http::Running,
    shared: Rc<Shared>,
    background: JoinHandle<()>,
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.background.abort();
    }
}

impl Agent {
    /// Binds the agent's addresses and starts to serve gateways.
    ///
    /// # Errors
    /// A socket error, for instance if another agent has bound the address, or an error if the peer key is
    /// too short.
    pub async fn bind(cfg: &settings::Agent, kv: Rc<dyn KeyValue>) -> io::Result<Self> {
        let key = PeerKey::new(cfg.peer_key.expose()).ok_or_else(|| {
            let bytes = cfg.peer_key.expose().len();
            io::Error::other(format!("peer key has {bytes} bytes, fewer than 32"))
        })?;
        let shared = Shared::open(cfg, kv);
        let calls = Rc::new(calls::Calls(Rc::clone(&shared)));
        let server = Server::bind(cfg.listen, key, calls).await?;
        let handler = background::admin_handler(Rc::clone(&shared));
        let admin = http::bind(cfg.admin_listen, http::Bounds::default(), handler)?;
        orders::start(&shared);
        let background = actix_rt::spawn(background::run(Rc::clone(&shared)));
        log::info!(
            event = "agent_started",
            upstream = cfg.upstream.as_str(),
            incarnation:% = shared.incarnation,
            listen:% = server.addr();
            ""
        );
        Ok(Self {
            server,
            admin,
            shared,
            background,
        })
    }

    /// Returns the address that gateways connect to.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the address for health and metrics.
    #[must_use]
    pub const fn admin_addr(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Stops gracefully: refuses new requests, finishes running ones, and keeps answers until gateways have
    /// read them.
    ///
    /// Returns whether all work was finished and every charge copy stored before the deadline.
    pub async fn stop(self, deadline: Millis) -> bool {
        self.shared.leaving.set(true);
        self.shared.held_charges.borrow_mut().stop();
        let notice_end = Instant::now() + MIN_SHUTDOWN_TIME.duration();
        let end = Instant::now() + deadline.duration();
        loop {
            let answers = self.shared.answers.borrow().len();
            let copies = self.shared.held_charges.borrow().len();
            let writes = self.shared.outcome_writes.get();
            let finished = answers == 0 && copies == 0 && writes == 0;
            if finished && Instant::now() >= notice_end {
                log::info!(event = "agent_stopped", finished = true; "");
                return true;
            }
            if Instant::now() >= end {
                log::warn!(
                    event = "agent_stopped",
                    finished = finished,
                    answers = answers,
                    charge_copies = copies,
                    outcome_writes = writes;
                    ""
                );
                return finished;
            }
            sleep(STOP_POLL_INTERVAL.duration()).await;
        }
    }
}
