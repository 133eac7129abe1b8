//! End-to-end requests through the real programs, each in its own process.

use crate::fixture::{self, Site, new_key, prompt, text};
use serde_json::{Value, json};

fn site(test: &str) -> Site {
    let mut site = Site::start(test);
    site.add_engine("engine-a", "dc-a", &["small/v1", "large/v1"]);
    site.add_engine("engine-b", "dc-b", &["small/v1", "large/v1"]);
    site.add_service("orders-a", "dc-a", "orders");
    site.add_gateway("gateway-a", "dc-a");
    site.apply(&site.sheet());
    site.wait_ready(0, 3);
    site
}

fn charged_requests(bill: &Value) -> u64 {
    let rows = bill["totals"].as_array().expect("the bill has totals");
    rows.iter()
        .map(|row| row["requests"].as_u64().unwrap_or(0))
        .sum()
}

// Guards against components that work alone but not together.
#[test]
fn a_request_is_routed_answered_charged_and_explained() {
    let site = site("whole-path");

    let answer = site
        .chat(0, &prompt("tags", "name this picture"), &[])
        .expect("the gateway answers");

    assert_eq!(answer.status, 200, "{answer:?}");
    let content = answer.json()["choices"][0]["message"]["content"].clone();
    let version = answer
        .header("fireflywind-version")
        .expect("the answer names the version")
        .to_owned();
    let expected = fireflywind::standin::engine::answer_text(&version, "name this picture", 16);
    assert_eq!(content, json!(expected));
    assert!(answer.header("fireflywind-session").is_some());

    let id = answer
        .header("fireflywind-request")
        .expect("the answer names the request");
    let explained = site.run_operator(&["explain", id]);
    assert!(explained.status.success(), "{}", text(&explained));
    let explained = text(&explained);
    assert!(explained.contains("considered small/v1"), "{explained}");
    assert!(explained.contains("picked engine-"), "{explained}");

    let bill = site.wait_for_bill(1);
    assert_eq!(charged_requests(&bill), 1, "{bill}");
    assert_eq!(bill["unknown"], json!([]));

    let admin = site.gateways[0]
        .admin
        .expect("a gateway has an admin listener");
    let metrics = fixture::http(admin, "GET", "/metrics", &[], "").expect("the gateway answers");
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    let request = "fireflywind_requests_total{account=\"shop\",class=\"tags\",outcome=\"ok\"} 1";
    assert!(metrics.contains(request), "{metrics}");
    let first = "fireflywind_first_byte_seconds_count{account=\"shop\",class=\"tags\"} 1";
    assert!(metrics.contains(first), "{metrics}");
    let reads = "fireflywind_value{name=\"kv_reads\"} 0";
    assert!(
        metrics.contains("kv_reads") && !metrics.contains(reads),
        "{metrics}"
    );
}

// Guards against a stream whose content differs from what the engine sent.
#[test]
fn a_stream_arrives_whole() {
    let site = site("stream");
    let mut body = prompt("large/v1", "describe the collection [[tokens=50]]");
    body["stream"] = json!(true);

    let answer = site.chat(0, &body, &[]).expect("the gateway answers");

    assert_eq!((answer.status, answer.is_complete), (200, true));
    let events = String::from_utf8(answer.body.to_vec()).expect("events are text");
    let text: String = events
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok())
        .filter_map(|event| {
            event["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        })
        .collect();
    let prompt = "describe the collection [[tokens=50]]";
    assert_eq!(
        text,
        fireflywind::standin::engine::answer_text("large/v1", prompt, 50)
    );
    assert!(events.trim_end().ends_with("data: [DONE]"), "{events}");
}

// Guards against an order that runs or is billed twice when its caller resends it.
#[test]
fn a_repeated_order_runs_once_and_is_billed_once() {
    let site = site("order");
    let key = new_key();

    let first = site
        .order(0, &key, r#"{"pallets":1}"#)
        .expect("the gateway answers");
    let second = site
        .order(0, &key, r#"{"pallets":1}"#)
        .expect("the gateway answers");
    let other = site
        .order(0, &key, r#"{"pallets":2}"#)
        .expect("the gateway answers");
    let keyless = site
        .order(0, "not-a-key", r#"{"pallets":1}"#)
        .expect("the gateway answers");

    assert_eq!((first.status, &first.body), (second.status, &second.body));
    assert!(first.status < 300, "{first:?}");
    assert_eq!((other.status, other.code().as_str()), (422, "key_reused"));
    assert_eq!((keyless.status, keyless.ran().as_str()), (400, "not_run"));
    let runs = site.service_runs("orders-a");
    assert_eq!(runs.as_array().map(Vec::len), Some(1), "{runs}");
    let bill = site.wait_for_bill(4);
    assert_eq!(charged_requests(&bill), 1, "{bill}");
}

// Guards against a request that runs on a version or service that its account is not allowed to use.
#[test]
fn an_account_reaches_only_what_it_may_use() {
    let site = site("allowed");
    let addr = site.gateways[0].addr;
    let bearer = format!("Bearer {}", fixture::SCHOOL_KEY);
    let post = |path: &str, body: &str| {
        let key = new_key();
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
            ("idempotency-key", key.as_str()),
        ];
        fixture::http(addr, "POST", path, &headers, body).expect("the gateway answers")
    };

    let named = post("/v1/chat/completions", &prompt("large/v1", "x").to_string());
    let order = post("/orders", "{}");
    for n in 0..20 {
        let by_class = post(
            "/v1/chat/completions",
            &prompt("tags", &format!("{n}")).to_string(),
        );
        assert_eq!(
            by_class.header("fireflywind-version"),
            Some("small/v1"),
            "{by_class:?}"
        );
    }

    for refused in [named, order] {
        assert_eq!(
            (refused.status, refused.ran().as_str()),
            (403, "not_run"),
            "{refused:?}"
        );
    }
    assert_eq!(site.engine_runs("x"), 0);
    assert_eq!(site.service_runs("orders-a"), json!([]));
}

// Guards against access with an unknown API key, and against requests accepted for unknown models.
#[test]
fn unknown_keys_and_models_are_refused() {
    let site = site("refusals");
    let addr = site.gateways[0].addr;

    let unknown = fixture::http(
        addr,
        "GET",
        "/v1/models",
        &[("authorization", "Bearer x")],
        "",
    );
    let models = fixture::http(
        addr,
        "GET",
        "/v1/models",
        &[("authorization", "Bearer key-shop")],
        "",
    );
    let missing = site
        .chat(0, &prompt("nothing", "x"), &[])
        .expect("the gateway answers");
    let malformed = site.chat(0, &json!([]), &[]).expect("the gateway answers");

    assert_eq!(unknown.expect("the gateway answers").code(), "unauthorized");
    let models = models.expect("the gateway answers").json();
    let ids: Vec<_> = models["data"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|m| &m["id"])
        .collect();
    assert_eq!(ids, ["tags", "large/v1", "small/v1"]);
    assert_eq!((missing.status, missing.ran().as_str()), (404, "not_run"));
    assert_eq!(
        (malformed.status, malformed.ran().as_str()),
        (400, "not_run")
    );
}

// Guards against an account that exceeds its limits, also by naming versions instead of classes.
#[test]
fn an_account_is_held_to_its_limits() {
    let site = site("limits");
    let mut sheet = site.sheet();
    sheet["accounts"][0]["limits"] = json!([{
        "class": "tags", "requests_per_s": 1, "tokens_per_min": 1_000_000, "concurrency": 1,
    }]);
    site.apply(&sheet);

    let answers: Vec<_> = std::thread::scope(|scope| {
        let site = &site;
        let sent = (0..10).map(|n| {
            let model = if n % 2 == 0 { "tags" } else { "small/v1" };
            let body = prompt(model, &format!("{n} [[delay=20]]"));
            scope.spawn(move || site.chat(0, &body, &[]).expect("the gateway answers"))
        });
        let sent: Vec<_> = sent.collect();
        sent.into_iter()
            .map(|s| s.join().expect("the thread does not panic"))
            .collect()
    });

    let refused: Vec<_> = answers.iter().filter(|a| a.status == 429).collect();
    assert!(answers.iter().any(|a| a.status == 200), "{answers:?}");
    assert!(refused.len() >= 5, "{answers:?}");
    for answer in refused {
        assert_eq!(
            (answer.code().as_str(), answer.ran().as_str()),
            ("rate_limited", "not_run")
        );
        let after = answer
            .header("retry-after")
            .and_then(|v| v.parse::<u64>().ok());
        assert!(after >= Some(1), "{answer:?}");
    }
}
