//! Client of the service that rates responses.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::json;

use super::engine::post;
use super::exchange::send;
use super::{Timeouts, UpstreamError};
use crate::ids::{ClassId, VersionRef};
use crate::units::Permille;

/// Maximum size of an answer of the service, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 10;

#[derive(Debug, Deserialize)]
struct Answer {
    rating: Permille,
}

/// Client of the rating service.
#[derive(Debug, Clone)]
pub struct RatingClient {
    addr: SocketAddr,
    timeouts: Timeouts,
}

impl RatingClient {
    /// Creates a client; each call opens a new connection.
    #[must_use]
    pub const fn new(addr: SocketAddr, timeouts: Timeouts) -> Self {
        Self { addr, timeouts }
    }

    /// Rates an answer.
    ///
    /// # Errors
    /// [`UpstreamError`] if there is no valid rating.
    pub async fn rate(
        &self,
        class: &ClassId,
        version: &VersionRef,
        prompt: &str,
        answer: &str,
    ) -> Result<Permille, UpstreamError> {
        let body = json!({"class": class, "model": version, "prompt": prompt, "answer": answer});
        let response = send(self.addr, self.timeouts, &post("/rate", &body)).await?;
        let response = response.error_for_status().await?;
        let body = response.body.collect(MAX_ANSWER_BYTES).await?;
        let answer: Answer = serde_json::from_slice(&body)
            .map_err(|error| UpstreamError::Invalid(format!("rating of {version}: {error}")))?;
        if answer.rating > Permille::ONE {
            let why = format!("rating {} of {version} is over 1000", answer.rating.0);
            return Err(UpstreamError::Invalid(why));
        }
        Ok(answer.rating)
    }
}
