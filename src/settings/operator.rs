//! Settings of the operator's program.

use std::net::SocketAddr;

use serde::Deserialize;

use super::{ADDRESSES, Field, Shape, finish, read, require_entry};
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
        let mut found = Vec::new();
        let settings: Self = read(text, &OPERATOR, &mut found)?;
        require_entry(&settings.kv, "kv", &mut found);
        finish(settings, found)
    }
}
