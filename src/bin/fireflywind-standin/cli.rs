//! Command-line arguments.

use std::net::SocketAddr;

use fireflywind::standin::{engine, rating, service};
use lexopt::prelude::*;
use serde::de::DeserializeOwned;

const USAGE: &str = "\
usage: fireflywind-standin kv|vms [--listen IP:PORT]
       fireflywind-standin engine [--listen IP:PORT] [--behaviour JSON] [--checks-fencing] [--slots N]
       fireflywind-standin service|rating [--listen IP:PORT] [--behaviour JSON]";

/// The stand-in to run, with its settings.
#[derive(Debug)]
pub enum Kind {
    /// The key-value service.
    Kv,
    /// The list of VMs.
    Vms,
    /// A model engine.
    Engine(engine::Options, engine::Behaviour),
    /// A plain service.
    Service(service::Behaviour),
    /// The rating service.
    Rating(rating::Behaviour),
}

/// The parsed arguments.
#[derive(Debug)]
pub struct Command {
    /// The stand-in to run.
    pub kind: Kind,
    /// The address to listen on.
    pub listen: SocketAddr,
}

/// Parses the arguments of this process.
pub fn parse() -> Result<Command, String> {
    read(lexopt::Parser::from_env()).map_err(|error| format!("{error}\n{USAGE}"))
}

fn read(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut name = None;
    let mut listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut options = engine::Options::default();
    let mut behaviour = "{}".to_owned();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("listen") => listen = parser.value()?.parse()?,
            Long("behaviour") => behaviour = parser.value()?.string()?,
            Long("checks-fencing") => options.checks_fencing = true,
            Long("slots") => options.slots = parser.value()?.parse()?,
            Value(value) if name.is_none() => name = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let kind = match name.as_deref() {
        Some("kv") => Kind::Kv,
        Some("vms") => Kind::Vms,
        Some("engine") => Kind::Engine(options, json(&behaviour)?),
        Some("service") => Kind::Service(json(&behaviour)?),
        Some("rating") => Kind::Rating(json(&behaviour)?),
        Some(other) => return Err(format!("unknown stand-in {other:?}").into()),
        None => return Err("the name of a stand-in is missing".into()),
    };
    Ok(Command { kind, listen })
}

fn json<T: DeserializeOwned>(text: &str) -> Result<T, lexopt::Error> {
    serde_json::from_str(text).map_err(|error| format!("--behaviour: {error}").into())
}
