//! Tests of the settings.

use serde_json::{Value, json};

use super::*;
use crate::fixtures::check_property;

const KEY: &str = "0123456789abcdef0123456789abcdef";

fn gateway() -> Value {
    json!({
        "name": "gw-1", "data_centre": "dc-a",
        "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0",
        "kv": ["127.0.0.1:2379"], "peer_key": KEY,
        "session_keys": [{"id": "k1", "secret": KEY}],
    })
}

fn agent() -> Value {
    json!({
        "upstream": "engine-a", "data_centre": "dc-a",
        "listen": "127.0.0.1:7101", "admin_listen": "127.0.0.1:7201",
        "kv": ["127.0.0.1:2379"], "peer_key": KEY,
        "upstream_addr": "127.0.0.1:8000", "kind": "engine", "log_level": "debug",
    })
}

fn lines<T>(parsed: Result<T, Vec<Finding>>) -> Vec<String> {
    let found = parsed.err().unwrap_or_default();
    found.iter().map(ToString::to_string).collect()
}

fn with(mut settings: Value, field: &str, value: Value) -> Vec<u8> {
    settings[field] = value;
    settings.to_string().into_bytes()
}

// Guards against a default that differs from the documented one, and a log level that is ignored.
#[test]
fn absent_settings_have_their_defaults() {
    let gateway = Gateway::parse(gateway().to_string().as_bytes()).expect("the settings are valid");
    assert_eq!(gateway.max_body_bytes, 1_048_576);
    assert_eq!(gateway.max_header_bytes, 16_384);
    assert_eq!(gateway.log_level, LevelFilter::Info);
    assert_eq!(gateway.stop_deadline, Millis::from_secs(30));

    let agent = Agent::parse(agent().to_string().as_bytes()).expect("the settings are valid");
    assert_eq!(agent.kind, AgentKind::Engine);
    assert_eq!(agent.log_level, LevelFilter::Debug);
    let operator =
        Operator::parse(br#"{"kv": ["127.0.0.1:2379"]}"#).expect("the settings are valid");
    assert_eq!(operator.gateways, []);
}

// Guards against a process that starts with invalid settings, and against a secret in a log.
#[test]
fn each_fault_is_found_at_its_place() {
    let keys = json!([{"id": "k", "secret": KEY}, {"id": "k", "secret": "short"}]);
    let cases = [
        (
            "name",
            json!("a/b"),
            "/name: name may hold only letters, digits, '-', '_' and '.': \"a/b\"",
        ),
        (
            "listen",
            json!(80),
            "/listen: must be an IP address with a port, such as \"10.0.0.1:7100\": 80",
        ),
        (
            "kv",
            json!([]),
            "/kv: must have at least one entry: list of 0",
        ),
        (
            "kv",
            json!(["http://kv"]),
            "/kv/0: must be an IP address with a port, such as \"10.0.0.1:7100\": \"http://kv\"",
        ),
        (
            "peer_key",
            json!("hunter2"),
            "/peer_key: must have at least 32 characters: (secret of 7 characters)",
        ),
        (
            "peer_key",
            json!(["hunter2"]),
            "/peer_key: must be a secret as text: (secret)",
        ),
        (
            "peer_key_file",
            json!("key"),
            "/peer_key_file: cannot be given together with peer_key: key",
        ),
        (
            "session_keys",
            keys,
            "/session_keys/1/secret: must have at least 32 characters: (secret of 5 characters)|/session_keys/1/id: already listed at /session_keys/0/id: k",
        ),
        (
            "session_keys",
            json!("hunter2"),
            "/session_keys: must be a list: (secret)",
        ),
        (
            "max_body_bytes",
            json!(0),
            "/max_body_bytes: must be from 1 to 67108864: 0",
        ),
        (
            "log_level",
            json!("loud"),
            "/log_level: must be one of off, error, warn, info, debug, trace: \"loud\"",
        ),
        (
            "stop_deadline",
            json!(30),
            "/stop_deadline: must have a unit, such as \"500ms\", \"2s\", \"5m\" or \"24h\": 30",
        ),
    ];
    for (field, value, expected) in cases {
        let text = with(gateway(), field, value);
        assert_eq!(lines(Gateway::parse(&text)).join("|"), expected, "{field}");
    }
    let text = with(agent(), "admin_listen", json!("127.0.0.1:7101"));
    let expected = "/admin_listen: address is already used at /listen: 127.0.0.1:7101";
    assert_eq!(lines(Agent::parse(&text)), [expected]);
    assert!(!format!("{:?}", Gateway::parse(gateway().to_string().as_bytes())).contains(KEY));
}

// Guards against a key file that is missing or contains no valid key.
#[test]
fn a_peer_key_file_must_hold_a_key() {
    let mut settings = agent();
    settings
        .as_object_mut()
        .expect("the settings are an object")
        .remove("peer_key");
    let text = settings.to_string().into_bytes();
    let absent = "/peer_key: required field is missing: (absent)";
    assert_eq!(lines(Agent::parse(&text)), [absent]);

    let text = with(settings.clone(), "peer_key_file", json!("no/such/file"));
    let found = lines(Agent::parse(&text));
    assert!(
        found[0].starts_with("/peer_key_file: file cannot be read ("),
        "{found:?}"
    );

    let path = std::env::temp_dir().join(format!("fireflywind-key-{}", std::process::id()));
    fs::write(&path, format!("{KEY}\n")).expect("the file is written");
    let text = with(settings.clone(), "peer_key_file", json!(path));
    let parsed = Agent::parse(&text);
    fs::write(&path, "short").expect("the file is written");
    let short = lines(Agent::parse(&text));
    fs::remove_file(&path).expect("the file is removed");
    assert_eq!(parsed.map(|it| it.peer_key), Ok(Secret::from(KEY)));
    assert!(
        short[0].contains("must have at least 32 characters"),
        "{short:?}"
    );
}

// Guards against a syntax error that prints a line with a secret.
#[test]
fn a_syntax_error_does_not_show_its_line() {
    let text = gateway().to_string().replace("\"kv\"", "kv");
    let found = lines(Gateway::parse(text.as_bytes()));
    let expected = ": not valid JSON (key must be a string): (line not shown)";
    assert!(found[0].ends_with(expected), "{found:?}");
}

// Guards against a panic on a corrupt file.
#[test]
fn parsers_never_panic() {
    fn property(edits: Vec<(u16, u8)>) -> bool {
        let mut text = gateway().to_string().into_bytes();
        for (at, byte) in edits.into_iter().take(4) {
            let at = usize::from(at) % text.len();
            text[at] = byte;
        }
        let _ = Agent::parse(&text);
        let _ = Operator::parse(&text);
        let found = lines(Gateway::parse(&text));
        found.iter().all(|finding| !finding.contains('\n'))
    }
    check_property(9, property as fn(Vec<(u16, u8)>) -> bool);
}
