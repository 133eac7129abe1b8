//! Reloads settings while a process runs.

use std::fmt::Display;
use std::io;
use std::time::Duration;

use actix_rt::time::timeout;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Interval at which the settings are read without a signal, since they may change without one.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Listens for SIGHUP, whose default action would end the process.
#[derive(Debug)]
pub struct Reloader {
    sighup: Signal,
}

impl Reloader {
    /// Starts to listen for SIGHUP.
    ///
    /// # Errors
    /// If the signal handler cannot be installed.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            sighup: signal(SignalKind::hangup())?,
        })
    }

    /// Reads the settings after each signal and at a fixed interval, and applies them if they have changed.
    ///
    /// Settings that cannot be loaded are logged, and the current ones stay in force.
    pub async fn run<T: PartialEq, E: Display>(
        mut self,
        mut current: T,
        read: impl Fn() -> Result<T, E>,
        apply: impl Fn(&T),
    ) {
        loop {
            let is_signal = timeout(POLL_INTERVAL, self.sighup.recv()).await.is_ok();
            match read() {
                Ok(settings) if settings != current => {
                    log::info!(event = "reload", changed = true, signal = is_signal; "");
                    apply(&settings);
                    current = settings;
                }
                Ok(_) if is_signal => {
                    log::info!(event = "reload", changed = false, signal = true; "");
                }
                Ok(_) => {}
                Err(error) => {
                    log::warn!(event = "reload_failed", error:% = error; "");
                }
            }
        }
    }
}
