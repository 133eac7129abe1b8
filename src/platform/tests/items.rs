//! Tests that items and settings are decoded. Items have several writers, so any item may be malformed.

use std::path::PathBuf;

use crate::beacon::Datagram;
use crate::fixtures;
use crate::forward::follow::StoreEvent;
use crate::platform::items::{decode, decode_removal, encode_status};
use crate::platform::report;
use crate::platform::settings::{self, GatewaySettings};
use crate::router::fleet::UpstreamState;
use crate::router::rollout::Phase;
use crate::router::table::RequestKind;
use crate::units::Millis;

const CONFIG: &str = r#"{"version":7,"routes":[
    {"name":"r-1","host":"H.example","prefix":"/a/","type":"stream","timeoutMs":20000,"goalMs":2000,
     "priority":1,"sizes":["s","m","l"],"split":[{"service":"x","weight":90},{"service":"y","weight":10}],
     "attempts":3,"public":false,"sticky":true,"resumable":true,"gapAimMs":1200},
    {"name":"r-2","host":"h.example","prefix":"/b/","type":"unsafe","timeoutMs":800,"service":"y",
     "attempts":1,"public":true}],
  "services":[{"name":"x","healthPath":"/healthz","maxConns":230,"coldS":3.0,"coldPerS":8.9,"engine":{"slots":32,"models":[{"name":"s","cost":0.02},{"name":"l","cost":0.2}]}},{"name":"y"}],
  "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400},
  "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":0}],"unknown":{}}"#;

const UPSTREAM: &str = r#"{"service":"x","addr":"10.1.2.3:80","zone":"a","version":"v1","slots":32,
  "state":"draining","coldLeftMs":12.5,"seq":4,"born":99,"unknown":1}"#;

#[test]
fn a_configuration_is_decoded_into_a_table() {
    let event = decode("op/config", CONFIG.as_bytes(), 1).expect("the input is valid");

    let Some(StoreEvent::Table(table, _)) = event else {
        panic!("the item was not decoded as a configuration");
    };
    assert_eq!(table.version, 7);
    let route = table
        .route("h.example", "/a/x")
        .expect("the table has the route");
    assert_eq!(route.kind, RequestKind::ResumableStream);
    assert_eq!(
        (route.timeout, route.latency_target, route.max_event_gap),
        (Millis(20_000), Millis(2_000), Millis(1_200))
    );
    assert_eq!(route.models.len(), 3);
    assert!(route.has_prompts && !route.is_public);
    let other = table
        .route("h.example", "/b/")
        .expect("the table has the route");
    assert_eq!(
        (other.kind, other.attempts, other.is_public),
        (RequestKind::AtMostOnce, 1, true)
    );
    assert!(
        table
            .service("x")
            .is_some_and(|s| s.is_engine && s.max_connections == 230)
    );
    assert_eq!(
        table.service("x").and_then(|s| s.work_permille("s")),
        Some(100)
    );
    assert!(table.service("y").is_some_and(|s| !s.is_engine));
    let cold = |name: &str| table.service(name).map(|s| (s.cold, s.cold_per_s));
    assert_eq!(cold("x"), Some((Millis(3_000), 8.9)));
    assert_eq!(cold("y"), Some((Millis(0), 0.0)));
    assert_eq!(table.limits.idle_timeout, Millis(400));
    assert_eq!(table.account("k2").map(|a| &*a.name), Some("t"));
}

#[test]
fn a_configuration_without_tenants_needs_no_keys() {
    let text = r#"{"version":1,"routes":[]}"#;

    let event = decode("op/config", text.as_bytes(), 1).expect("the input is valid");

    assert!(matches!(event, Some(StoreEvent::Table(table, _)) if !table.has_accounts()));
}

#[test]
fn an_upstream_is_decoded() {
    let event = decode("servers/i-1", UPSTREAM.as_bytes(), 1).expect("the input is valid");

    let Some(StoreEvent::Upstream(upstream)) = event else {
        panic!("the item was not decoded as an upstream");
    };
    assert_eq!(
        (&*upstream.id, &*upstream.service, &*upstream.version),
        ("i-1", "x", "v1")
    );
    assert_eq!(upstream.state, UpstreamState::Draining);
    assert_eq!(
        (upstream.boot, upstream.seq, upstream.warm_up),
        (99, 4, Millis(12))
    );
}

#[test]
fn invalid_items_are_errors() {
    let cases = [
        ("op/config", "not json"),
        ("op/config", r#"{"version":"7","routes":[]}"#),
        ("op/config", r#"{"version":1,"routes":[{"name":"r"}]}"#),
        ("servers/i", r#"{"service":"x"}"#),
        ("servers/i", &*UPSTREAM.replace("draining", "asleep")),
        (
            "servers/i",
            &*UPSTREAM.replace("\"slots\":32", "\"slots\":\"many\""),
        ),
        ("servers/i", &*UPSTREAM.replace("10.1.2.3:80", "nowhere")),
        ("op/rollout/x", r#"{"service":"x","to":"v2","rampS":-1}"#),
        ("status/rollout/x", r#"{"state":"asleep","to":"v2"}"#),
    ];
    for (key, value) in cases {
        assert!(decode(key, value.as_bytes(), 1).is_err(), "{key} {value}");
    }
}

#[test]
fn unknown_keys_are_ignored() {
    assert!(matches!(decode("elsewhere/x", b"not json", 1), Ok(None)));
    assert_eq!(decode_removal("elsewhere/x"), None);
    assert_eq!(
        decode_removal("servers/i-1"),
        Some(StoreEvent::UpstreamRemoved("i-1".into()))
    );
}

/// Decoding untrusted bytes must return an event or an error, and never panic.
#[test]
fn any_bytes_are_decoded_or_refused() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its values by value"
    )]
    fn property(key: u8, bytes: Vec<u8>) {
        let keys = [
            "op/config",
            "servers/i",
            "op/rollout/x",
            "status/rollout/x",
            "fireflywind/rollout/x",
        ];
        let _ = decode(keys[usize::from(key) % keys.len()], &bytes, 1);
        let _ = report::decode(&bytes);
    }
    fixtures::check_property(9, property as fn(u8, Vec<u8>));
}

#[test]
fn a_written_status_is_read_back() {
    for phase in [Phase::Active, Phase::Complete, Phase::Reverted] {
        let text = encode_status("v2", phase);

        let event = decode("status/rollout/x", &text, 5).expect("the input is valid");

        assert!(matches!(
            event,
            Some(StoreEvent::RolloutPhase { to, phase: read, revision: 5, .. }) if &*to == "v2" && read == phase
        ));
    }
}

#[test]
fn a_report_lists_the_running_requests() {
    let load = report::decode(
        br#"{"waiting":2,"running":2,"runs":[["r1",10,3,5],["r2",10,0,5]],"kvUsed":1}"#,
    );

    let load = load.expect("the input is valid");
    assert_eq!((load.waiting, load.running, load.starting), (2, 2, 1));
    assert_eq!(load.ids, ["r1", "r2"]);
}

fn read_settings(text: &str) -> Result<GatewaySettings, String> {
    let name = format!(
        "fireflywind-{}-{:x}.json",
        std::process::id(),
        crate::ids::random_u64()
    );
    let path: PathBuf = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the temporary directory can be written");
    let result = settings::read(&path).map_err(|error| error.to_string());
    std::fs::remove_file(&path).expect("the file exists");
    result
}

const SETTINGS: &str = r#"{"name":"g","data_centre":"a","listen":"127.0.0.1:1","ready":"127.0.0.1:2",
  "admin":"127.0.0.1:3","loads":"127.0.0.1:5","beacon_port":6,"store":"127.0.0.1:4","key_revocation_ms":"5000","exposure":0.15,"session_s":8.5,"catch_up_ms":"4000",
  "retries":{"ratio":0.9,"window_s":10,"slack":52},"stop_grace_s":"8"}"#;

#[test]
fn requests_wait_for_room_only_where_the_contracts_say_that_callers_compete() {
    let orders = |contracts: &str| {
        let text = SETTINGS.replacen('{', &format!("{{\"contracts\":\"{contracts}\","), 1);
        let settings = read_settings(&text).expect("the settings are valid");
        settings.policy().orders_under_shortage
    };

    assert!(orders("base,places,pressure,platform"));
    assert!(!orders("base,places,platform"));
    assert!(!orders(""));
    let without = read_settings(SETTINGS).expect("the settings are valid");
    assert!(!without.policy().orders_under_shortage);
}

#[test]
fn settings_are_read_and_invalid_ones_are_refused() {
    let valid = read_settings(SETTINGS)
        .expect("the settings are valid")
        .policy();

    assert_eq!(valid.session_idle_timeout, Millis(8_500));
    assert_eq!(valid.exposure_permille, 150);
    assert_eq!(valid.retries.window, Millis(10_000));
    assert_eq!(valid.catch_up, Millis(4_000));
    assert_eq!(valid.heartbeat, Millis(1_200));
    for (from, to) in [
        ("\"8\"", "\"8s\""),
        ("\"store\"", "\"stor\""),
        ("127.0.0.1:1\"", "nowhere\""),
    ] {
        let error =
            read_settings(&SETTINGS.replace(from, to)).expect_err("the settings are invalid");
        assert!(error.contains("line"), "{error}");
    }
}

/// A negative number would be cut off at zero without a word.
#[test]
fn numbers_outside_their_range_are_refused() {
    for (from, to, name) in [
        ("\"ratio\":0.9", "\"ratio\":-0.9", "retries.ratio"),
        ("\"window_s\":10", "\"window_s\":0", "retries.window_s"),
        ("\"slack\":52", "\"slack\":-1", "retries.slack"),
        ("\"session_s\":8.5", "\"session_s\":-8.5", "session_s"),
        ("\"exposure\":0.15", "\"exposure\":15", "exposure"),
    ] {
        let error = read_settings(&SETTINGS.replace(from, to)).expect_err("the number is refused");

        assert!(
            error.contains(name) && error.contains("expected"),
            "{error}"
        );
    }
    read_settings(SETTINGS).expect("the settings are valid");
}

/// Returns the text with a number in other forms: with a point, with an exponent, and with a fraction.
fn with_forms(text: &str, number: &str) -> [String; 3] {
    [
        format!("{number}.0"),
        format!("{number}e0"),
        format!("{number}.9"),
    ]
    .map(|form| {
        let replaced = text.replace(&format!(":{number},"), &format!(":{form},"));
        replaced.replace(&format!(":{number}}}"), &format!(":{form}}}"))
    })
}

/// ROUTE, 404: a configuration with `"attempts": 3.0` was taken in by no gateway, so its routes were unknown until the next one.
#[test]
fn a_configuration_may_write_its_numbers_with_a_point_or_a_fraction() {
    for number in ["7", "1", "3", "100", "200", "230", "0"] {
        for text in with_forms(CONFIG, number) {
            let event = decode("op/config", text.as_bytes(), 1).expect("the input is valid");

            let Some(StoreEvent::Table(table, _)) = event else {
                panic!("the item was not decoded as a configuration");
            };
            let route = table
                .route("h.example", "/a/x")
                .expect("the route is known");
            assert_eq!((table.version, route.attempts, route.priority), (7, 3, 1));
            let service = table.service("x").expect("the service is known");
            assert_eq!(service.max_connections, 230);
            assert_eq!(
                (table.limits.head_bytes, table.limits.body_bytes),
                (100, 200)
            );
            assert_eq!(table.account("k1").and_then(|a| a.priority), Some(0));
        }
    }
}

/// LOST: an upstream with `"slots": 32.0` was ignored, so its service had no upstream.
#[test]
fn an_upstream_and_a_rollout_may_write_numbers_with_a_point_or_a_fraction() {
    for number in ["32", "4", "99"] {
        for text in with_forms(UPSTREAM, number) {
            let event = decode("servers/i-1", text.as_bytes(), 1).expect("the input is valid");

            let Some(StoreEvent::Upstream(upstream)) = event else {
                panic!("the item was not decoded as an upstream");
            };
            assert_eq!((upstream.slots, upstream.seq, upstream.boot), (32, 4, 99));
        }
    }
    let numbered = UPSTREAM.replace("\"v1\"", "12.0");
    assert!(matches!(
        decode("servers/i-1", numbered.as_bytes(), 1),
        Ok(Some(StoreEvent::Upstream(u))) if &*u.version == "12"
    ));
    for (ramp, expected) in [
        ("20.0", Millis(20_000)),
        ("2.5", Millis(2_500)),
        ("1e-9", Millis(1)),
    ] {
        let text = format!(r#"{{"service":"x","to":"v2","rampS":{ramp}}}"#);
        let event = decode("op/rollout/x", text.as_bytes(), 1);
        assert!(
            matches!(event, Ok(Some(StoreEvent::RolloutOrder { ramp, .. })) if ramp == expected)
        );
    }
}

/// A number that is no quantity is still refused, and the message names the field.
#[test]
fn numbers_that_do_not_fit_are_refused_with_the_name_of_the_field() {
    for (from, to, field) in [
        ("\"attempts\":3", "\"attempts\":-1", "attempts"),
        ("\"attempts\":3", "\"attempts\":1e99", "attempts"),
        ("\"attempts\":3", "\"attempts\":\"3\"", "attempts"),
        ("\"priority\":1,", "\"priority\":256,", "priority"),
        ("\"version\":7", "\"version\":-7.5", "version"),
        (
            "\"maxBodyBytes\":200",
            "\"maxBodyBytes\":true",
            "maxBodyBytes",
        ),
    ] {
        let error = decode("op/config", CONFIG.replace(from, to).as_bytes(), 1);

        let error = error.expect_err("the number is refused").to_string();
        assert!(
            error.contains(field) && error.contains("expected"),
            "{error}"
        );
    }
    for value in ["-32", "-0.5", "1e10", "4294967296.0", "[]", "true"] {
        let text = UPSTREAM.replace("\"slots\":32", &format!("\"slots\":{value}"));
        let error = decode("servers/i", text.as_bytes(), 1);
        let error = error.expect_err("the number is refused").to_string();
        assert!(
            error.contains("slots") && error.contains("expected"),
            "{error}"
        );
    }
}

/// A load report with `"waiting": 2.0` was taken for a failed probe, and a run without output for one with output.
#[test]
fn a_report_may_write_its_numbers_with_a_point() {
    let load = report::decode(
        br#"{"waiting":2.0,"running":2.9,"runs":[["r1",10,3.0,5],["r2",10,0.0,5]],"born":1e3}"#,
    );

    let load = load.expect("the input is valid");
    assert_eq!((load.waiting, load.running, load.starting), (2, 2, 1));
    assert_eq!(load.boot, Some(1_000));
    assert_eq!(report::decode(br#"{"waiting":-1}"#), None);
}

/// Odd values that another writer may leave: deeply nested, with numbers out of range, or no JSON.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str| open.repeat(100_000) + &close.repeat(100_000);
    let texts = [
        nested("[", "]"),
        nested(r#"{"a":"#, "}"),
        UPSTREAM.replace("\"slots\":32", "\"slots\":1e999"),
        UPSTREAM.replace("\"slots\":32", "\"slots\":-1"),
        UPSTREAM.replace("\"slots\":32", "\"slots\":99999999999999999999999"),
        UPSTREAM.replace("\"slots\":32", &format!("\"slots\":{}", nested("[", "]"))),
        UPSTREAM.replace("10.1.2.3:80", "10.1.2.3:99999"),
        UPSTREAM.replace("10.1.2.3:80", "10.1.2.3:-1"),
        UPSTREAM.replace("10.1.2.3:80", ""),
        "1e999".to_owned(),
        "\"\\ud800\"".to_owned(),
        "not json".to_owned(),
        String::new(),
    ];
    let mut values: Vec<_> = texts.map(String::into_bytes).into();
    values.push(vec![0xff, 0xfe, 0]);
    values
}

/// LOST: processes that read the list of upstreams ended again and again because of one odd entry of another writer.
#[test]
fn odd_entries_of_other_writers_are_refused_by_every_reader() {
    let keys = [
        "op/config",
        "servers/i",
        "op/rollout/x",
        "status/rollout/x",
        "fireflywind/rollout/x",
        "fireflywind/answers/x/g",
        "fireflywind/crashes/g",
        "fireflywind/contained/0",
        "fireflywind/settled",
    ];
    for value in odd_values() {
        let text = String::from_utf8_lossy(&value[..value.len().min(60)]).into_owned();
        for key in keys {
            assert!(decode(key, &value, 1).is_err(), "{key}: {text}");
        }
        // A load report of an odd upstream is refused, or has only numbers that fit.
        let _ = report::decode(&value);
        assert_eq!(Datagram::decode(&value), None, "{text}");
    }
}
