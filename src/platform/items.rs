//! Decodes items of the store into the product's types.
//!
//! Items come from several writers. An item that cannot be decoded is logged and ignored; the previous state
//! stays in use.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::serde_as;

use crate::forward::follow::{RolloutStart, StoreEvent};
use crate::router::fleet::{Upstream, UpstreamState};
use crate::router::history::Era;
use crate::router::rollout::Phase;
use crate::router::table::{
    Account, ClientLimits, RequestKind, Route, RouteTable, ServiceSettings, Target,
};
use crate::units::Millis;
use crate::units::whole::{Whole, parse_whole};

/// Prefix of the keys that the operator writes.
pub(super) const OPERATOR_PREFIX: &str = "op/";
/// Key of the configuration.
pub(super) const CONFIG_KEY: &str = "op/config";
/// Prefix of the keys of roll-out orders; the service follows.
pub(super) const ORDER_PREFIX: &str = "op/rollout/";
/// Prefix of the keys of evacuations; the data centre follows.
pub(super) const EVACUATION_PREFIX: &str = "op/evacuate/";
/// Prefix of the keys of roll-out states, which the operator reads; the service follows.
pub(super) const STATUS_PREFIX: &str = "status/rollout/";
/// Prefix of the keys of upstreams; the id follows.
pub(super) const UPSTREAM_PREFIX: &str = "servers/";
/// Prefix of the keys that only the gateways use.
pub(super) const GATEWAYS_PREFIX: &str = "fireflywind/";
/// Prefix of the keys of the gateways' crash reports; the gateway follows.
pub(super) const CRASHES_PREFIX: &str = "fireflywind/crashes/";
/// Prefix of the keys of containments; the containment's key follows.
pub(super) const CONTAINED_PREFIX: &str = "fireflywind/contained/";
/// Prefix of what gateways have seen of roll-outs.
pub(super) const ANSWERS_PREFIX: &str = "fireflywind/answers/";
/// Prefix of the keys of the start times of roll-outs that the gateways record; the service follows.
pub(super) const START_PREFIX: &str = "fireflywind/rollout/";

/// Key of the last era that a gateway has found to be settled.
pub(super) const SETTLED_KEY: &str = "fireflywind/settled";

/// Error while decoding an item.
#[derive(Debug)]
pub struct InvalidItem(String);

impl fmt::Display for InvalidItem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Parses a JSON value; an error names the field.
fn parse<T: DeserializeOwned>(value: &[u8]) -> Result<T, InvalidItem> {
    serde_json::from_slice(value).map_err(|error| {
        // Valid items are parsed without tracking of the field.
        let deserializer = &mut serde_json::Deserializer::from_slice(value);
        match serde_path_to_error::deserialize::<_, T>(deserializer) {
            Err(error) => InvalidItem(format!("field {}: {}", error.path(), error.inner())),
            Ok(_) => InvalidItem(error.to_string()),
        }
    })
}

/// Decodes an item; returns `None` if gateways don't use its key.
///
/// # Errors
/// Returns an error if the value is not valid for its key.
pub fn decode(key: &str, value: &[u8], revision: u64) -> Result<Option<StoreEvent>, InvalidItem> {
    if key == CONFIG_KEY {
        let table = decode_config(value)?;
        return Ok(Some(StoreEvent::Table(Rc::new(table), revision)));
    }
    if let Some(id) = key.strip_prefix(UPSTREAM_PREFIX) {
        return decode_upstream(id, value).map(|u| Some(StoreEvent::Upstream(u)));
    }
    if let Some(service) = key.strip_prefix(ORDER_PREFIX) {
        let order: Order = parse(value)?;
        return Ok(Some(StoreEvent::RolloutOrder {
            service: service.into(),
            to: order.to.into(),
            ramp: duration_from_seconds(order.ramp_s)?,
        }));
    }
    // The key says all; the value may be anything.
    if let Some(data_centre) = key.strip_prefix(EVACUATION_PREFIX) {
        return Ok(Some(StoreEvent::Evacuated(data_centre.into())));
    }
    if let Some(service) = key.strip_prefix(STATUS_PREFIX) {
        let status: Status = parse(value)?;
        return Ok(Some(StoreEvent::RolloutPhase {
            service: service.into(),
            to: status.to.into(),
            phase: decode_phase(&status.state)?,
            revision,
        }));
    }
    if key.starts_with(ANSWERS_PREFIX) {
        return Ok(Some(StoreEvent::Answers(parse(value)?)));
    }
    if key.starts_with(CRASHES_PREFIX) {
        return Ok(Some(StoreEvent::CrashReport(parse(value)?)));
    }
    if key.starts_with(CONTAINED_PREFIX) {
        let record = parse(value)?;
        return Ok(Some(StoreEvent::Contained { record, revision }));
    }
    if key == SETTLED_KEY {
        let settled: Settled = parse(value)?;
        return Ok(Some(StoreEvent::Settled(Era(settled.era), revision)));
    }
    if let Some(service) = key.strip_prefix(START_PREFIX) {
        let start: RolloutStart = parse(value)?;
        return Ok(Some(StoreEvent::RolloutStart {
            service: service.into(),
            start,
        }));
    }
    Ok(None)
}

/// Decodes the removal of an item; returns `None` if gateways don't act on it.
#[must_use]
pub fn decode_removal(key: &str) -> Option<StoreEvent> {
    if let Some(id) = key.strip_prefix(UPSTREAM_PREFIX) {
        return Some(StoreEvent::UpstreamRemoved(id.into()));
    }
    if let Some(data_centre) = key.strip_prefix(EVACUATION_PREFIX) {
        return Some(StoreEvent::EvacuationRemoved(data_centre.into()));
    }
    if let Some(key) = key.strip_prefix(CONTAINED_PREFIX) {
        return key.parse().ok().map(StoreEvent::ContainmentRemoved);
    }
    let service = key.strip_prefix(ORDER_PREFIX)?;
    Some(StoreEvent::RolloutRemoved(service.into()))
}

/// Encodes the state of a roll-out for the operator.
#[must_use]
pub fn encode_status(to: &str, phase: Phase) -> Vec<u8> {
    let state = match phase {
        Phase::Active => "active",
        Phase::Complete => "complete",
        Phase::Reverted => "reverted",
    };
    serde_json::json!({ "state": state, "to": to })
        .to_string()
        .into_bytes()
}

/// The last settled era.
#[derive(Serialize, Deserialize)]
struct Settled {
    era: u64,
}

/// Encodes the last settled era.
#[must_use]
pub fn encode_settled(era: Era) -> Vec<u8> {
    serde_json::json!(Settled { era: era.0 })
        .to_string()
        .into_bytes()
}

#[derive(Deserialize)]
struct Order {
    to: String,
    /// Time for the whole roll-out in seconds, not only for its ramp.
    #[serde(rename = "rampS")]
    ramp_s: f64,
}

#[derive(Deserialize)]
struct Status {
    state: String,
    to: String,
}

fn decode_phase(state: &str) -> Result<Phase, InvalidItem> {
    match state {
        "active" => Ok(Phase::Active),
        "complete" => Ok(Phase::Complete),
        "reverted" => Ok(Phase::Reverted),
        other => Err(InvalidItem(format!(
            "roll-out state is {other:?}, expected \"active\", \"complete\" or \"reverted\""
        ))),
    }
}

fn duration_from_seconds(value: f64) -> Result<Millis, InvalidItem> {
    if value.is_finite() && value >= 0.0 {
        Ok(Millis::from_secs_f64(value))
    } else {
        Err(InvalidItem(format!(
            "roll-out time is {value} s, expected a finite number that is not negative"
        )))
    }
}

#[serde_as]
#[derive(Deserialize)]
struct Entry {
    service: String,
    addr: SocketAddr,
    zone: String,
    version: Value,
    #[serde_as(as = "Whole")]
    slots: u32,
    state: String,
    #[serde(rename = "coldLeftMs", default)]
    warm_up_ms: f64,
    /// Number of reports with a change, not of all reports.
    #[serde_as(as = "Whole")]
    #[serde(default)]
    seq: u64,
    #[serde_as(as = "Whole")]
    #[serde(default)]
    born: u64,
}

fn decode_upstream(id: &str, value: &[u8]) -> Result<Upstream, InvalidItem> {
    let entry: Entry = parse(value)?;
    let state = match entry.state.as_str() {
        "ready" => UpstreamState::Ready,
        "draining" => UpstreamState::Draining,
        other => {
            return Err(InvalidItem(format!(
                "state of upstream {id} is {other:?}, expected \"ready\" or \"draining\""
            )));
        }
    };
    let version = match entry.version {
        Value::String(text) => text,
        Value::Number(number) => version_text(&number),
        other => {
            return Err(InvalidItem(format!(
                "version of upstream {id} is {other}, expected a string or a number"
            )));
        }
    };
    Ok(Upstream {
        id: id.into(),
        addr: entry.addr,
        service: entry.service.into(),
        data_centre: entry.zone.into(),
        version: version.into(),
        slots: entry.slots.max(1),
        state,
        boot: entry.born,
        seq: entry.seq,
        warm_up: Millis::from_millis_f64(entry.warm_up_ms),
    })
}

/// Returns the text of a version that is a number; a whole number has one text, however it is written.
fn version_text(number: &serde_json::Number) -> String {
    let text = number.to_string();
    parse_whole(&text).map_or(text, |whole| whole.to_string())
}

#[serde_as]
#[derive(Deserialize)]
struct Config {
    #[serde_as(as = "Whole")]
    version: u64,
    routes: Vec<Value>,
    #[serde(default)]
    services: Vec<Service>,
    limits: Option<Limits>,
    tenants: Option<Vec<Tenant>>,
}

#[serde_as]
#[derive(Deserialize)]
struct RawRoute {
    name: String,
    host: String,
    prefix: String,
    /// Which requests may be sent again; not a content type.
    #[serde(rename = "type")]
    kind: String,
    #[serde(rename = "timeoutMs")]
    timeout_ms: f64,
    #[serde(rename = "goalMs", default)]
    goal_ms: f64,
    #[serde_as(as = "Whole")]
    #[serde(default)]
    priority: u8,
    #[serde_as(as = "Whole")]
    #[serde(default = "one")]
    attempts: u32,
    #[serde(default)]
    public: bool,
    /// Whether requests carry prompts with shared parts. Despite its name, no request is bound to one upstream.
    #[serde(default)]
    sticky: bool,
    #[serde(default)]
    resumable: bool,
    #[serde(rename = "gapAimMs", default)]
    gap_ms: f64,
    /// Names of the models, smallest first.
    #[serde(default)]
    sizes: Vec<String>,
    service: Option<String>,
    split: Option<Vec<Part>>,
    #[serde(rename = "homeRegions")]
    homes: Option<Vec<Rc<str>>>,
}

#[derive(Deserialize)]
struct Part {
    service: String,
    weight: f64,
}

#[serde_as]
#[derive(Deserialize)]
struct Service {
    name: String,
    #[serde_as(as = "Whole")]
    #[serde(rename = "maxConns", default)]
    max_connections: u32,
    engine: Option<Engine>,
    /// Time for which an upstream is cold after a start during traffic.
    #[serde(rename = "coldS", default)]
    cold_s: f64,
    #[serde(rename = "coldPerS", default)]
    cold_per_s: f64,
}

#[derive(Deserialize)]
struct Engine {
    #[serde(default)]
    models: Vec<Model>,
}

#[derive(Deserialize)]
struct Model {
    name: String,
    #[serde(default)]
    cost: f64,
}

#[serde_as]
#[derive(Deserialize)]
struct Limits {
    #[serde_as(as = "Whole")]
    #[serde(rename = "maxHeaderBytes")]
    head_bytes: usize,
    #[serde_as(as = "Whole")]
    #[serde(rename = "maxBodyBytes")]
    body_bytes: usize,
    #[serde(rename = "headerTimeoutMs")]
    head_ms: f64,
    #[serde(rename = "idleTimeoutMs")]
    idle_ms: f64,
}

#[serde_as]
#[derive(Deserialize)]
struct Tenant {
    name: String,
    #[serde(rename = "apiKeys", default)]
    keys: Vec<String>,
    #[serde_as(as = "Option<Whole>")]
    priority: Option<u8>,
    #[serde(rename = "homeRegions")]
    homes: Option<Vec<Rc<str>>>,
}

const fn one() -> u32 {
    1
}

fn decode_config(value: &[u8]) -> Result<RouteTable, InvalidItem> {
    let config: Config = parse(value)?;
    let routes = config.routes.into_iter().map(decode_route);
    let routes = routes.collect::<Result<Vec<_>, _>>()?;
    let services = config.services.into_iter().map(decode_service);
    let limits = config.limits.map(|l| ClientLimits {
        head_bytes: l.head_bytes,
        body_bytes: l.body_bytes,
        head_timeout: Millis::from_millis_f64(l.head_ms),
        idle_timeout: Millis::from_millis_f64(l.idle_ms),
    });
    let accounts = config.tenants.map(|tenants| {
        let accounts_by_key = tenants.into_iter().flat_map(|tenant| {
            let account = Rc::new(Account {
                name: tenant.name.into(),
                priority: tenant.priority,
                homes: tenant.homes.unwrap_or_default(),
            });
            let keys = tenant.keys.into_iter();
            keys.map(move |key| (Rc::from(key), Rc::clone(&account)))
        });
        accounts_by_key.collect()
    });
    Ok(RouteTable::new(
        config.version,
        routes,
        services.collect(),
        accounts,
        limits.unwrap_or_default(),
    ))
}

fn decode_service(raw: Service) -> ServiceSettings {
    let is_engine = raw.engine.is_some();
    let models = raw.engine.map(|e| e.models).unwrap_or_default();
    let prices = models.into_iter().map(|m| (Rc::from(m.name), m.cost));
    let mut model_prices: Vec<_> = prices.collect();
    model_prices.sort_by(|a: &(Rc<str>, f64), b| a.0.cmp(&b.0));
    ServiceSettings {
        name: raw.name.into(),
        max_connections: raw.max_connections,
        is_engine,
        cold: Millis::from_secs_f64(raw.cold_s),
        cold_per_s: raw.cold_per_s,
        model_prices,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates at the limits"
)]
fn decode_route(value: Value) -> Result<Rc<Route>, InvalidItem> {
    let raw: RawRoute = serde_path_to_error::deserialize(value)
        .map_err(|error| InvalidItem(format!("field {}: {}", error.path(), error.inner())))?;
    let kind = match (raw.kind.as_str(), raw.resumable) {
        ("safe", _) => RequestKind::Idempotent,
        ("unsafe", _) => RequestKind::AtMostOnce,
        ("stream", true) => RequestKind::ResumableStream,
        ("stream", false) => RequestKind::Stream,
        (other, _) => {
            return Err(InvalidItem(format!(
                "type of route {} is {other:?}, expected \"safe\", \"unsafe\" or \"stream\"",
                raw.name
            )));
        }
    };
    let targets = match (raw.split, raw.service) {
        (Some(split), _) => split
            .into_iter()
            .map(|part| Target {
                service: part.service.into(),
                // Weights may be fractions, so they are scaled before the conversion to integers.
                weight: (part.weight * 1_000.0) as u32,
            })
            .collect(),
        (None, Some(service)) => vec![Target {
            service: service.into(),
            weight: 1,
        }],
        (None, None) => {
            return Err(InvalidItem(format!(
                "route {} has neither \"service\" nor \"split\", expected one of them",
                raw.name
            )));
        }
    };
    Ok(Rc::new(Route {
        name: raw.name.into(),
        host: raw.host.to_ascii_lowercase().into(),
        prefix: raw.prefix.into(),
        kind,
        timeout: Millis::from_millis_f64(raw.timeout_ms),
        latency_target: Millis::from_millis_f64(raw.goal_ms),
        priority: raw.priority,
        attempts: raw.attempts.max(1),
        is_public: raw.public,
        has_prompts: raw.sticky,
        max_event_gap: Millis::from_millis_f64(raw.gap_ms),
        models: raw.sizes.into_iter().map(Rc::from).collect(),
        targets,
        homes: raw.homes.unwrap_or_default(),
    }))
}
