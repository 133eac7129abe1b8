//! Tests of the figures that the templates in `deploy/` render, for both programs.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use fireflywind::platform::settings::{self, BeaconSettings, GatewaySettings};
use fireflywind::units::Millis;
use serde_json::{Value, json};

use crate::process::{Process, log_value};
use crate::template::Fields;
use crate::{Router, empty_store};

const GATEWAY_TEMPLATE: &str = include_str!("../../deploy/gateway.json");
const BEACON_TEMPLATE: &str = include_str!("../../deploy/beacon.json");

/// The figure that is a port.
const PORT: &str = "portRange.0";

fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("fireflywind-figures-{}-{name}", std::process::id()))
}

/// Loads rendered settings of the program that a template is for.
fn load(template: &str, text: &str) -> Result<(), String> {
    // Tests of one process run at the same time.
    let path = file(&format!("load-{:?}.json", std::thread::current().id()));
    std::fs::write(&path, text).expect("the temporary directory can be written");
    let loaded = if template == GATEWAY_TEMPLATE {
        settings::read::<GatewaySettings>(&path).map(|settings| drop(settings.policy()))
    } else {
        settings::read::<BeaconSettings>(&path).map(drop)
    };
    std::fs::remove_file(&path).expect("the file exists");
    loaded.map_err(|error| error.to_string())
}

fn parse(text: &str) -> Value {
    serde_json::from_str(text).expect("the value is valid")
}

/// Values of a figure that has the whole number `whole` as its usual value, and whether a process can use them as a
/// figure and as a port.
fn values(whole: u64) -> Vec<(Option<Value>, bool, bool)> {
    vec![
        (Some(json!(whole)), true, true),
        (Some(parse(&format!("{whole}.0"))), true, true),
        (Some(parse(&format!("{whole}.5"))), true, false),
        (Some(parse("1e-7")), true, false),
        (Some(parse("0.0004")), true, false),
        (Some(parse("1e15")), true, false),
        (Some(parse("1e300")), true, false),
        (Some(json!(true)), true, false),
        (Some(json!(false)), true, false),
        (Some(json!(null)), true, false),
        (None, true, false),
        (Some(json!(-1)), false, false),
        (Some(json!("soon")), false, false),
        (Some(json!([1, 2])), false, false),
    ]
}

/// Returns whether a value is over the largest one of its figure.
fn is_too_large(figure: &str, value: &Value) -> bool {
    figure.ends_with("Share") && value.as_f64().is_some_and(|share| share > 1.0)
}

// Guards against a program that ends at each start because a figure has a fraction or a point, is a switch or is absent.
#[test]
fn every_figure_that_a_template_renders_may_be_any_number_a_switch_or_absent() {
    for template in [GATEWAY_TEMPLATE, BEACON_TEMPLATE] {
        let fields = Fields::new();
        let figures = fields.figures(template);
        assert!(!figures.is_empty());
        for figure in &figures {
            for (value, is_figure, is_port) in values(1) {
                let is_absent = value.as_ref().is_none_or(Value::is_null);
                let too_large = value.as_ref().is_some_and(|v| is_too_large(figure, v));
                let is_switch = figure == "bounds.failClosed" && value == Some(json!(-1));
                let is_valid = match figure.as_str() {
                    PORT => is_port,
                    _ => (is_figure || is_switch) && !too_large,
                };
                let text = fields.with(figure, value.clone()).render(template);

                let loaded = load(template, &text);

                match loaded {
                    Ok(()) => assert!(is_valid, "{figure} = {value:?} is accepted"),
                    Err(error) => {
                        assert!(!is_valid, "{figure} = {value:?}: {error}");
                        assert!(error.contains("expected"), "{error}");
                        let shown = value.map(|v| v.as_str().map_or(v.to_string(), str::to_owned));
                        let shown = shown.filter(|v| !is_absent && !v.starts_with('['));
                        assert!(shown.is_none_or(|v| error.contains(&v)), "{error}");
                    }
                }
            }
        }
    }
}

// Guards against a message from which an operator cannot tell which figure is wrong.
#[test]
fn a_figure_that_cannot_be_read_is_named_with_its_value_and_what_is_wanted() {
    let fields = Fields::new();
    for (figure, value, parts) in [
        (
            "bounds.graceS",
            json!("soon"),
            ["stop_grace_s", "\"soon\"", "a number of seconds, 0 or more"],
        ),
        (
            "bounds.budgetWindowS",
            json!(0),
            ["retries.window_s", "\"0\"", "more than 0"],
        ),
        (
            "bounds.exposeShare",
            json!(15),
            ["exposure", "\"15\"", "a number from 0 to 1"],
        ),
        (
            PORT,
            json!(7340.5),
            ["admin", "127.0.0.1:7340.5", "an IP address and a port"],
        ),
        (
            "listen.front",
            json!("nowhere"),
            ["listen", "\"nowhere\"", "an IP address and a port"],
        ),
        (
            "zone",
            json!("a\"b"),
            ["data_centre", "a\"b", "expected `,` or `}`"],
        ),
    ] {
        let text = fields.with(figure, Some(value)).render(GATEWAY_TEMPLATE);

        let error = load(GATEWAY_TEMPLATE, &text).expect_err("the figure is refused");

        for part in parts {
            assert!(
                error.contains(part),
                "{figure}: {part:?} is not in: {error}"
            );
        }
    }
}

// Guards against a bound that becomes longer than stated, or zero, when it is rounded.
#[test]
fn a_rounded_figure_is_neither_longer_than_stated_nor_zero() {
    let path = file("rounded.json");
    let policy = |figure: &str, value: &str| {
        let fields = Fields::new().with(figure, Some(parse(value)));
        std::fs::write(&path, fields.render(GATEWAY_TEMPLATE)).expect("the file can be written");
        let settings = settings::read::<GatewaySettings>(&path);
        settings.expect("the settings are valid").policy()
    };

    for (value, expected) in [
        ("7.5", 7_500),
        ("7.9999", 7_999),
        ("8.0", 8_000),
        ("0.0004", 1),
        ("0", 0),
    ] {
        assert_eq!(policy("bounds.graceS", value).stop_grace, Millis(expected));
        let session = policy("bounds.sessionS", value).session_idle_timeout;
        assert_eq!(session, Millis(expected));
    }
    for (value, expected) in [("2500.9", 2_500), ("2500.0", 2_500), ("1e-7", 1), ("0", 0)] {
        assert_eq!(policy("bounds.touchMs", value).catch_up, Millis(expected));
        assert_eq!(policy("beatMs", value).heartbeat, Millis(expected));
        let revocation = policy("bounds.revokeMs", value).key_revocation;
        assert_eq!(revocation, Some(Millis(expected)));
    }
    for (value, expected) in [("0.0975", 97), ("0.0004", 1), ("0", 0), ("1.0", 1_000)] {
        assert_eq!(
            policy("bounds.exposeShare", value).exposure_permille,
            expected
        );
    }
    assert_eq!(
        policy("bounds.budgetWindowS", "0.0001").retries.window,
        Millis(1)
    );
    assert_eq!(policy("bounds.failClosed", "false").key_revocation, None);
    let cold = |field: &str, value: &str| policy(field, value).cold.map(|c| (c.ratio, c.slack));
    assert_eq!(cold("bounds.coldOver", "1.5"), Some((1.5, 5.0)));
    assert_eq!(cold("bounds.coldSlack", "0.5"), Some((1.5, 0.5)));
    assert_eq!(cold("bounds.coldOver", "null"), None);
    // The longest spans can still be added and multiplied.
    assert!(policy("bounds.graceS", "1e300").stop_grace < Millis(u64::MAX / 1_000_000));
    std::fs::remove_file(&path).expect("the file exists");
}

/// The fields with a fraction in each figure that may have one.
fn fields_with_fractions(store: std::net::SocketAddr) -> Fields {
    let all = Fields::new().with("platform.addr", Some(json!(store.to_string())));
    let with_fractions =
        all.figures(GATEWAY_TEMPLATE)
            .into_iter()
            .fold(all.clone(), |fields, figure| match figure.as_str() {
                PORT => fields.with(&figure, Some(json!(0.0))),
                "bounds.exposeShare" | "bounds.failClosed" => fields,
                _ => fields.with(&figure, Some(json!(7.5))),
            });
    with_fractions.with("bounds.touchMs", Some(json!(2_500.5)))
}

// Guards against a gateway that runs until its next start after a figure has got a fraction, and then ends at each start.
#[test]
fn a_gateway_starts_reloads_and_starts_again_with_fractions() {
    let store = empty_store();
    let whole = Fields::new().with("platform.addr", Some(json!(store.to_string())));
    let fractions = fields_with_fractions(store).render(GATEWAY_TEMPLATE);
    let mut router = Router::start_with(store, &whole.render(GATEWAY_TEMPLATE));
    router.wait_for_event("start");

    std::fs::write(&router.process.settings, &fractions).expect("the settings can be written");
    router.process.signal("-HUP");
    let changed = router.wait_for_event("reload");
    let point = fields_with_fractions(store).with("bounds.graceS", Some(json!(7.0)));
    std::fs::write(&router.process.settings, point.render(GATEWAY_TEMPLATE))
        .expect("the settings can be written");
    let without_signal = router.wait_for_event("reload");
    router.process.signal("-TERM");
    router.wait_for_event("stop_requested");
    let status = router.process.child.wait().expect("the program ends");
    drop(router);
    let mut again = Router::start_with(store, &fractions);
    let start = again.wait_for_event("start");

    assert!(changed.contains("changed=true") && changed.contains("signal=true"));
    assert!(without_signal.contains("changed=true") && without_signal.contains("signal=false"));
    assert_eq!(status.code(), Some(0));
    assert!(log_value(&start, "listen").starts_with("127.0.0.1:"));
}

fn start_beacon(path: &Path, text: &str) -> std::process::Child {
    std::fs::write(path, text).expect("the temporary directory can be written");
    Command::new(env!("CARGO_BIN_EXE_fireflywind-beacon"))
        .env("FIREFLYWIND_NODE_FILE", path)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts")
}

// Guards against a beacon that ends at each start because a port is written with a point.
#[test]
fn a_beacon_starts_and_reloads_with_a_port_that_has_a_point() {
    let fields = Fields::new().with(PORT, Some(json!(0.0)));
    let path = file("beacon.json");
    let child = start_beacon(&path, &fields.render(BEACON_TEMPLATE));
    let (process, lines) = Process::of(child, path);
    let mut beacon = Router { process, lines };

    beacon.wait_for_event("start");
    beacon.process.signal("-HUP");
    let unchanged = beacon.wait_for_event("reload");

    assert!(unchanged.contains("changed=false"));
}

// Guards against a program that cannot start and does not say which figure it could not read.
#[test]
fn a_failed_start_names_the_figure() {
    for (name, template, program, field) in [
        (
            "gateway.json",
            GATEWAY_TEMPLATE,
            env!("CARGO_BIN_EXE_fireflywind-router"),
            "admin",
        ),
        (
            "beacon-port.json",
            BEACON_TEMPLATE,
            env!("CARGO_BIN_EXE_fireflywind-beacon"),
            "listen",
        ),
    ] {
        let path = file(name);
        let text = Fields::new().with(PORT, Some(json!(7.5))).render(template);
        std::fs::write(&path, text).expect("the temporary directory can be written");

        let output = Command::new(program)
            .env("FIREFLYWIND_NODE_FILE", &path)
            .output()
            .expect("the program starts");

        std::fs::remove_file(&path).expect("the file exists");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(3), "{error}");
        for part in [field, "127.0.0.1:7.5", "expected an IP address and a port"] {
            assert!(error.contains(part), "{part:?} is not in: {error}");
        }
    }
}

// Guards against a log line at each reading of a settings file that cannot be read.
#[test]
fn settings_that_cannot_be_read_leave_the_last_ones_in_force_and_are_logged_once() {
    let store = empty_store();
    let fields = Fields::new().with("platform.addr", Some(json!(store.to_string())));
    let valid = fields.render(GATEWAY_TEMPLATE);
    let unreadable = fields.with("bounds.graceS", Some(json!("soon")));
    let mut router = Router::start_with(store, &valid);
    router.wait_for_event("start");

    std::fs::write(
        &router.process.settings,
        unreadable.render(GATEWAY_TEMPLATE),
    )
    .expect("the settings can be written");
    let failed = router.wait_for_event("reload_failed");
    // Two more readings without a signal.
    std::thread::sleep(Duration::from_secs(11));
    std::fs::write(&router.process.settings, &valid).expect("the settings can be written");
    let next = router.wait_for_one_of(&["reload", "reload_failed"]);

    for part in ["stop_grace_s", "soon", "a number of seconds, 0 or more"] {
        assert!(failed.contains(part), "{part:?} is not in: {failed}");
    }
    assert!(next.contains("event=reload "), "{next}");
    assert!(next.contains("changed=false"), "{next}");
}
