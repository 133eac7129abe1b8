//! Parses chat completion requests.

use serde_json::{Map, Value};
use sha2::{Digest, Sha256};

use crate::ids::VersionRef;
use crate::record::RequestedTarget;
use crate::refusal::{Code, Refusal};
use crate::sheet::Sheet;
use crate::units::Tokens;

/// Expected tokens of an answer whose length the caller does not limit.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// Approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Bytes at the start of a prompt whose hash determines its prefix affinity.
const PREFIX_BYTES: usize = 512;

/// Properties of a chat completion request that routing and rating use.
#[derive(Debug)]
pub(super) struct Chat {
    /// Class or version that the caller requested.
    pub asked: RequestedTarget,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// Tokens that the request is expected to use.
    pub expected_tokens: Tokens,
    /// Hash of the start of the prompt.
    pub prefix_hash: u64,
    /// The messages as text, for the rating service.
    pub prompt: String,
}

/// Parses the body of a chat completion request.
///
/// # Errors
/// A refusal if the body is not a valid chat completion request or its model is unknown.
pub(super) fn parse(sheet: &Sheet, body: &[u8]) -> Result<Chat, Refusal> {
    let bad = |message: String| Refusal::not_run(Code::BadRequest, message);
    let body: Map<String, Value> =
        serde_json::from_slice(body).map_err(|error| bad(format!("body: {error}")))?;
    let model = body.get("model").and_then(Value::as_str);
    let model = model.ok_or_else(|| bad("body: \"model\" is not a text".to_owned()))?;
    let messages = body.get("messages").filter(|m| m.is_array());
    let messages = messages.ok_or_else(|| bad("body: \"messages\" is not a list".to_owned()))?;
    let streamed = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(streamed)) => *streamed,
        Some(_) => return Err(bad("body: \"stream\" is neither true nor false".to_owned())),
    };
    let prompt = messages.to_string();
    let limit = ["max_completion_tokens", "max_tokens"];
    let limit = limit
        .iter()
        .find_map(|name| body.get(*name).and_then(Value::as_u64));
    let input = u64::try_from(prompt.len()).unwrap_or(u64::MAX) / BYTES_PER_TOKEN;
    let expected = input.saturating_add(limit.unwrap_or(DEFAULT_ANSWER_TOKENS));
    Ok(Chat {
        asked: requested_target(sheet, model)?,
        streamed,
        expected_tokens: Tokens(expected),
        prefix_hash: prefix_hash(&prompt),
        prompt,
    })
}

/// Resolves the `model` of a request, which names a class, or one version as `model/version`.
fn requested_target(sheet: &Sheet, model: &str) -> Result<RequestedTarget, Refusal> {
    if sheet.class(&model.into()).is_some() {
        return Ok(RequestedTarget::Class(model.into()));
    }
    match model.parse::<VersionRef>() {
        Ok(version) if sheet.version(&version).is_some() => Ok(RequestedTarget::Version(version)),
        _ => {
            let message = format!("model {model:?} is neither a class nor a version");
            Err(Refusal::not_run(Code::NotFound, message))
        }
    }
}

fn prefix_hash(prompt: &str) -> u64 {
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let digest = Sha256::digest(start);
    digest
        .iter()
        .take(8)
        .fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}
