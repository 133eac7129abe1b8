//! The components of the demo, all on one arbiter.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::Method;
use actix_http::header::{HeaderName, HeaderValue};
use actix_rt::time::{sleep, timeout};
use bytes::{Bytes, BytesMut};
use serde_json::{Value, json};

use super::DemoError;
use crate::agent::Agent;
use crate::gateway::Gateway;
use crate::kv::budget::CallBudget;
use crate::kv::etcd::EtcdKv;
use crate::kv::memory::MemoryKv;
use crate::record::Record;
use crate::settings;
use crate::sheet::Sheet;
use crate::standin::{Running, engine, kv, rating, service};
use crate::units::Millis;
use crate::upstream::Timeouts;
use crate::upstream::exchange::{Request, send};

/// API key of the demo's client account.
const API_KEY: &str = "demo-key";

const PEER_KEY: &str = "peer key of the demo, which nobody else has";

/// Data centres of the demo.
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// An answer as the caller received it.
#[derive(Debug, Clone, Default)]
pub(super) struct Answer {
    pub status: u16,
    pub complete: bool,
    pub body: Bytes,
    pub code: String,
    pub version: Option<String>,
    pub session: Option<String>,
}

impl Answer {
    /// Describes the answer in one line.
    pub fn summary(&self) -> String {
        if !self.code.is_empty() {
            return format!("{} {}", self.status, self.code);
        }
        let by = self
            .version
            .as_ref()
            .map(|v| format!(" by {v}"))
            .unwrap_or_default();
        format!("{}{by}, {} bytes", self.status, self.body.len())
    }
}

/// The running components of the demo.
#[derive(Debug)]
pub(super) struct Site {
    pub kv: MemoryKv,
    _store: Running,
    _rating: Running,
    engines: Vec<Running>,
    orders: Running,
    agents: Vec<(String, String, Agent)>,
    gateways: Vec<Gateway>,
}

impl Site {
    pub async fn start() -> io::Result<Self> {
        let store = MemoryKv::open();
        let running = kv::bind(any_port(), store.clone())?;
        let client = || EtcdKv::open(vec![running.addr()], CallBudget::per_process());
        let rating = rating::bind(any_port(), rating_behaviour())?;
        let orders = service::bind(any_port(), service::Behaviour::default())?;
        let (mut engines, mut agents, mut gateways) = (Vec::new(), Vec::new(), Vec::new());
        for dc in DATA_CENTRES {
            let engine = engine::bind(
                any_port(),
                engine::Options::default(),
                engine::Behaviour::default(),
            )?;
            let name = format!("engine-{dc}");
            let cfg = agent_settings(&name, dc, engine.addr(), settings::AgentKind::Engine);
            agents.push((
                name,
                dc.to_owned(),
                Agent::bind(&cfg, Rc::new(client())).await?,
            ));
            engines.push(engine);
        }
        let cfg = agent_settings(
            "orders",
            "dc-a",
            orders.addr(),
            settings::AgentKind::Service,
        );
        let agent = Agent::bind(&cfg, Rc::new(client())).await?;
        agents.push(("orders".to_owned(), "dc-a".to_owned(), agent));
        for dc in &DATA_CENTRES[..2] {
            let cfg = gateway_settings(dc, rating.addr());
            gateways.push(Gateway::bind(&cfg, Rc::new(client()))?);
        }
        Ok(Self {
            kv: store,
            _store: running,
            _rating: rating,
            engines,
            orders,
            agents,
            gateways,
        })
    }

    /// Returns the first sheet: two versions of a small model, one being rolled out, and a large model.
    pub fn sheet(&self) -> Sheet {
        let upstreams: Vec<_> = self
            .agents
            .iter()
            .map(|(name, dc, agent)| {
                let serves = if name == "orders" {
                    json!({ "service": { "service": "orders", "slots": 4 } })
                } else {
                    let versions = ["small/v1", "small/v2", "large/v1"];
                    json!({ "engine": { "versions": versions, "slots": 8 } })
                };
                json!({ "id": name, "agent": agent.addr(), "data_centre": dc, "serves": serves })
            })
            .collect();
        let sheet = json!({
            "accounts": [{
                "id": "kadikoy", "key_hashes": [key_hash()],
                "allow": ["large/v1", "small/v1", "small/v2"], "services": ["orders"],
            }],
            "models": [
                { "id": "large", "versions": [
                    { "id": "v1", "state": "serving", "cost_per_1k": "1.0", "price_per_1k": "2.0" },
                ]},
                { "id": "small", "versions": [
                    { "id": "v1", "state": "serving", "cost_per_1k": "0.1", "price_per_1k": "0.2" },
                    { "id": "v2", "state": "serving", "cost_per_1k": "0.1", "price_per_1k": "0.2",
                      "rollout": { "replaces": "v1", "max_share": 500 } },
                ]},
            ],
            "cascades": [{ "id": "small-first", "steps": ["small/v1", "large/v1"] }],
            "classes": [
                { "id": "summary", "quality_target": 950, "cascade": "small-first", "deadline": "60s" },
                { "id": "tags", "quality_target": 700, "cascade": "small-first", "deadline": "30s" },
            ],
            "services": [{
                "id": "orders", "path_prefix": "/orders", "deadline": "10s",
                "prices": [{
                    "item": "order", "method": "POST", "path_prefix": "/orders", "amount": "0.05",
                }],
            }],
            "upstreams": upstreams,
        });
        let parsed = crate::sheet::parse(sheet.to_string().as_bytes());
        parsed.unwrap_or_else(|findings| panic!("the demo's sheet has findings: {findings:?}"))
    }

    /// Waits until both gateways have a revision in force and can use all upstreams.
    pub async fn wait_for_revision(&self, revision: u64, limit: Millis) -> Result<(), DemoError> {
        let wait = async {
            loop {
                let mut ready = true;
                for gateway in &self.gateways {
                    let status = self.get(gateway.admin_addr(), "/status").await;
                    let number = |name: &str| status[name].as_u64().unwrap_or(0);
                    let linked = number("usable_upstreams") >= self.agents.len() as u64;
                    ready &= number("revision") >= revision && linked;
                }
                if ready {
                    return;
                }
                sleep(Millis(50).duration()).await;
            }
        };
        let waited = timeout(limit.duration(), wait).await;
        waited.map_err(|_elapsed| DemoError::TimedOut("sheet in force at both gateways"))
    }

    /// Sends a chat completion through one of the gateways.
    pub async fn chat(&self, gateway: usize, body: &Value, session: Option<&str>) -> Answer {
        let mut headers = vec![("content-type", "application/json")];
        headers.extend(session.map(|token| ("fireflywind-session", token)));
        self.call(gateway, "/v1/chat/completions", &headers, body.to_string())
            .await
    }

    /// Places an order through one of the gateways.
    pub async fn order(&self, gateway: usize, key: &str, body: &str) -> Answer {
        let headers = [
            ("content-type", "application/json"),
            ("idempotency-key", key),
        ];
        self.call(gateway, "/orders", &headers, body.to_owned())
            .await
    }

    async fn call(
        &self,
        gateway: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Answer {
        let addr = self.gateways[gateway % self.gateways.len()].addr();
        let bearer = format!("Bearer {API_KEY}");
        let headers = headers
            .iter()
            .copied()
            .chain([("authorization", bearer.as_str())]);
        let request = Request {
            method: Method::POST,
            target: path.to_owned(),
            headers: headers.filter_map(header).collect(),
            body: body.into(),
        };
        let Ok(mut response) = send(addr, Timeouts::default(), &request).await else {
            return Answer::default();
        };
        let text = |name: &str| {
            let value = response.headers.get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let (version, session) = (text("fireflywind-version"), text("fireflywind-session"));
        let mut body = BytesMut::new();
        let complete = loop {
            match response.body.next().await {
                Ok(Some(bytes)) => body.extend_from_slice(&bytes),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let json: Value = serde_json::from_slice(&body).unwrap_or_default();
        let code = json["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        let status = response.status.as_u16();
        Answer {
            status,
            complete,
            body: body.freeze(),
            code,
            version,
            session,
        }
    }

    /// Returns the records of both gateways.
    pub async fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for gateway in &self.gateways {
            let lines = fetch(gateway.admin_addr(), "/records").await;
            let lines = lines
                .split(|byte| *byte == b'\n')
                .filter(|line| !line.is_empty());
            records.extend(lines.filter_map(|line| serde_json::from_slice(line).ok()));
        }
        records
    }

    /// Returns the number of distinct orders that the service ran.
    pub async fn order_runs(&self) -> usize {
        self.get(self.orders.addr(), "/__runs")
            .await
            .as_array()
            .map_or(0, Vec::len)
    }

    /// Returns the number of runs of a version, over all engines.
    pub async fn engine_runs(&self, version: &str) -> usize {
        let mut count = 0;
        for engine in &self.engines {
            let runs = self.get(engine.addr(), "/runs").await;
            let runs = runs.as_array().into_iter().flatten();
            count += runs.filter(|run| run["model"] == version).count();
        }
        count
    }

    async fn get(&self, addr: SocketAddr, path: &str) -> Value {
        serde_json::from_slice(&fetch(addr, path).await).unwrap_or_default()
    }
}

/// Largest answer that the demo reads, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

async fn fetch(addr: SocketAddr, path: &str) -> Bytes {
    let request = Request {
        method: Method::GET,
        target: path.to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    match send(addr, Timeouts::default(), &request).await {
        Ok(response) => response
            .body
            .collect(MAX_ANSWER_BYTES)
            .await
            .unwrap_or_default(),
        Err(_) => Bytes::new(),
    }
}

fn header((name, value): (&str, &str)) -> Option<(HeaderName, HeaderValue)> {
    Some((
        HeaderName::from_bytes(name.as_bytes()).ok()?,
        HeaderValue::from_str(value).ok()?,
    ))
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The small model's answers pass often enough for the class of tags and too rarely for that of summaries.
fn rating_behaviour() -> rating::Behaviour {
    let share = |model: &str, permille| rating::PassShare {
        model: model.to_owned(),
        permille,
    };
    rating::Behaviour {
        pass: vec![
            share("small/v1", 700),
            share("small/v2", 750),
            share("large/v1", 1_000),
        ],
        ..rating::Behaviour::default()
    }
}

fn agent_settings(
    name: &str,
    dc: &str,
    upstream_addr: SocketAddr,
    kind: settings::AgentKind,
) -> settings::Agent {
    settings::Agent {
        upstream: name.into(),
        data_centre: dc.into(),
        listen: any_port(),
        admin_listen: any_port(),
        kv: Vec::new(),
        peer_key: settings::Secret::from(PEER_KEY),
        upstream_addr,
        kind,
        log_level: settings::defaults::LOG_LEVEL,
        stop_deadline: settings::defaults::STOP_DEADLINE,
    }
}

fn gateway_settings(dc: &str, rating: SocketAddr) -> settings::Gateway {
    settings::Gateway {
        name: format!("gateway-{dc}"),
        data_centre: dc.into(),
        listen: any_port(),
        admin_listen: any_port(),
        kv: Vec::new(),
        peer_key: settings::Secret::from(PEER_KEY),
        session_keys: vec![settings::SessionKey {
            id: "demo".to_owned(),
            secret: settings::Secret::from("session key of the demo, 32 bytes"),
        }],
        rating: Some(rating),
        vm_list: None,
        seeds: Vec::new(),
        max_body_bytes: settings::defaults::MAX_BODY_BYTES,
        max_header_bytes: settings::defaults::MAX_HEADER_BYTES,
        log_level: settings::defaults::LOG_LEVEL,
        stop_deadline: settings::defaults::STOP_DEADLINE,
    }
}

fn key_hash() -> String {
    crate::standin::digest(API_KEY.as_bytes())
}
