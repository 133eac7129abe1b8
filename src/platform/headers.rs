//! Names of the header fields that clients, the gateway and upstreams speak.

/// Id of one client attempt; upstreams echo it.
pub const REQUEST_ID: &str = "X-Fireflywind-Request-Id";
/// Milliseconds that the caller still waits.
pub const DEADLINE_MS: &str = "X-Fireflywind-Deadline-Ms";
/// Parts of the prompt in order, as `ID:TOKENS` separated by commas. Not a hash, as the name says.
pub const PROMPT_PARTS: &str = "X-Fireflywind-Prefix-Hash";
/// Model that answers; clients send `*` where the gateway is to choose.
pub const MODEL: &str = "X-Fireflywind-Model";
/// Prompt tokens and the most output tokens.
pub const TOKENS: &str = "X-Fireflywind-Tokens";
/// The client's estimate of the output tokens.
pub const LENGTH_HINT: &str = "X-Fireflywind-Length-Hint";
/// Name of the client account, set by the gateway.
pub const ACCOUNT: &str = "X-Fireflywind-Tenant";
/// Id of the upstream that may run the request; any other answers 421.
pub const EXPECTED_UPSTREAM: &str = "X-Fireflywind-Expect-Instance";
/// Present if an upstream says that it did not run the request.
pub const NOT_RUN: &str = "X-Fireflywind-Not-Run";
/// Signature by which an upstream's answer is known.
pub const SIGNATURE: &str = "X-Fireflywind-Server-Stamp";
/// A model's own opinion of its answer, in percent.
pub const CONFIDENCE: &str = "X-Fireflywind-Confidence";
/// Urgency at the engine, 0 to 9, 0 first.
pub const ENGINE_PRIORITY: &str = "X-Fireflywind-Request-Priority";
/// Last event that the caller has.
pub const LAST_EVENT_ID: &str = "Last-Event-Id";
/// Session that the request belongs to.
pub const SESSION: &str = "Session";
/// The client's API key.
pub const AUTHORIZATION: &str = "Authorization";
/// Scheme of the API key.
pub const KEY_SCHEME: &str = "Token ";

/// Fields that only the gateway may set towards an upstream.
const OWN: [&str; 10] = [
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

/// Tells whether only the gateway may set a field towards an upstream.
#[must_use]
pub fn is_own(name: &[u8]) -> bool {
    OWN.iter()
        .any(|own| name.eq_ignore_ascii_case(own.as_bytes()))
}
