//! Settings of a gateway and of a beacon, in the form that the templates in `deploy/` render.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_with::serde_as;

use crate::forward::shared::Policy;
use crate::router::cold::ColdBound;
use crate::router::homes::Regions;
use crate::router::retry::RetryBounds;
use crate::units::Millis;

use super::figures::{
    Address, Milliseconds, NotNegative, Port, PositiveSeconds, Seconds, Share, Switch,
};

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
    Invalid {
        /// The file.
        path: PathBuf,
        /// Place of the invalid value, such as `retries.ratio`; `.` is the whole document.
        field: String,
        /// The line of the file in which it is.
        line: String,
        /// The value and what was wanted.
        error: serde_json::Error,
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
            Self::Invalid {
                path,
                field,
                line,
                error,
            } => write!(
                f,
                "invalid settings in file {}: field {field}: {error}: {line}",
                path.display()
            ),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Settings of a gateway on the platform.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the gateway.
    pub name: Rc<str>,
    /// Data centre that the gateway runs in.
    pub data_centre: Rc<str>,
    /// Listen address for clients.
    #[serde_as(as = "Address")]
    pub listen: SocketAddr,
    /// Listen address of the readiness endpoint.
    #[serde_as(as = "Address")]
    pub ready: SocketAddr,
    /// Listen address of the metrics endpoint.
    #[serde_as(as = "Address")]
    pub admin: SocketAddr,
    /// Listen address for the load datagrams of the engines.
    #[serde_as(as = "Address")]
    pub loads: SocketAddr,
    /// Port on which the beacons beside the engines listen.
    #[serde_as(as = "Port")]
    pub beacon_port: u16,
    /// Address of the platform's store.
    #[serde_as(as = "Address")]
    pub store: SocketAddr,
    /// Memory of the process in megabytes, of which what it holds for others gets fixed parts.
    #[serde_as(as = "NotNegative")]
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Time from SIGTERM to SIGKILL, in seconds.
    #[serde_as(as = "Seconds")]
    #[serde(rename = "stop_grace_s", default)]
    pub stop_grace: Option<Millis>,
    /// Whether API keys are refused when the table may lack a revocation; otherwise known keys are trusted without a
    /// time limit.
    #[serde_as(as = "Switch")]
    #[serde(default)]
    pub checks_key_age: bool,
    /// Longest time that a revoked API key may keep working, in milliseconds.
    #[serde_as(as = "Milliseconds")]
    #[serde(rename = "key_revocation_ms", default)]
    pub key_revocation: Option<Millis>,
    /// Time within which the gateway must have the store's current state again after its connections went silent, in
    /// milliseconds.
    #[serde_as(as = "Milliseconds")]
    #[serde(rename = "catch_up_ms", default)]
    pub catch_up: Option<Millis>,
    /// Time within which a changed configuration must be in force, in milliseconds.
    #[serde_as(as = "Milliseconds")]
    #[serde(rename = "configuration_bound_ms", default)]
    pub configuration_bound: Option<Millis>,
    /// Time within which an upstream that leaves must get no more requests, in milliseconds.
    #[serde_as(as = "Milliseconds")]
    #[serde(rename = "drain_bound_ms", default)]
    pub drain_bound: Option<Millis>,
    /// Time within which the evacuation of a data centre must be in force, in milliseconds.
    #[serde_as(as = "Milliseconds")]
    #[serde(rename = "evacuation_bound_ms", default)]
    pub evacuation_bound: Option<Millis>,
    /// Region of each data centre.
    #[serde(default)]
    pub regions: BTreeMap<Rc<str>, Rc<str>>,
    /// Interval at which upstreams renew their entries in the store, in milliseconds.
    #[serde_as(as = "Milliseconds")]
    #[serde(rename = "heartbeat_ms", default)]
    pub heartbeat: Option<Millis>,
    /// Limits on retries.
    #[serde(default)]
    pub retries: Retries,
    /// Share of a service's requests that may reach a bad version during a roll-out.
    #[serde_as(as = "Share")]
    #[serde(default)]
    pub exposure: Option<f64>,
    /// Bound on the requests that cold upstreams get.
    #[serde(default)]
    pub cold: ColdLimits,
    /// Idle time after which a session ends, in seconds.
    #[serde_as(as = "Seconds")]
    #[serde(rename = "session_s", default)]
    pub session: Option<Millis>,
    /// Parts of the platform's rules that are in force, separated by commas.
    #[serde(default)]
    pub contracts: Option<String>,
}

/// Bound on the requests that a cold upstream gets in any second from all gateways; without a number there is none.
#[serde_as]
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdLimits {
    /// Multiple of the rate that the upstream's service names.
    #[serde_as(as = "NotNegative")]
    #[serde(default)]
    pub ratio: Option<f64>,
    /// Number of requests allowed in addition.
    #[serde_as(as = "NotNegative")]
    #[serde(default)]
    pub slack: Option<f64>,
}

impl ColdLimits {
    /// Converts the bound into the router's type.
    #[must_use]
    pub fn bound(&self) -> Option<ColdBound> {
        Some(ColdBound {
            ratio: self.ratio?,
            slack: self.slack?,
        })
    }
}
/// Part of the platform's rules under which callers compete for too little room.
const SHORTAGE_CONTRACT: &str = "pressure";

/// Limits on retries.
#[serde_as]
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Number of resends allowed per request, averaged over the window.
    #[serde_as(as = "NotNegative")]
    #[serde(default)]
    pub ratio: Option<f64>,
    /// Length of the sliding window, in seconds.
    #[serde_as(as = "PositiveSeconds")]
    #[serde(rename = "window_s", default)]
    pub window: Option<Millis>,
    /// Number of resends allowed in addition, over all gateways.
    #[serde_as(as = "NotNegative")]
    #[serde(default)]
    pub slack: Option<f64>,
}

impl Retries {
    /// Converts the limits into the router's type.
    #[must_use]
    pub fn bounds(&self) -> RetryBounds {
        RetryBounds {
            ratio: self.ratio.unwrap_or(DEFAULT_RETRY_RATIO),
            window: self.window.unwrap_or(DEFAULT_RETRY_WINDOW),
            slack: self.slack.unwrap_or(DEFAULT_RETRY_SLACK),
        }
    }
}

/// Longest time after the start for which requests wait for the first list from the store. The list takes four
/// reads of a few milliseconds each; clients abandon a connection after one second.
const STARTUP_WAIT: Millis = Millis(400);

/// Defaults of the settings without a number; `docs/settings.md` lists them.
const DEFAULT_MEMORY_MB: f64 = 128.0;
const DEFAULT_STOP_GRACE: Millis = Millis::from_secs(8);
const DEFAULT_KEY_REVOCATION: Millis = Millis::from_secs(5);
const DEFAULT_CATCH_UP: Millis = Millis::from_secs(3);
const DEFAULT_CHANGE_BOUND: Millis = Millis::from_secs(2);
const DEFAULT_HEARTBEAT: Millis = Millis(1_200);
const DEFAULT_EXPOSURE: f64 = 0.1;
const DEFAULT_SESSION: Millis = Millis::from_secs(5);
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_RETRY_WINDOW: Millis = Millis::from_secs(10);
const DEFAULT_RETRY_SLACK: f64 = 10.0;

/// Least memory that a gateway plans with, in megabytes.
const MIN_MEMORY_MB: f64 = 32.0;

/// Settings of a beacon, the process beside an engine, in the form that the template `deploy/beacon.json` renders.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BeaconSettings {
    /// Name of the beacon.
    pub name: Rc<str>,
    /// Listen address for subscriptions.
    #[serde_as(as = "Address")]
    pub listen: SocketAddr,
    /// Address of the engine on the same VM.
    #[serde_as(as = "Address")]
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
    let deserializer = &mut serde_json::Deserializer::from_slice(&content);
    let settings = serde_path_to_error::deserialize(&mut *deserializer).map_err(|error| {
        let field = error.path().to_string();
        invalid(path, &content, field, error.into_inner())
    })?;
    match deserializer.end() {
        Ok(()) => Ok(settings),
        Err(error) => Err(invalid(path, &content, ".".to_owned(), error)),
    }
}

/// Longest part of a line that an error shows, in characters.
const MAX_SHOWN_CHARS: usize = 160;

fn invalid(path: &Path, content: &[u8], field: String, error: serde_json::Error) -> SettingsError {
    let index = error.line().saturating_sub(1);
    let line = content.split(|b| *b == b'\n').nth(index);
    let line = String::from_utf8_lossy(line.unwrap_or_default());
    SettingsError::Invalid {
        path: path.to_owned(),
        field,
        line: line.trim().chars().take(MAX_SHOWN_CHARS).collect(),
        error,
    }
}

impl GatewaySettings {
    /// Returns the settings that govern the gateway's decisions.
    #[must_use]
    pub fn policy(&self) -> Policy {
        let key_revocation = self.key_revocation.unwrap_or(DEFAULT_KEY_REVOCATION);
        let configuration_bound = self.configuration_bound.unwrap_or(DEFAULT_CHANGE_BOUND);
        let drain_bound = self.drain_bound.unwrap_or(DEFAULT_CHANGE_BOUND);
        let change_bound = configuration_bound.min(drain_bound);
        let regions = self.regions.iter();
        let regions = regions.map(|(name, region)| (Rc::clone(name), Rc::clone(region)));
        Policy {
            name: Rc::clone(&self.name),
            data_centre: Rc::clone(&self.data_centre),
            memory: bytes(
                self.memory_mb
                    .unwrap_or(DEFAULT_MEMORY_MB)
                    .max(MIN_MEMORY_MB),
            ),
            retries: self.retries.bounds(),
            key_revocation: self.checks_key_age.then_some(key_revocation),
            exposure_permille: permille(self.exposure.unwrap_or(DEFAULT_EXPOSURE)),
            session_idle_timeout: self.session.unwrap_or(DEFAULT_SESSION),
            stop_grace: self.stop_grace.unwrap_or(DEFAULT_STOP_GRACE),
            catch_up: self.catch_up.unwrap_or(DEFAULT_CATCH_UP),
            heartbeat: self.heartbeat.unwrap_or(DEFAULT_HEARTBEAT),
            change_bound: (self.evacuation_bound)
                .map_or(change_bound, |bound| bound.min(change_bound)),
            startup_wait: STARTUP_WAIT,
            cold: self.cold.bound(),
            regions: Rc::new(Regions::new(regions.collect())),
            orders_under_shortage: self.has_contract(SHORTAGE_CONTRACT),
        }
    }

    fn has_contract(&self, name: &str) -> bool {
        let contracts = self.contracts.as_deref().unwrap_or_default();
        contracts.split(',').any(|part| part.trim() == name)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates at the limits"
)]
fn bytes(megabytes: f64) -> usize {
    (megabytes * 1e6) as usize
}

/// Converts a share to thousandths, rounded down; a share above zero is at least one.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates at the limits"
)]
fn permille(share: f64) -> u64 {
    let whole = (share * 1_000.0) as u64;
    if share > 0.0 { whole.max(1) } else { whole }
}
