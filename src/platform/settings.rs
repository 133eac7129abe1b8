//! Settings of a gateway, as the template `deploy/gateway.json` renders them.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::forward::shared::Policy;
use crate::router::retry::RetryBounds;
use crate::units::Millis;

/// Variable that holds the path of the settings file.
const PATH_VARIABLE: &str = "FIREFLYWIND_NODE_FILE";

/// Settings that cannot be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The variable with the path is not set.
    NoPath,
    /// The file cannot be read.
    Unreadable(PathBuf, std::io::Error),
    /// The file holds no valid settings.
    Invalid(PathBuf, serde_json::Error),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoPath => write!(f, "{PATH_VARIABLE} is not set"),
            Self::Unreadable(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Invalid(path, error) => write!(f, "{}: {error}", path.display()),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Settings of a gateway on the platform.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the gateway.
    pub name: Rc<str>,
    /// Data centre of the gateway.
    pub data_centre: Rc<str>,
    /// Address that takes clients' connections.
    pub listen: SocketAddr,
    /// Address that answers whether the gateway is ready.
    pub ready: SocketAddr,
    /// Address of the metrics.
    pub admin: SocketAddr,
    /// Address that takes the loads of engines.
    pub loads: SocketAddr,
    /// Port of the processes beside engines.
    pub beacon_port: u16,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time from SIGTERM to SIGKILL.
    pub stop_grace: Millis,
    /// Longest time that a revoked API key may work; absent if keys are trusted without a limit.
    #[serde(default)]
    pub key_revocation: Option<Millis>,
    /// Time in which the gateway is to know again what the store says after its connections have gone silent.
    #[serde(default = "default_catch_up")]
    pub catch_up: Millis,
    /// Interval in which upstreams renew their entries in the store.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: Millis,
    /// Bounds of retries.
    pub retries: Retries,
    /// Share of a service's requests that may reach a bad version.
    #[serde(default = "default_exposure")]
    pub exposure: f64,
    /// Seconds after which two requests of a session no longer belong together.
    #[serde(default = "default_session")]
    pub session_s: f64,
}

/// Bounds of retries.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Sends beyond the first one for each request.
    pub ratio: f64,
    /// Seconds of the sliding window.
    pub window_s: f64,
    /// Sends that are allowed on top, over all gateways.
    pub slack: f64,
}

impl Retries {
    /// Returns the bounds in the router's type.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float cast saturates at the limits"
    )]
    pub fn bounds(&self) -> RetryBounds {
        RetryBounds {
            ratio: self.ratio.max(0.0),
            window: Millis((self.window_s * 1_000.0) as u64),
            slack: self.slack as u64,
        }
    }
}

/// Longest time after the start for which clients wait for the first word from the store: five reads of some
/// milliseconds, and less than the second after which clients give up a connection.
const START_PATIENCE: Millis = Millis(400);

const fn default_exposure() -> f64 {
    0.1
}

const fn default_catch_up() -> Millis {
    Millis(3_000)
}

const fn default_heartbeat() -> Millis {
    Millis(1_200)
}

const fn default_session() -> f64 {
    5.0
}

/// Settings of the process beside an engine, as the template `deploy/beacon.json` renders them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BeaconSettings {
    /// Name of the process.
    pub name: Rc<str>,
    /// Address that takes subscriptions.
    pub listen: SocketAddr,
    /// Address of the engine on the same VM.
    pub upstream: SocketAddr,
}

/// Reads the settings whose path the platform gives.
///
/// # Errors
/// If there is no path, or the file cannot be read or holds no valid settings.
pub fn load<T: DeserializeOwned>() -> Result<T, SettingsError> {
    let path = std::env::var_os(PATH_VARIABLE).ok_or(SettingsError::NoPath)?;
    read(Path::new(&path))
}

/// Reads settings from a file.
///
/// # Errors
/// If the file cannot be read or holds no valid settings.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read(path).map_err(|e| SettingsError::Unreadable(path.to_owned(), e))?;
    serde_json::from_slice(&text).map_err(|e| SettingsError::Invalid(path.to_owned(), e))
}

impl GatewaySettings {
    /// Returns what binds the gateway's decisions.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float cast saturates at the limits"
    )]
    pub fn policy(&self) -> Policy {
        Policy {
            name: Rc::clone(&self.name),
            data_centre: Rc::clone(&self.data_centre),
            retries: self.retries.bounds(),
            key_revocation: self.key_revocation,
            exposure_permille: (self.exposure.clamp(0.0, 1.0) * 1_000.0) as u64,
            session_idle_timeout: Millis((self.session_s.max(0.0) * 1_000.0) as u64),
            stop_grace: self.stop_grace,
            catch_up: self.catch_up,
            heartbeat: self.heartbeat,
            startup_wait: START_PATIENCE,
        }
    }
}
