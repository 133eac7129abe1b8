//! Tests of the check of a configuration.

use serde_json::{Value, json};

use crate::fixtures;
use crate::platform::check::{Finding, Severity, Surroundings, check, differences};
use crate::platform::items::decode;

const IN_FORCE: &str = include_str!("../../../examples/configuration/in-force.json");
const FAULTY: &str = include_str!("../../../examples/configuration/faulty.json");
const UPSTREAMS: &str = include_str!("../../../examples/configuration/upstreams.json");

fn surroundings() -> Surroundings {
    Surroundings::parse(UPSTREAMS.as_bytes()).expect("the upstreams are valid")
}

fn in_force() -> Value {
    serde_json::from_str(IN_FORCE).expect("the example is JSON")
}

fn places(findings: &[Finding], severity: Severity) -> Vec<&str> {
    let of_severity = findings.iter().filter(|f| f.severity == severity);
    of_severity.map(|f| f.place.as_str()).collect()
}

/// Returns the findings on the example with this value at a place; `null` removes it.
fn findings_with(place: &str, value: Value) -> Vec<Finding> {
    let config = with(in_force(), place, value);
    check(config.to_string().as_bytes(), Some(&surroundings()))
}

fn with(mut config: Value, place: &str, value: Value) -> Value {
    let (parent, last) = place.rsplit_once('/').expect("a place has a parent");
    match config.pointer_mut(parent) {
        Some(Value::Object(fields)) if value.is_null() => {
            fields.remove(last);
        }
        Some(Value::Object(fields)) => {
            fields.insert(last.to_owned(), value);
        }
        Some(Value::Array(entries)) => {
            let at: usize = last.parse().expect("a list has indexes");
            if at < entries.len() {
                entries[at] = value;
            } else {
                entries.push(value);
            }
        }
        _ => panic!("{place} has no parent"),
    }
    config
}

#[test]
fn a_sound_configuration_has_no_findings() {
    let found = check(IN_FORCE.as_bytes(), Some(&surroundings()));
    assert_eq!(found, Vec::new());
}

/// An operator must not have to send a configuration once for each of its faults.
#[test]
fn all_faults_are_found_at_once() {
    let found = check(FAULTY.as_bytes(), Some(&surroundings()));

    let refused = [
        "/routes/1/timeoutMs",
        "/routes/1/type",
        "/services/0/maxConns",
    ];
    let doubtful = [
        "/limits/headerTimeoutMs",
        "/routes/0/goalMs",
        "/routes/0/sizes/2",
        "/routes/2/prefix",
        "/routes/2/split",
        "/routes/2/split/1/service",
        "/tenants/1/apiKeys/0",
        "/tenants/1/homeRegions",
        "/tenants/2/apiKeys",
    ];
    let sorted = |severity| {
        let mut places = places(&found, severity);
        places.sort_unstable();
        places
    };
    assert_eq!(sorted(Severity::Refused), refused, "{found:?}");
    assert_eq!(sorted(Severity::Doubtful), doubtful, "{found:?}");
    let time = found.iter().find(|f| f.place == "/routes/1/timeoutMs");
    let time = time.expect("the time was found");
    assert_eq!((&*time.value, &*time.wanted), ("\"3s\"", "f64"));
}

#[test]
fn each_field_that_gateways_refuse_is_named() {
    let cases = [
        ("/version", json!("7")),
        ("/version", Value::Null),
        ("/routes", json!({})),
        ("/routes", Value::Null),
        ("/services", json!(3)),
        ("/limits/maxBodyBytes", json!(-1)),
        ("/limits/idleTimeoutMs", Value::Null),
        ("/routes/0/name", Value::Null),
        ("/routes/0/sizes/1", json!(2)),
        ("/routes/0/priority", json!(300)),
        ("/routes/0/type", json!("other")),
        ("/routes/0/service", Value::Null),
        ("/services/0/engine/models/1/cost", json!("x")),
        ("/services/0/engine/models/1/name", Value::Null),
        ("/tenants/1/apiKeys/0", json!(1)),
        ("/tenants/0/name", json!([])),
    ];
    for (place, value) in cases {
        let found = findings_with(place, value.clone());
        assert_eq!(
            places(&found, Severity::Refused),
            [place],
            "{value}: {found:?}"
        );
    }
}

#[test]
fn each_doubtful_entry_is_named() {
    let cases = [
        ("/routes/0/goalMs", json!(15_001), "/routes/0/goalMs"),
        ("/routes/0/gapAimMs", json!(16_000), "/routes/0/gapAimMs"),
        ("/routes/0/attempts", json!(0), "/routes/0/attempts"),
        ("/routes/1/attempts", json!(2), "/routes/1/attempts"),
        ("/routes/1/resumable", json!(true), "/routes/1/resumable"),
        ("/routes/1/prefix", json!("/chat/"), "/routes/1/prefix"),
        ("/routes/1/prefix", json!("orders/"), "/routes/1/prefix"),
        ("/routes/1/host", json!("api.example:80"), "/routes/1/host"),
        ("/routes/1/name", json!("chat"), "/routes/1/name"),
        ("/routes/1/service", json!("none"), "/routes/1/service"),
        ("/routes/0/sizes/1", json!("other"), "/routes/0/sizes/1"),
        (
            "/routes/0/homeRegions",
            json!(["south"]),
            "/routes/0/homeRegions",
        ),
        (
            "/tenants/1/homeRegions",
            json!(["west"]),
            "/tenants/1/homeRegions",
        ),
        ("/tenants/0/apiKeys", json!([]), "/tenants/0/apiKeys"),
        (
            "/tenants/1/apiKeys/0",
            json!("example-key-of-acme"),
            "/tenants/1/apiKeys/0",
        ),
        ("/limits/maxHeaderBytes", json!(0), "/limits/maxHeaderBytes"),
        (
            "/limits/idleTimeoutMs",
            json!(2_000),
            "/limits/headerTimeoutMs",
        ),
    ];
    for (place, value, expected) in cases {
        let found = findings_with(place, value.clone());
        assert_eq!(
            places(&found, Severity::Doubtful),
            [expected],
            "{value}: {found:?}"
        );
        assert_eq!(
            places(&found, Severity::Refused),
            [""; 0],
            "{value}: {found:?}"
        );
    }
}

/// Two readers would differ some day, so a configuration with any values in any places is refused by both or by none.
#[test]
fn what_gateways_refuse_the_check_refuses() {
    const FIELDS: [&str; 24] = [
        "/version",
        "/routes",
        "/services",
        "/limits",
        "/tenants",
        "/routes/0",
        "/routes/0/name",
        "/routes/0/type",
        "/routes/0/service",
        "/routes/0/split",
        "/routes/0/sizes",
        "/routes/0/timeoutMs",
        "/routes/0/attempts",
        "/routes/0/public",
        "/routes/1/goalMs",
        "/routes/1/priority",
        "/services/0",
        "/services/0/engine",
        "/services/0/engine/models",
        "/services/1/maxConns",
        "/limits/maxHeaderBytes",
        "/limits/headerTimeoutMs",
        "/tenants/0/apiKeys",
        "/tenants/1/priority",
    ];
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its values by value"
    )]
    fn property(changes: Vec<(u8, u8)>) {
        let values = [
            Value::Null,
            json!("x"),
            json!("stream"),
            json!(-1),
            json!(1.5),
            json!(1e30),
            json!(true),
            json!([]),
            json!({}),
            json!(["x", 1]),
            json!([{"service": "x", "weight": 1.0}, {"service": 1}]),
            json!([{"name": "x"}, {"name": null}]),
        ];
        let mut config = in_force();
        for (field, value) in changes.iter().take(4) {
            let place = FIELDS[usize::from(*field) % FIELDS.len()];
            let (parent, last) = place.rsplit_once('/').expect("a place has a parent");
            let has_place = match config.pointer(parent) {
                Some(Value::Array(entries)) => !entries.is_empty() && last.parse::<usize>().is_ok(),
                Some(Value::Object(_)) => true,
                _ => false,
            };
            if has_place {
                let value = values[usize::from(*value) % values.len()].clone();
                config = with(config, place, value);
            }
        }
        let text = config.to_string();
        let is_refused = decode("op/config", text.as_bytes(), 1).is_err();
        let found = check(text.as_bytes(), None);
        let refused = places(&found, Severity::Refused);
        assert_eq!(!refused.is_empty(), is_refused, "{text}: {found:?}");
        assert!(
            !refused.contains(&"") || !config.is_object(),
            "{text}: {found:?}"
        );
    }
    fixtures::check_property(11, property as fn(Vec<(u8, u8)>));
}

#[test]
fn what_is_no_configuration_is_refused() {
    for text in [
        "",
        "[]",
        "{",
        "3",
        r#"{"version":1,"version":2,"routes":[]}"#,
    ] {
        let found = check(text.as_bytes(), None);
        assert!(!places(&found, Severity::Refused).is_empty(), "{text}");
    }
}

#[test]
fn differences_are_named_by_entry() {
    let changed = with(in_force(), "/routes/1/timeoutMs", json!(4_000));
    let changed = with(changed, "/tenants/1/homeRegions", Value::Null);
    let changed = with(changed, "/services/2", json!({"name": "new"}));

    let found = differences(&in_force(), &changed);

    let found: Vec<_> = found.iter().map(ToString::to_string).collect();
    let expected = [
        "~ /routes/orders/timeoutMs: 3000 -> 4000",
        r#"+ /services/new: {"name":"new"}"#,
        r#"- /tenants/globex/homeRegions: ["north"]"#,
    ];
    assert_eq!(found, expected);
    assert_eq!(differences(&changed, &changed), Vec::new());
}

/// Reports go to logs and tickets, and the keys are secrets.
#[test]
fn no_report_shows_an_api_key() {
    let faulty: Value = serde_json::from_str(FAULTY).expect("the example is JSON");
    let changed = with(in_force(), "/tenants/0/apiKeys", json!(["another-key"]));
    let without = with(in_force(), "/tenants", json!(7));
    for new in [&faulty, &changed, &without] {
        let mut report = format!("{:?}", check(new.to_string().as_bytes(), None));
        for (old, new) in [(&in_force(), new), (new, &in_force())] {
            report = format!("{report}{:?}", differences(old, new));
        }
        assert!(!report.contains("-key"), "{report}");
    }
}
