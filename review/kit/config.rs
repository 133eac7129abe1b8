//! Configurations as the operator writes them.

/// A route of a configuration.
#[derive(Debug, Clone)]
pub struct Route {
    pub name: String,
    pub prefix: String,
    pub kind: &'static str,
    pub service: String,
    pub timeout_ms: u64,
    pub is_public: bool,
}

impl Route {
    pub fn new(name: &str, kind: &'static str, service: &str, timeout_ms: u64) -> Self {
        Self {
            name: format!("r-{name}"),
            prefix: format!("/{name}/"),
            kind,
            service: service.to_owned(),
            timeout_ms,
            is_public: true,
        }
    }
}

/// The host of all routes.
pub const HOST: &str = "shop.example";

/// The keys of the two tenants.
pub const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"];

/// Returns a configuration with these routes and services, the limits of `inci-rota` and two tenants.
pub fn config(version: u64, routes: &[Route], services: &[&str]) -> String {
    config_with(version, routes, services, 4_194_304)
}

/// Returns the same with another `maxBodyBytes`.
pub fn config_with(version: u64, routes: &[Route], services: &[&str], body_bytes: usize) -> String {
    let attempts = |r: &Route| if r.kind == "unsafe" { 1 } else { 2 };
    let routes = routes.iter().map(|r| {
        format!(
            r#"{{"name":"{}","host":"{HOST}","prefix":"{}","type":"{}","timeoutMs":{},"goalMs":150,"priority":2,"service":"{}","attempts":{},"public":{},"sticky":false,"resumable":false}}"#,
            r.name, r.prefix, r.kind, r.timeout_ms, r.service, attempts(r), r.is_public
        )
    });
    let routes: Vec<String> = routes.collect();
    let services = services.iter().map(|s| {
        format!(
            r#"{{"name":"{s}","healthPath":"/healthz","maxConns":960,"proto":"h1","tls":false}}"#
        )
    });
    let services: Vec<String> = services.collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{body_bytes},"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{}"],"priority":1}},{{"name":"kadi114","apiKeys":["{}"],"priority":1}}]}}"#,
        routes.join(","),
        services.join(","),
        KEYS[0],
        KEYS[1]
    )
}
