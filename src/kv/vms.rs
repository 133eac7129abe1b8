//! Client for the platform's list of live and leaving VMs, which may be out of date.
//!
//! The list is one JSON document, fetched over HTTP: `{"vms": [{"name": "engine-1", "state": "live"}]}`. The
//! name of a VM is that of its upstream or gateway; `state` is `live` or `leaving`.

use std::net::SocketAddr;

use actix_http::Method;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::units::Millis;
use crate::upstream::exchange::{Request, send};
use crate::upstream::{Timeouts, UpstreamError};

/// HTTP path of the list.
pub const PATH: &str = "/vms";

/// Maximum size of the list in bytes; 2,210 VMs take 150 KB.
const MAX_LIST_BYTES: usize = 1 << 20;

const LIST_TIMEOUTS: Timeouts = Timeouts {
    connect: Millis::from_secs(1),
    first_byte: Millis::from_secs(2),
    idle: Millis::from_secs(2),
};

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Running.
    Live,
    /// About to be stopped.
    Leaving,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// State of the VM.
    pub state: VmState,
}

/// The VM list as the platform returns it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// All VMs in the list of the platform.
    pub vms: Vec<Vm>,
}

/// Fetches the list.
///
/// # Errors
/// [`UpstreamError`] if the request fails or the answer is not a valid list.
pub async fn fetch(addr: SocketAddr) -> Result<VmList, UpstreamError> {
    let request = Request {
        method: Method::GET,
        target: PATH.to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let response = send(addr, LIST_TIMEOUTS, &request)
        .await?
        .error_for_status()
        .await?;
    let body = response.body.collect(MAX_LIST_BYTES).await?;
    serde_json::from_slice(&body)
        .map_err(|error| UpstreamError::Invalid(format!("VM list of {addr}: {error}")))
}
