//! Arguments of the program.

use std::net::SocketAddr;

use fireflywind::standin::engine::Options;
use lexopt::prelude::*;

const USAGE: &str = "usage: fireflywind-standin kv|engine|service|rating [--listen IP:PORT]
       engine options: --checks-fencing, --slots N";

/// Which stand-in runs.
#[derive(Debug)]
pub enum Kind {
    /// The key-value service.
    Kv,
    /// A model engine.
    Engine(Options),
    /// A plain service.
    Service,
    /// The rating service.
    Rating,
}

/// The parsed arguments.
#[derive(Debug)]
pub struct Command {
    /// The stand-in.
    pub kind: Kind,
    /// The address to listen on.
    pub listen: SocketAddr,
}

/// Reads the arguments of this process.
pub fn parse() -> Result<Command, String> {
    read(lexopt::Parser::from_env()).map_err(|error| format!("{error}\n{USAGE}"))
}

fn read(mut parser: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut name = None;
    let mut listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("listen") => listen = parser.value()?.parse()?,
            Long("checks-fencing") => options.checks_fencing = true,
            Long("slots") => options.slots = parser.value()?.parse()?,
            Value(value) if name.is_none() => name = Some(value.string()?),
            other => return Err(other.unexpected()),
        }
    }
    let kind = match name.as_deref() {
        Some("kv") => Kind::Kv,
        Some("engine") => Kind::Engine(options),
        Some("service") => Kind::Service,
        Some("rating") => Kind::Rating,
        Some(other) => return Err(format!("unknown stand-in {other:?}").into()),
        None => return Err("the name of a stand-in is missing".into()),
    };
    Ok(Command { kind, listen })
}
