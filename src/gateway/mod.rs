//! The gateway daemon, which serves callers' requests.

mod account;
mod admin;
mod api;
mod attempt;
mod background;
mod chat;
mod engines;
mod links;
pub mod planning;
mod pooling;
mod presence;
mod quality;
mod rollouts;
pub mod rules;
mod seeds;
mod serve;
mod shared;
#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use actix_rt::time::{Instant, sleep};

use crate::http;
use crate::kv::KeyValue;
use crate::peer::PeerKey;
use crate::session::{SessionKey, SessionKeys};
use crate::settings;
use crate::units::Millis;

use shared::Shared;

/// Time between two checks during a stop whether the ledger is stored.
const STOP_POLL_INTERVAL: Millis = Millis(50);

/// A running gateway; dropping it stops it at once.
#[derive(Debug)]
pub struct Gateway {
    callers: http::Running,
    admin: http::Running,
    shared: Rc<Shared>,
    background: Vec<JoinHandle<()>>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        for task in &self.background {
            task.abort();
        }
    }
}

impl Gateway {
    /// Binds the gateway's addresses and starts to serve callers.
    ///
    /// # Errors
    /// The error of a socket, or an error if a key is invalid, such as too short.
    pub fn bind(cfg: &settings::Gateway, kv: Rc<dyn KeyValue>) -> io::Result<Self> {
        let peer_key = PeerKey::new(cfg.peer_key.expose()).ok_or_else(|| {
            let bytes = cfg.peer_key.expose().len();
            io::Error::other(format!("peer key has {bytes} bytes, fewer than 32"))
        })?;
        let keys = cfg
            .session_keys
            .iter()
            .map(|k| SessionKey::new(k.id.clone(), k.secret.expose()));
        let sessions = SessionKeys::new(keys.collect()).map_err(io::Error::other)?;
        let shared = Shared::open(cfg, kv, peer_key, sessions);
        let bounds = http::Bounds {
            body_bytes: usize::try_from(cfg.max_body_bytes).unwrap_or(usize::MAX),
            header_bytes: usize::try_from(cfg.max_header_bytes).unwrap_or(usize::MAX),
            ..http::Bounds::default()
        };
        let callers = http::bind(cfg.listen, bounds, api::handler(Rc::clone(&shared)))?;
        let admin = http::bind(
            cfg.admin_listen,
            http::Bounds::default(),
            admin::handler(Rc::clone(&shared)),
        )?;
        let background = vec![
            actix_rt::spawn(links::run(Rc::clone(&shared))),
            actix_rt::spawn(background::run(Rc::clone(&shared))),
            actix_rt::spawn(background::run_duties(Rc::clone(&shared))),
            actix_rt::spawn(seeds::run(Rc::clone(&shared), cfg.seeds.clone())),
        ];
        log::info!(
            event = "gateway_started",
            gateway = cfg.name.as_str(),
            incarnation:% = shared.incarnation,
            listen:% = callers.addr();
            ""
        );
        Ok(Self {
            callers,
            admin,
            shared,
            background,
        })
    }

    /// Returns the address of the callers' listener.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Returns the address of the admin listener.
    #[must_use]
    pub const fn admin_addr(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Stops gracefully: fails the readiness check, accepts no new connections, finishes requests and stores the
    /// ledger.
    ///
    /// Returns whether all of that was done before the deadline.
    pub async fn stop(self, deadline: Millis) -> bool {
        let end = Instant::now() + deadline.duration();
        self.shared.stopping.set(true);
        let drained = self.callers.drain(deadline).await;
        let mut stored = false;
        while !stored && Instant::now() < end {
            self.shared.ledger.borrow_mut().expedite();
            stored = background::is_ledger_stored(&self.shared);
            if !stored {
                sleep(STOP_POLL_INTERVAL.duration()).await;
            }
        }
        let mut presence = std::mem::take(&mut *self.shared.presence.borrow_mut());
        presence::leave(&*self.shared.kv, &mut presence).await;
        log::info!(event = "gateway_stopped", drained = drained, ledger_stored = stored; "");
        drained && stored
    }
}
