//! The routing table in force: routes, client accounts and limits of one configuration version.

use std::rc::Rc;

use crate::units::Millis;

/// Whether a route's requests may be repeated, and whether their answers are streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// A request that may run any number of times.
    Idempotent,
    /// A request that may run at most once.
    AtMostOnce,
    /// An event stream that may be resumed at another upstream.
    ResumableStream,
    /// An event stream whose request may run at most once.
    Stream,
}

impl RequestKind {
    /// Returns whether a request that may have run can be sent again.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Rc<str>,
    /// Weight of the service relative to the route's other targets.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Rc<str>,
    /// Host that it applies to, in lower case.
    pub host: Rc<str>,
    /// Path prefix, with a slash at both ends.
    pub prefix: Rc<str>,
    /// Kind of its requests.
    pub kind: RequestKind,
    /// Time after which a request times out.
    pub timeout: Millis,
    /// Time within which an answer has its full value.
    pub latency_target: Millis,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of upstreams that may run one request.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether requests carry prompts whose prefixes are cached by upstreams.
    pub has_prompts: bool,
    /// Longest pause between two events of a stream.
    pub max_event_gap: Millis,
    /// Models to choose from, smallest first; empty if the client names the model.
    pub models: Vec<Rc<str>>,
    /// Services that take the requests.
    pub targets: Vec<Target>,
    /// Regions whose upstreams may get the requests; empty if any may.
    pub homes: Vec<Rc<str>>,
}

impl Route {
    /// Chooses the service of a request by weight; `draw` is a uniform random number.
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&Rc<str>> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &self.targets {
            match left.checked_sub(u64::from(target.weight)) {
                Some(rest) => left = rest,
                None => return Some(&target.service),
            }
        }
        None
    }
}

/// A service's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: Rc<str>,
    /// Connections that an upstream accepts from all of its clients together.
    pub max_connections: u32,
    /// Whether its upstreams are model engines.
    pub is_engine: bool,
    /// Time for which an upstream is cold after a start.
    pub cold: Millis,
    /// Requests a second that a cold upstream tolerates; 0 if its upstreams are never cold.
    pub cold_per_s: f64,
    /// Token price of each model, in any unit, sorted by the model's name.
    pub model_prices: Vec<(Rc<str>, f64)>,
}

impl ServiceSettings {
    /// Returns the work per token of a model, in permille of that of the most expensive model. Prices are taken as
    /// proportional to the work.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to 0..=1000"
    )]
    pub fn work_permille(&self, model: &str) -> Option<u64> {
        let found = (self.model_prices).binary_search_by(|(name, _)| name.as_ref().cmp(model));
        let price = self.model_prices[found.ok()?].1;
        let highest_price = (self.model_prices.iter())
            .map(|(_, p)| *p)
            .fold(0.0, f64::max);
        (highest_price > 0.0).then(|| {
            (price / highest_price * 1_000.0)
                .round()
                .clamp(0.0, 1_000.0) as u64
        })
    }
}

/// The client account of an API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name of the client account.
    pub name: Rc<str>,
    /// Priority that replaces the route's.
    pub priority: Option<u8>,
    /// Regions whose upstreams may get the account's requests; empty if any may.
    pub homes: Vec<Rc<str>>,
}

/// Limits on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Millis,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for ClientLimits {
    /// Returns the limits that apply until a configuration is known; the first deployments use the same values.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Millis::from_secs(3),
            idle_timeout: Millis::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    /// Version number; it never decreases.
    pub version: u64,
    routes: Vec<Rc<Route>>,
    services: Vec<ServiceSettings>,
    keys: Vec<(Rc<str>, Rc<Account>)>,
    has_accounts: bool,
    /// Limits on what a client may send.
    pub limits: ClientLimits,
}

impl RouteTable {
    /// Creates a table; `accounts` maps API keys to client accounts and is `None` if requests carry no keys.
    #[must_use]
    pub fn new(
        version: u64,
        mut routes: Vec<Rc<Route>>,
        mut services: Vec<ServiceSettings>,
        accounts: Option<Vec<(Rc<str>, Rc<Account>)>>,
        limits: ClientLimits,
    ) -> Self {
        // Within a host, the longest prefix comes first, so that the first match is the most specific one.
        routes.sort_by(|a, b| {
            (a.host.cmp(&b.host)).then_with(|| b.prefix.len().cmp(&a.prefix.len()))
        });
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let has_accounts = accounts.is_some();
        let mut keys = accounts.unwrap_or_default();
        keys.sort_by(|a, b| a.0.cmp(&b.0));
        Self {
            version,
            routes,
            services,
            keys,
            has_accounts,
            limits,
        }
    }

    /// Returns the route for a host and path: the one with the longest prefix of the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let first = self.routes.partition_point(|r| *r.host < *host);
        let of_host = self.routes[first..].iter().take_while(|r| *r.host == *host);
        of_host
            .into_iter()
            .find(|r| path.starts_with(r.prefix.as_ref()))
    }

    /// Returns all routes.
    #[must_use]
    pub fn routes(&self) -> &[Rc<Route>] {
        &self.routes
    }

    /// Returns a service's settings.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSettings> {
        let found = self
            .services
            .binary_search_by(|s| s.name.as_ref().cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// Returns whether requests must carry API keys, except on public routes.
    #[must_use]
    pub const fn has_accounts(&self) -> bool {
        self.has_accounts
    }

    /// Returns the client account of an API key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Rc<Account>> {
        let found = self.keys.binary_search_by(|(k, _)| k.as_ref().cmp(key));
        found.ok().map(|at| &self.keys[at].1)
    }
}
