//! Entries that gateways take but that have no effect, and limits that contradict each other.

use serde_json::Value;

use super::{Finding, Severity, Surroundings};

/// Returns the doubtful entries of a configuration.
pub(super) fn doubtful(config: &Value, surroundings: Option<&Surroundings>) -> Vec<Finding> {
    let mut doubts = Doubts {
        config,
        surroundings,
        findings: Vec::new(),
    };
    doubts.names();
    doubts.routes();
    doubts.accounts();
    doubts.limits();
    doubts.findings
}

struct Doubts<'a> {
    config: &'a Value,
    surroundings: Option<&'a Surroundings>,
    findings: Vec<Finding>,
}

fn list<'a>(value: &'a Value, name: &str) -> &'a [Value] {
    let entries = value.get(name).and_then(Value::as_array);
    entries.map_or(&[], Vec::as_slice)
}

fn text<'a>(value: &'a Value, name: &str) -> Option<&'a str> {
    value.get(name).and_then(Value::as_str)
}

fn number(value: &Value, name: &str) -> Option<f64> {
    value.get(name).and_then(Value::as_f64)
}

impl Doubts<'_> {
    fn add(&mut self, place: String, wanted: impl Into<String>) {
        let finding = Finding::new(self.config, place, Severity::Doubtful, wanted);
        self.findings.push(finding);
    }

    /// Names that are used twice hide an entry.
    fn names(&mut self) {
        for name in ["routes", "services", "tenants"] {
            let entries = list(self.config, name);
            for (at, entry) in entries.iter().enumerate() {
                let same = |other: &&Value| text(other, "name") == text(entry, "name");
                if text(entry, "name").is_some() && entries[..at].iter().any(|o| same(&o)) {
                    let place = format!("/{name}/{at}/name");
                    self.add(place, "a name that no other entry of the list has");
                }
            }
        }
    }

    fn routes(&mut self) {
        let routes = list(self.config, "routes");
        for (at, route) in routes.iter().enumerate() {
            let place = format!("/routes/{at}");
            self.matching(&place, route, &routes[..at]);
            self.targets(&place, route);
            self.models(&place, route);
            self.times(&place, route);
            self.homes(&place, route, &target_services(route));
        }
    }

    /// Routes that no request can match.
    fn matching(&mut self, place: &str, route: &Value, earlier: &[Value]) {
        let host = |route: &Value| text(route, "host").map(str::to_ascii_lowercase);
        if let (Some(own), Some(prefix)) = (host(route), text(route, "prefix")) {
            let is_same = |other: &&Value| {
                host(other).as_ref() == Some(&own) && text(other, "prefix") == Some(prefix)
            };
            if let Some(first) = earlier.iter().position(|other| is_same(&other)) {
                let wanted = format!(
                    "another host or prefix than that of /routes/{first}, which takes its requests"
                );
                self.add(format!("{place}/prefix"), wanted);
            }
            if !prefix.starts_with('/') {
                self.add(format!("{place}/prefix"), "a path that begins with /");
            }
            if own.is_empty() || own.contains(['/', ' ']) || own.contains(':') && !own.contains(']')
            {
                self.add(format!("{place}/host"), "a host without a port");
            }
        }
    }

    fn targets(&mut self, place: &str, route: &Value) {
        let services = list(self.config, "services");
        let is_defined = |name: &str| services.iter().any(|s| text(s, "name") == Some(name));
        for (target, name) in target_places(place, route) {
            if !is_defined(name) {
                self.add(target, "the name of an entry in /services");
            } else if let Some(surroundings) = self.surroundings
                && !surroundings.upstreams.iter().any(|(s, _)| s == name)
            {
                self.add(target, "a service with at least one upstream");
            }
        }
        let split = list(route, "split");
        if route.get("split").is_some_and(Value::is_array) {
            // Gateways count thousandths.
            let weights = split
                .iter()
                .map(|part| number(part, "weight").unwrap_or(1.0));
            if weights
                .map(|weight| (weight * 1_000.0).floor().max(0.0))
                .sum::<f64>()
                <= 0.0
            {
                self.add(format!("{place}/split"), "weights with a sum above 0");
            }
            for (at, part) in split.iter().enumerate() {
                if number(part, "weight").is_some_and(|weight| weight < 0.0) {
                    let place = format!("{place}/split/{at}/weight");
                    self.add(place, "a weight that is not negative");
                }
            }
            if route.get("service").is_some_and(Value::is_string) {
                let wanted = "either service or split; split is used";
                self.add(format!("{place}/service"), wanted);
            }
        }
    }

    /// Models that no service of the route has.
    fn models(&mut self, place: &str, route: &Value) {
        let services = list(self.config, "services");
        let targets = target_services(route);
        let has_model = |model: &Value| {
            let of_route = |s: &&Value| text(s, "name").is_some_and(|name| targets.contains(&name));
            services.iter().filter(of_route).any(|service| {
                let engine = service.get("engine").unwrap_or(&Value::Null);
                list(engine, "models")
                    .iter()
                    .any(|m| m.get("name") == Some(model))
            })
        };
        for (at, model) in list(route, "sizes").iter().enumerate() {
            if model.is_string() && !has_model(model) {
                let place = format!("{place}/sizes/{at}");
                self.add(place, "a model of a service of the route");
            }
        }
    }

    /// Limits of a route that contradict each other.
    fn times(&mut self, place: &str, route: &Value) {
        let timeout = number(route, "timeoutMs");
        if let Some(timeout) = timeout {
            if timeout <= 0.0 {
                self.add(format!("{place}/timeoutMs"), "a time above 0");
            }
            for name in ["goalMs", "gapAimMs"] {
                if number(route, name).is_some_and(|time| time > timeout) {
                    let wanted = format!("at most timeoutMs, {timeout}");
                    self.add(format!("{place}/{name}"), wanted);
                }
            }
        }
        let kind = text(route, "type");
        match number(route, "attempts") {
            Some(attempts) if attempts < 1.0 => {
                self.add(format!("{place}/attempts"), "at least 1, which is used");
            }
            Some(attempts) if attempts >= 2.0 && kind == Some("unsafe") => {
                let wanted = "1; an unsafe request is not sent again after it may have run";
                self.add(format!("{place}/attempts"), wanted);
            }
            _ => {}
        }
        for name in ["resumable", "gapAimMs"] {
            let is_set = route.get(name).is_some_and(|value| {
                value.as_bool() == Some(true) || value.as_f64().is_some_and(|time| time > 0.0)
            });
            if is_set && matches!(kind, Some("safe" | "unsafe")) {
                let wanted = "absent; it has an effect on streams only";
                self.add(format!("{place}/{name}"), wanted);
            }
        }
    }

    /// Homes in which no upstream of the services is.
    fn homes(&mut self, place: &str, entry: &Value, services: &[&str]) {
        let homes = list(entry, "homeRegions");
        let Some(surroundings) = self.surroundings.filter(|_| !homes.is_empty()) else {
            return;
        };
        let is_home = |region: &Option<String>| {
            let is = |home: &Value| home.as_str() == region.as_deref();
            region.is_some() && homes.iter().any(is)
        };
        let is_served = |(service, region): &(String, Option<String>)| {
            (services.is_empty() || services.contains(&service.as_str())) && is_home(region)
        };
        if !surroundings.upstreams.iter().any(is_served) {
            let wanted = "a region with an upstream that may take the requests";
            self.add(format!("{place}/homeRegions"), wanted);
        }
    }

    fn accounts(&mut self) {
        let accounts = list(self.config, "tenants");
        let mut known: Vec<(&str, usize)> = Vec::new();
        for (at, account) in accounts.iter().enumerate() {
            let place = format!("/tenants/{at}");
            let keys = list(account, "apiKeys");
            if account.is_object() && keys.is_empty() {
                self.add(format!("{place}/apiKeys"), "at least one API key");
            }
            for (n, key) in keys.iter().enumerate() {
                let Some(key) = key.as_str() else { continue };
                let place = format!("{place}/apiKeys/{n}");
                if key.is_empty() || key.trim() != key {
                    self.add(place, "a key without spaces around it");
                } else if let Some((_, first)) = known.iter().find(|(known, _)| *known == key) {
                    let wanted = format!("a key that /tenants/{first} does not have");
                    self.add(place, wanted);
                } else {
                    known.push((key, at));
                }
            }
            self.homes(&place, account, &[]);
        }
        if self.config.get("tenants").is_some_and(Value::is_array) && accounts.is_empty() {
            let is_public = |route: &Value| route.get("public") == Some(&Value::Bool(true));
            if !list(self.config, "routes").iter().all(is_public) {
                let wanted = "an account, since a route that is not public wants a key";
                self.add("/tenants".to_owned(), wanted);
            }
        }
    }

    /// Limits on clients that contradict each other or refuse everything.
    fn limits(&mut self) {
        let Some(limits) = self.config.get("limits").filter(|l| l.is_object()) else {
            return;
        };
        for name in [
            "maxHeaderBytes",
            "maxBodyBytes",
            "headerTimeoutMs",
            "idleTimeoutMs",
        ] {
            if number(limits, name).is_some_and(|limit| limit < 1.0) {
                self.add(format!("/limits/{name}"), "at least 1");
            }
        }
        let idle = number(limits, "idleTimeoutMs");
        if let (Some(head), Some(idle)) = (number(limits, "headerTimeoutMs"), idle)
            && head > idle
        {
            let wanted = format!("at most idleTimeoutMs, {idle}");
            self.add("/limits/headerTimeoutMs".to_owned(), wanted);
        }
    }
}

/// Returns the places and names of a route's services.
fn target_places<'a>(place: &str, route: &'a Value) -> Vec<(String, &'a str)> {
    if route.get("split").is_some_and(Value::is_array) {
        let parts = list(route, "split").iter().enumerate();
        let parts = parts.map(|(at, part)| {
            let name = text(part, "service")?;
            Some((format!("{place}/split/{at}/service"), name))
        });
        return parts.flatten().collect();
    }
    let service = text(route, "service");
    let service = service.map(|name| (format!("{place}/service"), name));
    service.into_iter().collect()
}

fn target_services(route: &Value) -> Vec<&str> {
    let places = target_places("", route);
    places.into_iter().map(|(_, name)| name).collect()
}
