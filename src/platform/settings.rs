//! Settings of a gateway and of a beacon, in the form that the templates in `deploy/` render.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::forward::shared::Policy;
use crate::router::retry::RetryBounds;
use crate::units::Millis;

/// Environment variable that holds the path of the settings file.
const PATH_VARIABLE: &str = "FIREFLYWIND_NODE_FILE";

/// Error while loading the settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The environment variable with the path is not set.
    NoPath,
    /// The file cannot be read.
    Unreadable(PathBuf, std::io::Error),
    /// The content of the file is not valid.
    Invalid(PathBuf, serde_json::Error),
    /// A number is outside its range.
    OutOfRange {
        /// Name of the setting.
        name: &'static str,
        /// Its value.
        value: f64,
        /// What the value must be.
        wanted: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoPath => write!(
                f,
                "environment variable {PATH_VARIABLE} is not set, expected the path of the settings file"
            ),
            Self::Unreadable(path, error) => {
                write!(f, "cannot read settings file {}: {error}", path.display())
            }
            Self::Invalid(path, error) => {
                write!(f, "invalid settings in file {}: {error}", path.display())
            }
            Self::OutOfRange {
                name,
                value,
                wanted,
            } => write!(f, "setting {name} is {value}, expected {wanted}"),
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
    /// Data centre that the gateway runs in.
    pub data_centre: Rc<str>,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Listen address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Listen address of the metrics endpoint.
    pub admin: SocketAddr,
    /// Listen address for the load datagrams of the engines.
    pub loads: SocketAddr,
    /// Port on which the beacons beside the engines listen.
    pub beacon_port: u16,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time from SIGTERM to SIGKILL.
    pub stop_grace: Millis,
    /// Longest time that a revoked API key may keep working; if absent, known keys are trusted without a time
    /// limit.
    #[serde(default)]
    pub key_revocation: Option<Millis>,
    /// Time within which the gateway must have the store's current state again after its connections went silent.
    #[serde(default = "default_catch_up")]
    pub catch_up: Millis,
    /// Time within which a changed configuration must be in force.
    #[serde(default = "default_change_bound")]
    pub configuration_bound: Millis,
    /// Time within which an upstream that leaves must get no more requests.
    #[serde(default = "default_change_bound")]
    pub drain_bound: Millis,
    /// Interval at which upstreams renew their entries in the store.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: Millis,
    /// Limits on retries.
    pub retries: Retries,
    /// Share of a service's requests that may reach a bad version during a roll-out.
    #[serde(default = "default_exposure")]
    pub exposure: f64,
    /// Idle time after which a session ends, in seconds.
    #[serde(default = "default_session")]
    pub session_s: f64,
}

/// Limits on retries.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Number of resends allowed per request, averaged over the window.
    pub ratio: f64,
    /// Length of the sliding window, in seconds.
    pub window_s: f64,
    /// Number of resends allowed in addition, over all gateways.
    pub slack: f64,
}

impl Retries {
    /// Converts the limits into the router's type.
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

/// Longest time after the start for which requests wait for the first list from the store. The list takes five
/// reads of a few milliseconds each; clients abandon a connection after one second.
const STARTUP_WAIT: Millis = Millis(400);

const fn default_exposure() -> f64 {
    0.1
}

const fn default_catch_up() -> Millis {
    Millis(3_000)
}

const fn default_change_bound() -> Millis {
    Millis(2_000)
}

const fn default_heartbeat() -> Millis {
    Millis(1_200)
}

const fn default_session() -> f64 {
    5.0
}

/// Settings of a beacon, the process beside an engine, in the form that the template `deploy/beacon.json` renders.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BeaconSettings {
    /// Name of the beacon.
    pub name: Rc<str>,
    /// Listen address for subscriptions.
    pub listen: SocketAddr,
    /// Address of the engine on the same VM.
    pub upstream: SocketAddr,
}

/// Reads the settings file named by the environment variable that the platform sets.
///
/// # Errors
/// Returns an error if the variable is not set, or if the file cannot be read or is not valid.
pub fn load<T: DeserializeOwned>() -> Result<T, SettingsError> {
    let path = std::env::var_os(PATH_VARIABLE).ok_or(SettingsError::NoPath)?;
    read(Path::new(&path))
}

/// Reads settings from a file.
///
/// # Errors
/// Returns an error if the file cannot be read or is not valid.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let content = std::fs::read(path).map_err(|e| SettingsError::Unreadable(path.to_owned(), e))?;
    serde_json::from_slice(&content).map_err(|e| SettingsError::Invalid(path.to_owned(), e))
}

impl GatewaySettings {
    /// Reads the settings file named by the environment variable that the platform sets, and checks it.
    ///
    /// # Errors
    /// As for [`load`], and if a number is outside its range.
    pub fn load() -> Result<Self, SettingsError> {
        let settings: Self = load()?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the ranges of numbers that would otherwise be cut off at zero.
    ///
    /// # Errors
    /// Returns an error that names the first number outside its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        const POSITIVE: &str = "more than 0";
        const NOT_NEGATIVE: &str = "0 or more";
        let in_range = |is_valid: bool, name, value, wanted| {
            if is_valid {
                Ok(())
            } else {
                Err(SettingsError::OutOfRange {
                    name,
                    value,
                    wanted,
                })
            }
        };
        let Retries {
            ratio,
            window_s,
            slack,
        } = self.retries;
        in_range(ratio >= 0.0, "retries.ratio", ratio, NOT_NEGATIVE)?;
        in_range(window_s > 0.0, "retries.window_s", window_s, POSITIVE)?;
        in_range(slack >= 0.0, "retries.slack", slack, NOT_NEGATIVE)?;
        in_range(
            self.session_s >= 0.0,
            "session_s",
            self.session_s,
            NOT_NEGATIVE,
        )?;
        let is_share = (0.0..=1.0).contains(&self.exposure);
        in_range(is_share, "exposure", self.exposure, "from 0 to 1")
    }

    /// Returns the settings that govern the gateway's decisions.
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
            change_bound: self.configuration_bound.min(self.drain_bound),
            startup_wait: STARTUP_WAIT,
        }
    }
}
