//! Settings of the agent.

use std::net::SocketAddr;
use std::path::PathBuf;

use log::LevelFilter;
use serde::Deserialize;

use super::{
    ADDRESSES, Field, LOG_LEVEL, SECRET, STOP_DEADLINE, Secret, Shape, defaults, into_result,
    parse_shape, peer_key, require_distinct_addresses, require_non_empty,
};
use crate::ids::{DataCentre, UpstreamId};
use crate::sheet::finding::Finding;
use crate::units::Millis;

const AGENT: Shape = Shape::Object(&[
    Field::required("upstream", Shape::Name),
    Field::required("data_centre", Shape::Name),
    Field::required("listen", Shape::Address),
    Field::required("admin_listen", Shape::Address),
    Field::required("kv", ADDRESSES),
    Field::optional("peer_key", SECRET),
    Field::optional("peer_key_file", Shape::Text),
    Field::required("upstream_addr", Shape::Address),
    Field::required("kind", Shape::OneOf(&["engine", "service"])),
    Field::optional("log_level", LOG_LEVEL),
    Field::optional("stop_deadline", STOP_DEADLINE),
]);

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// Name of the upstream, as in the sheet.
    pub upstream: UpstreamId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address for gateways, as in the sheet.
    pub listen: SocketAddr,
    /// Address for health and metrics.
    pub admin_listen: SocketAddr,
    /// Addresses of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// Key that gateways and agents share.
    pub peer_key: Secret,
    /// Address of the engine or the plain service.
    pub upstream_addr: SocketAddr,
    /// Kind of upstream that the agent serves.
    pub kind: AgentKind,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Time limit of a planned stop.
    pub stop_deadline: Millis,
}

/// Kind of upstream that an agent serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The fields of the file, before defaults are filled in.
#[derive(Deserialize)]
struct Given {
    upstream: UpstreamId,
    data_centre: DataCentre,
    listen: SocketAddr,
    admin_listen: SocketAddr,
    kv: Vec<SocketAddr>,
    peer_key: Option<Secret>,
    peer_key_file: Option<PathBuf>,
    upstream_addr: SocketAddr,
    kind: AgentKind,
    log_level: Option<String>,
    stop_deadline: Option<Millis>,
}

impl Agent {
    /// Parses the settings and reads the peer key file if there is one.
    ///
    /// # Errors
    /// All findings; at least one.
    pub fn parse(text: &[u8]) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let file: Given = parse_shape(text, &AGENT, &mut findings)?;
        require_non_empty(&file.kv, "kv", &mut findings);
        require_distinct_addresses(file.listen, file.admin_listen, &mut findings);
        let settings = Self {
            peer_key: peer_key(file.peer_key, file.peer_key_file, &mut findings),
            upstream: file.upstream,
            data_centre: file.data_centre,
            listen: file.listen,
            admin_listen: file.admin_listen,
            kv: file.kv,
            upstream_addr: file.upstream_addr,
            kind: file.kind,
            log_level: super::log_level(file.log_level.as_deref()),
            stop_deadline: file.stop_deadline.unwrap_or(defaults::STOP_DEADLINE),
        };
        into_result(settings, findings)
    }
}
