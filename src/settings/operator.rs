//! Settings of the operator's program.

use std::net::SocketAddr;

use serde::Deserialize;

use super::{ADDRESSES, Field, Shape, into_result, parse_shape, require_non_empty};
use crate::sheet::finding::Finding;

const OPERATOR: Shape = Shape::Object(&[
    Field::required("kv", ADDRESSES),
    Field::optional("gateways", ADDRESSES),
]);

/// Settings of the operator's program.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Operator {
    /// Addresses of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// Admin addresses of the gateways that `status` and `apply --wait` query; none by default.
    #[serde(default)]
    pub gateways: Vec<SocketAddr>,
}

impl Operator {
    /// Parses the settings.
    ///
    /// # Errors
    /// All findings; at least one.
    pub fn parse(text: &[u8]) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let settings: Self = parse_shape(text, &OPERATOR, &mut findings)?;
        require_non_empty(&settings.kv, "kv", &mut findings);
        into_result(settings, findings)
    }
}
