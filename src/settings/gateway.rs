//! Settings of the gateway.

use std::net::SocketAddr;
use std::path::PathBuf;

use log::LevelFilter;
use serde::Deserialize;

use super::{
    ADDRESSES, Field, LOG_LEVEL, SECRET, STOP_DEADLINE, Secret, Shape, defaults, into_result,
    parse_shape, peer_key, require_distinct_addresses, require_non_empty,
};
use crate::ids::DataCentre;
use crate::sheet::finding::{Finding, Rule};
use crate::units::Millis;

/// Range of the body size limit, in bytes.
const BODY_BYTES: Shape = Shape::Integer(1, 64 * 1_048_576);

/// Range of the head size limit, in bytes.
const HEADER_BYTES: Shape = Shape::Integer(1_024, 1_048_576);

const GATEWAY: Shape = Shape::Object(&[
    Field::required("name", Shape::Name),
    Field::required("data_centre", Shape::Name),
    Field::required("listen", Shape::Address),
    Field::required("admin_listen", Shape::Address),
    Field::required("kv", ADDRESSES),
    Field::optional("peer_key", SECRET),
    Field::optional("peer_key_file", Shape::Text),
    Field::required("session_keys", Shape::List(&SESSION_KEY)),
    Field::optional("rating", Shape::Address),
    Field::optional("vm_list", Shape::Address),
    Field::optional("seeds", ADDRESSES),
    Field::optional("max_body_bytes", BODY_BYTES),
    Field::optional("max_header_bytes", HEADER_BYTES),
    Field::optional("log_level", LOG_LEVEL),
    Field::optional("stop_deadline", STOP_DEADLINE),
]);

const SESSION_KEY: Shape = Shape::Object(&[
    Field::required("id", Shape::Name),
    Field::required("secret", SECRET),
]);

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gateway {
    /// Name of the gateway in logs and metrics.
    pub name: String,
    /// Data centre of the VM; upstreams in the same one are preferred.
    pub data_centre: DataCentre,
    /// Address for callers' requests.
    pub listen: SocketAddr,
    /// Address for health, metrics, explanations and the revision in force.
    pub admin_listen: SocketAddr,
    /// Addresses of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// Key that gateways and agents share.
    pub peer_key: Secret,
    /// Keys of session tokens: the first one signs, all of them verify.
    pub session_keys: Vec<SessionKey>,
    /// Address of the rating service; without one, no answer is rated.
    pub rating: Option<SocketAddr>,
    /// Address of the platform's VM list; without one, the gateway relies on direct evidence only.
    pub vm_list: Option<SocketAddr>,
    /// Addresses of some agents, from which the gateway gets the sheet if it starts during an outage of the
    /// key-value service.
    pub seeds: Vec<SocketAddr>,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Largest request head, in bytes.
    pub max_header_bytes: u64,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Time limit of a planned stop.
    pub stop_deadline: Millis,
}

/// A key of session tokens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct SessionKey {
    /// Name of the key, which tokens carry.
    pub id: String,
    /// The key.
    pub secret: Secret,
}

/// The fields of the file, before defaults are filled in.
#[derive(Deserialize)]
struct Given {
    name: String,
    data_centre: DataCentre,
    listen: SocketAddr,
    admin_listen: SocketAddr,
    kv: Vec<SocketAddr>,
    peer_key: Option<Secret>,
    peer_key_file: Option<PathBuf>,
    session_keys: Vec<SessionKey>,
    rating: Option<SocketAddr>,
    vm_list: Option<SocketAddr>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    max_body_bytes: Option<u64>,
    max_header_bytes: Option<u64>,
    log_level: Option<String>,
    stop_deadline: Option<Millis>,
}

impl Gateway {
    /// Parses the settings and reads the peer key file if there is one.
    ///
    /// # Errors
    /// All findings; at least one.
    pub fn parse(text: &[u8]) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let file: Given = parse_shape(text, &GATEWAY, &mut findings)?;
        require_non_empty(&file.kv, "kv", &mut findings);
        require_non_empty(&file.session_keys, "session_keys", &mut findings);
        require_distinct_key_ids(&file.session_keys, &mut findings);
        require_distinct_addresses(file.listen, file.admin_listen, &mut findings);
        let settings = Self {
            peer_key: peer_key(file.peer_key, file.peer_key_file, &mut findings),
            name: file.name,
            data_centre: file.data_centre,
            listen: file.listen,
            admin_listen: file.admin_listen,
            kv: file.kv,
            session_keys: file.session_keys,
            rating: file.rating,
            vm_list: file.vm_list,
            seeds: file.seeds,
            max_body_bytes: file.max_body_bytes.unwrap_or(defaults::MAX_BODY_BYTES),
            max_header_bytes: file.max_header_bytes.unwrap_or(defaults::MAX_HEADER_BYTES),
            log_level: super::log_level(file.log_level.as_deref()),
            stop_deadline: file.stop_deadline.unwrap_or(defaults::STOP_DEADLINE),
        };
        into_result(settings, findings)
    }
}

fn require_distinct_key_ids(keys: &[SessionKey], findings: &mut Vec<Finding>) {
    for (index, key) in keys.iter().enumerate() {
        if let Some(first) = keys[..index]
            .iter()
            .position(|earlier| earlier.id == key.id)
        {
            let first = format!("/session_keys/{first}/id");
            let place = format!("/session_keys/{index}/id");
            let finding = Finding::at(place, Rule::Duplicate { first }, &key.id);
            super::add_finding(findings, finding);
        }
    }
}
