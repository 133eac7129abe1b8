//! Connections of the program: the key-value service and the gateways.

use std::net::SocketAddr;

use fireflywind::operator::Held;
use fireflywind::platform::KeyValue;
use fireflywind::settings::Operator;

/// Connects to the key-value service.
///
/// # Errors
/// Always, until the library has a client of the service.
pub fn connect(settings: &Operator) -> Result<Box<dyn KeyValue>, String> {
    Err(format!(
        "no client of the key-value service at {:?} is compiled in",
        settings.kv
    ))
}

/// Asks each gateway for its revision; none answers until gateways have an admin interface.
pub fn poll(gateways: &[SocketAddr]) -> Vec<Held> {
    let held = |address: &SocketAddr| Held {
        process: address.to_string(),
        revision: None,
    };
    gateways.iter().map(held).collect()
}
