//! Tests of logs and metrics.

use log::{Level, Record};

use super::*;
use crate::fixtures::check_property;

// Guards against log injection: a value from a caller that adds a second line or another pair.
#[test]
fn a_log_line_stays_one_line_of_pairs() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(value: String) -> bool {
        let value = value.as_str();
        let pairs = [("path", log::kv::Value::from(value))];
        let record = Record::builder()
            .level(Level::Info)
            .target("test")
            .args(format_args!(""))
            .key_values(&pairs)
            .build();

        let line = logging::line(&record);

        let quotes = line
            .replace("\\\\", "")
            .replace("\\\"", "")
            .matches('"')
            .count();
        let read = logging::value_of(&line, "path");
        !line.contains('\n') && (quotes == 0 || quotes == 2) && read.as_deref() == Some(value)
    }
    check_property(1, property as fn(String) -> bool);
}

// Guards against an unbounded number of metric series when label values are arbitrary.
#[test]
fn label_sets_are_bounded() {
    let metrics = Metrics::open();

    for n in 0..1_000 {
        metrics.record_request(&format!("account-{n}"), "tags", "ok", 0.1);
    }

    let text = metrics.text();
    let series = text
        .lines()
        .filter(|l| l.starts_with("fireflywind_requests_total"))
        .count();
    assert!(series <= 65, "{series} series");
    assert!(text.contains("account=\"other\""));
}
