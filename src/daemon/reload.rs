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
    /// Settings that cannot be loaded are logged, and the current ones stay in force. The same error is logged again only
    /// after a signal.
    pub async fn run<T: PartialEq, E: Display>(
        mut self,
        mut current: T,
        read: impl Fn() -> Result<T, E>,
        apply: impl Fn(&T),
    ) {
        let mut last_error = None;
        loop {
            let is_signal = timeout(POLL_INTERVAL, self.sighup.recv()).await.is_ok();
            match read() {
                Ok(settings) => {
                    let is_readable_again = last_error.take().is_some();
                    let changed = settings != current;
                    if changed || is_signal || is_readable_again {
                        log::info!(event = "reload", changed = changed, signal = is_signal; "");
                    }
                    if changed {
                        apply(&settings);
                        current = settings;
                    }
                }
                Err(error) => {
                    let error = Some(error.to_string());
                    if is_signal || error != last_error {
                        let text = error.as_deref().unwrap_or_default();
                        log::warn!(event = "reload_failed", error:% = text; "");
                    }
                    last_error = error;
                }
            }
        }
    }
}
