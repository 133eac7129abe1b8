//! Names of the HTTP header fields that clients, the gateway and upstreams use.

/// Id of one attempt of a client; upstreams echo it.
pub const REQUEST_ID: &str = "X-Fireflywind-Request-Id";
/// Time that the caller will still wait, in milliseconds.
pub const DEADLINE_MS: &str = "X-Fireflywind-Deadline-Ms";
/// Parts of the prompt in order, as `ID:TOKENS` separated by commas. Despite its name, the field is not a hash.
pub const PROMPT_PARTS: &str = "X-Fireflywind-Prefix-Hash";
/// Model to use; clients send `*` to let the gateway choose.
pub const MODEL: &str = "X-Fireflywind-Model";
/// Number of prompt tokens and maximum number of output tokens.
pub const TOKENS: &str = "X-Fireflywind-Tokens";
/// The client's estimate of the number of output tokens.
pub const LENGTH_HINT: &str = "X-Fireflywind-Length-Hint";
/// Name of the client account, set by the gateway.
pub const ACCOUNT: &str = "X-Fireflywind-Tenant";
/// Id of the only upstream that may run the request; any other upstream answers 421.
pub const EXPECTED_UPSTREAM: &str = "X-Fireflywind-Expect-Instance";
/// Set by an upstream that did not run the request.
pub const NOT_RUN: &str = "X-Fireflywind-Not-Run";
/// Signature that identifies an answer as coming from an upstream.
pub const SIGNATURE: &str = "X-Fireflywind-Server-Stamp";
/// A model's confidence in its own answer, in percent.
pub const CONFIDENCE: &str = "X-Fireflywind-Confidence";
/// Requests a second that an upstream in need takes from all gateways together, a decimal number.
pub const UPSTREAM_LIMIT: &str = "Server-Limit";
/// Milliseconds for which an upstream stays cold.
pub const UPSTREAM_COLD_MS: &str = "X-Fireflywind-Cold-Ms";
/// Set to `1` in all answers of an upstream that leaves.
pub const UPSTREAM_LEAVING: &str = "Server-Leaving";
/// Seconds for which an upstream that refuses a request with status 503 wants no other one; may have a fraction.
pub const RETRY_AFTER: &str = "Retry-After";
/// Number of the history that an answer of the store comes from; it rises when the store is restored from a copy.
pub const STORE_ERA: &str = "Store-Era";
/// Scheduling priority at the engine, from 0 (highest) to 9.
pub const ENGINE_PRIORITY: &str = "X-Fireflywind-Request-Priority";
/// Id of the last event that the caller has received.
pub const LAST_EVENT_ID: &str = "Last-Event-Id";
/// Id of the session that the request belongs to.
pub const SESSION: &str = "Session";
/// The client's API key.
pub const AUTHORIZATION: &str = "Authorization";
/// Authentication scheme that precedes the API key.
pub const KEY_SCHEME: &str = "Token ";

/// Fields that only the gateway may set in requests to an upstream.
const GATEWAY_ONLY_FIELDS: [&str; 10] = [
    DEADLINE_MS,
    ACCOUNT,
    EXPECTED_UPSTREAM,
    ENGINE_PRIORITY,
    "X-Fireflywind-Expect-Version",
    "X-Fireflywind-Hold",
    "X-Fireflywind-Pin-Ms",
    "X-Fireflywind-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
];

/// Returns whether only the gateway may set this field in requests to an upstream.
#[must_use]
pub fn is_gateway_only(name: &[u8]) -> bool {
    GATEWAY_ONLY_FIELDS
        .iter()
        .any(|field| name.eq_ignore_ascii_case(field.as_bytes()))
}
