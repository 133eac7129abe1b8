//! Types of the sheet; each list is sorted by `id` once a sheet has been parsed.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{
    AccountId, ClassId, DataCentre, ModelId, ServiceId, UpstreamId, VersionId, VersionRef,
};
use crate::units::{Micros, Millis, Permille, Tokens};

/// The whole configuration that operators define; it takes effect as one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Models with their versions.
    pub models: Vec<Model>,
    /// Cascades of versions, cheapest first.
    #[serde(default)]
    pub cascades: Vec<Cascade>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Upstreams and their agents.
    pub upstreams: Vec<Upstream>,
    /// Weights and limits of the deployment.
    #[serde(default)]
    pub policy: Policy,
}

impl Sheet {
    /// Sorts every list by its key, as the lookups use binary search.
    pub fn sort(&mut self) {
        self.accounts.sort_by(|a, b| a.id.cmp(&b.id));
        self.models.sort_by(|a, b| a.id.cmp(&b.id));
        self.cascades.sort_by(|a, b| a.id.cmp(&b.id));
        self.classes.sort_by(|a, b| a.id.cmp(&b.id));
        self.services.sort_by(|a, b| a.id.cmp(&b.id));
        self.upstreams.sort_by(|a, b| a.id.cmp(&b.id));
        for account in &mut self.accounts {
            account.allow.sort();
            account.services.sort();
            account.limits.sort_by(|a, b| a.class.cmp(&b.class));
        }
        for model in &mut self.models {
            model.versions.sort_by(|a, b| a.id.cmp(&b.id));
        }
    }

    /// Finds a client account by its name.
    #[must_use]
    pub fn account(&self, id: &AccountId) -> Option<&Account> {
        find(&self.accounts, |a| a.id.cmp(id))
    }

    /// Finds a version by its reference.
    #[must_use]
    pub fn version(&self, id: &VersionRef) -> Option<&Version> {
        let model = find(&self.models, |m| m.id.cmp(&id.model))?;
        find(&model.versions, |v| v.id.cmp(&id.version))
    }

    /// Finds a request class by its name.
    #[must_use]
    pub fn class(&self, id: &ClassId) -> Option<&Class> {
        find(&self.classes, |c| c.id.cmp(id))
    }

    /// Finds a cascade by its name.
    #[must_use]
    pub fn cascade(&self, id: &ClassId) -> Option<&Cascade> {
        find(&self.cascades, |c| c.id.cmp(id))
    }

    /// Finds a plain service by its name.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        find(&self.services, |s| s.id.cmp(id))
    }

    /// Finds an upstream by its name.
    #[must_use]
    pub fn upstream(&self, id: &UpstreamId) -> Option<&Upstream> {
        find(&self.upstreams, |u| u.id.cmp(id))
    }
}

fn find<T>(items: &[T], cmp: impl FnMut(&T) -> std::cmp::Ordering) -> Option<&T> {
    let index = items.binary_search_by(cmp).ok()?;
    items.get(index)
}

/// A customer whose requests are authorised, limited and billed together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account.
    pub id: AccountId,
    /// SHA-256 of each valid API key, 64 hexadecimal digits.
    pub key_hashes: Vec<String>,
    /// Versions the account may use.
    #[serde(default)]
    pub allow: Vec<VersionRef>,
    /// Plain services the account may call.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Limits by request class; a class without an entry is not limited.
    #[serde(default)]
    pub limits: Vec<Limit>,
    /// Priority of the account's requests.
    #[serde(default)]
    pub priority: Priority,
}

/// Limits of one account for one request class, over all gateways together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// The class that the limit is for.
    pub class: ClassId,
    /// Requests per second; a burst may use up to one second's allowance.
    pub requests_per_s: u32,
    /// Generated tokens per minute.
    pub tokens_per_min: Tokens,
    /// Largest number of requests in flight.
    pub concurrency: u32,
}

/// Order in which requests are served when capacity runs out.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served last and shed first.
    Low,
    /// The default priority.
    #[default]
    Normal,
    /// Served first and shed last.
    High,
}

/// A model and its versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub id: ModelId,
    /// The model's versions.
    pub versions: Vec<Version>,
}

/// One version of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name of the version within its model.
    pub id: VersionId,
    /// Whether the version takes new requests.
    pub state: VersionState,
    /// The operator's cost of a thousand tokens.
    pub cost_per_1k: Micros,
    /// The client account's price of a thousand tokens.
    pub price_per_1k: Micros,
    /// Present while the version is being rolled out alongside a stable one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Rollout>,
}

/// State of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Takes new requests and new sessions.
    Serving,
    /// Takes only requests of its existing sessions.
    Draining,
    /// Takes no new request.
    Withdrawn,
}

/// A roll-out of a version that is to replace a stable version of the same model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The stable version that the new one replaces.
    pub replaces: VersionId,
    /// Largest share of the stable version's requests that the new one may get.
    pub max_share: Permille,
}

/// A named cascade; its ID has the same type as that of a class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// Name of the cascade.
    pub id: ClassId,
    /// Versions to try in this order.
    pub steps: Vec<VersionRef>,
}

/// A class of requests with one quality target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub id: ClassId,
    /// Share of answers that must be of sufficient quality.
    pub quality_target: Permille,
    /// Cascade that serves the class.
    pub cascade: ClassId,
    /// Time from arrival to the end of the answer.
    pub deadline: Millis,
}

/// A plain service, reached by path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Path prefix of its calls, starting with `/`.
    pub path_prefix: String,
    /// Prices of calls; the longest matching path prefix applies. A call without a price is free.
    #[serde(default)]
    pub prices: Vec<Price>,
    /// Time limit of a call.
    pub deadline: Millis,
}

/// The price of one kind of call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// Name of the item on the bill, such as `download-credit` or `donation`.
    pub item: String,
    /// HTTP method of the call.
    pub method: String,
    /// Path prefix of the call.
    pub path_prefix: String,
    /// Price of one call.
    pub amount: Micros,
}

/// An upstream VM and its agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Address of the agent.
    pub agent: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// What the upstream serves.
    pub serves: UpstreamKind,
    /// Whether the engine rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// What an upstream serves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum UpstreamKind {
    /// A model engine.
    Engine {
        /// Versions that are loaded.
        versions: Vec<VersionRef>,
        /// Number of requests that the engine can batch.
        slots: u32,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceId,
        /// Number of calls that can run concurrently.
        slots: u32,
    },
}

/// Weights and limits of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Weight of exposure to bad versions, in thousandths; a higher weight slows roll-outs down.
    pub exposure_weight: Permille,
    /// Weight of latency against cost, in thousandths; a higher weight prefers short queues.
    pub latency_weight: Permille,
    /// How long a process keeps serving without confirmation that its sheet is current.
    pub max_staleness: Millis,
    /// How long an idempotency key is valid.
    pub key_lifetime: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            exposure_weight: Permille(500),
            latency_weight: Permille(500),
            // Twice the longest network partition between regions that is expected, one hour.
            max_staleness: Millis::from_secs(7_200),
            key_lifetime: Millis::from_secs(86_400),
        }
    }
}
