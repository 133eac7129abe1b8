//! The shape of the sheet; its fields have the names of those of the types in `model`.

use super::shape::{Field, Shape};
use crate::units::Millis;

const MAX_PERMILLE: u64 = 1_000;
const MAX_U32: u64 = u32::MAX as u64;

/// Largest token rate; its products with a price and a minute fit well within 64 bits.
const MAX_TOKENS_PER_MIN: u64 = 1_000_000_000_000;

const MIN_DEADLINE: Millis = Millis(1);
const MAX_DEADLINE: Millis = Millis::from_secs(86_400);

const MIN_KEY_LIFETIME: Millis = Millis::from_secs(60);
const MAX_KEY_LIFETIME: Millis = Millis::from_secs(7 * 86_400);

const MIN_STALENESS: Millis = Millis::from_secs(60);
const MAX_STALENESS: Millis = Millis::from_secs(86_400);

const PERMILLE: Shape = Shape::Integer(0, MAX_PERMILLE);
const POSITIVE: Shape = Shape::Integer(1, MAX_U32);
const DEADLINE: Shape = Shape::Span(MIN_DEADLINE, MAX_DEADLINE);
const VERSIONS: Shape = Shape::List(&Shape::VersionRef);
const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// The whole sheet.
pub const SHEET: Shape = Shape::Object(&[
    Field::required("accounts", Shape::List(&ACCOUNT)),
    Field::required("models", Shape::List(&MODEL)),
    Field::optional("cascades", Shape::List(&CASCADE)),
    Field::required("classes", Shape::List(&CLASS)),
    Field::optional("services", Shape::List(&SERVICE)),
    Field::required("upstreams", Shape::List(&UPSTREAM)),
    Field::optional("policy", POLICY),
]);

const ACCOUNT: Shape = Shape::Object(&[
    Field::required("id", Shape::Name),
    Field::required("key_hashes", Shape::List(&Shape::KeyHash)),
    Field::optional("allow", VERSIONS),
    Field::optional("services", Shape::List(&Shape::Name)),
    Field::optional("limits", Shape::List(&LIMIT)),
    Field::optional("priority", Shape::OneOf(&["low", "normal", "high"])),
]);

const LIMIT: Shape = Shape::Object(&[
    Field::required("class", Shape::Name),
    Field::required("requests_per_s", POSITIVE),
    Field::required("tokens_per_min", Shape::Integer(1, MAX_TOKENS_PER_MIN)),
    Field::required("concurrency", POSITIVE),
]);

const MODEL: Shape = Shape::Object(&[
    Field::required("id", Shape::Name),
    Field::required("versions", Shape::List(&VERSION)),
]);

const VERSION: Shape = Shape::Object(&[
    Field::required("id", Shape::Name),
    Field::required("state", Shape::OneOf(&["serving", "draining", "withdrawn"])),
    Field::required("cost_per_1k", Shape::Money),
    Field::required("price_per_1k", Shape::Money),
    Field::optional("rollout", ROLLOUT),
]);

const ROLLOUT: Shape = Shape::Object(&[
    Field::required("replaces", Shape::Name),
    Field::required("max_share", PERMILLE),
]);

const CASCADE: Shape = Shape::Object(&[
    Field::required("id", Shape::Name),
    Field::required("steps", VERSIONS),
]);

const CLASS: Shape = Shape::Object(&[
    Field::required("id", Shape::Name),
    Field::required("quality_target", PERMILLE),
    Field::required("cascade", Shape::Name),
    Field::required("deadline", DEADLINE),
]);

const SERVICE: Shape = Shape::Object(&[
    Field::required("id", Shape::Name),
    Field::required("path_prefix", Shape::PathPrefix),
    Field::optional("prices", Shape::List(&PRICE)),
    Field::required("deadline", DEADLINE),
]);

const PRICE: Shape = Shape::Object(&[
    Field::required("item", Shape::Name),
    Field::required("method", Shape::OneOf(METHODS)),
    Field::required("path_prefix", Shape::PathPrefix),
    Field::required("amount", Shape::Money),
]);

const UPSTREAM: Shape = Shape::Object(&[
    Field::required("id", Shape::Name),
    Field::required("agent", Shape::Address),
    Field::required("data_centre", Shape::Name),
    Field::required("serves", SERVES),
    Field::optional("checks_fencing", Shape::Bool),
]);

const SERVES: Shape = Shape::Choice(&[
    Field::required("engine", ENGINE),
    Field::required("service", PLAIN_SERVICE),
]);

const ENGINE: Shape = Shape::Object(&[
    Field::required("versions", VERSIONS),
    Field::required("slots", POSITIVE),
]);

const PLAIN_SERVICE: Shape = Shape::Object(&[
    Field::required("service", Shape::Name),
    Field::required("slots", POSITIVE),
]);

const POLICY: Shape = Shape::Object(&[
    Field::optional("exposure_weight", PERMILLE),
    Field::optional("latency_weight", PERMILLE),
    Field::optional("max_staleness", Shape::Span(MIN_STALENESS, MAX_STALENESS)),
    Field::optional(
        "key_lifetime",
        Shape::Span(MIN_KEY_LIFETIME, MAX_KEY_LIFETIME),
    ),
]);
