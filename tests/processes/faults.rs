//! Tests of the real programs under killed processes, broken connections, outages and races.

use serde_json::json;

use crate::fixture::{Site, new_key, prompt, text, wait_for};

// Guards against a second run of an order that is resent through another gateway after its first was killed.
#[test]
fn an_order_runs_once_when_its_gateway_and_agent_are_killed() {
    let mut site = Site::with_two_gateways("order-faults");
    let key = new_key();
    let first = site
        .order(0, &key, r#"{"pallets":1}"#)
        .expect("the gateway answers");

    site.gateways[0].kill();
    let through_other = site
        .order(1, &key, r#"{"pallets":1}"#)
        .expect("the gateway answers");
    site.restart_agent("orders-a");
    let mut after_restart = None;
    wait_for("answer through the new agent", || {
        after_restart = site.order(1, &key, r#"{"pallets":1}"#);
        after_restart
            .as_ref()
            .is_some_and(|a| a.status == first.status)
    });

    assert!(first.status < 300, "{first:?}");
    assert_eq!(through_other.body, first.body);
    assert_eq!(after_restart.map(|a| a.body), Some(first.body));
    assert_eq!(
        site.service_runs("orders-a").as_array().map(Vec::len),
        Some(1)
    );
}

// Guards against an order that runs, or is reported as not run, while its record in the store cannot be read.
#[test]
fn an_order_during_an_outage_is_unknown_and_runs_later() {
    let site = Site::with_two_gateways("order-outage");
    let key = new_key();
    site.set_fault("out");

    let during = site
        .order(0, &key, r#"{"pallets":1}"#)
        .expect("the gateway answers");
    site.set_fault("none");
    let after = site
        .order(0, &key, r#"{"pallets":1}"#)
        .expect("the gateway answers");

    assert_eq!(
        (during.status, during.ran().as_str()),
        (503, "unknown"),
        "{during:?}"
    );
    assert_eq!(during.json()["error"]["resend_safe"], json!(true));
    assert!(after.status < 300, "{after:?}");
    assert_eq!(
        site.service_runs("orders-a").as_array().map(Vec::len),
        Some(1)
    );
}

// Guards against a charge that is lost or billed twice when the gateway is killed before it has stored its ledger.
#[test]
fn a_charge_is_billed_once_when_its_gateway_is_killed() {
    let mut site = Site::with_two_gateways("charge");
    let answer = site
        .chat(0, &prompt("small/v1", "x"), &[])
        .expect("the gateway answers");
    assert_eq!(answer.status, 200, "{answer:?}");
    site.gateways[0].kill();

    let bill = site.wait_for_bill(1);

    assert_eq!(bill["totals"][0]["requests"], json!(1), "{bill}");
    assert_eq!(bill["totals"].as_array().map(Vec::len), Some(1), "{bill}");
}

// Guards against requests that run on a withdrawn version, also after processes restarted during an outage and
// fell back to an older sheet.
#[test]
fn a_withdrawn_version_gets_no_request_and_never_comes_back() {
    let mut site = Site::with_two_gateways("withdrawn");
    let mut sheet = site.sheet();
    let session = site
        .chat(0, &prompt("small/v1", "x"), &[])
        .expect("the gateway answers");
    let token = session
        .header("fireflywind-session")
        .expect("the answer has a session token")
        .to_owned();
    sheet["models"][0]["versions"][0]["state"] = json!("withdrawn");
    sheet["cascades"][0]["steps"] = json!(["large/v1"]);
    site.apply(&sheet);

    let direct = site
        .chat(1, &prompt("small/v1", "y"), &[])
        .expect("the gateway answers");
    let headers = [("fireflywind-session", token.as_str())];
    let pinned = site
        .chat(1, &prompt("tags", "y"), &headers)
        .expect("the gateway answers");
    let other = site
        .chat(1, &prompt("tags", "y"), &[])
        .expect("the gateway answers");
    site.set_fault("out");
    site.gateways[1].kill();
    site.gateways.remove(1);
    site.add_gateway("gateway-c", "dc-a");
    site.restart_agent("engine-a");
    site.restart_agent("engine-b");

    assert_eq!(direct.ran(), "not_run", "{direct:?}");
    assert_eq!(pinned.code(), "session_version_withdrawn");
    assert_eq!(other.header("fireflywind-version"), Some("large/v1"));
    // The agents that started during the outage learn the sheet from the gateway.
    wait_for("an answer by a new agent", || {
        let answer = site
            .chat(0, &prompt("small/v1", "z"), &[])
            .expect("the gateway answers");
        assert_ne!(answer.status, 200, "the withdrawn version answered");
        let answer = site
            .chat(0, &prompt("large/v1", "z"), &[])
            .expect("the gateway answers");
        answer.status == 200
    });
}

// Guards against a graceful stop that breaks off a request.
#[test]
fn a_stopped_gateway_and_agent_finish_their_requests() {
    let mut site = Site::with_two_gateways("graceful");
    let mut body = prompt("large/v1", "slow [[tokens=20]] [[delay=50]]");
    body["stream"] = json!(true);

    let answers: Vec<_> = std::thread::scope(|scope| {
        let site = &site;
        let body = &body;
        let streams: Vec<_> = (0..4)
            .map(|n| scope.spawn(move || site.chat(n % 2, body, &[])))
            .collect();
        wait_for("requests at the agents", || {
            let busy = |u: &crate::fixture::Upstream| u.status()["running"].as_u64() > Some(0);
            site.upstreams.iter().filter(|u| busy(u)).count() >= 2
        });
        site.gateways[0].signal("TERM");
        site.upstreams[0].agent.signal("TERM");
        streams
            .into_iter()
            .map(|s| s.join().expect("the thread does not panic"))
            .collect()
    });

    for answer in answers {
        let answer = answer.expect("the gateway answers");
        assert!(answer.is_complete && answer.status == 200, "{answer:?}");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
    }
    assert_eq!(
        site.gateways[0].wait(),
        Some(0),
        "{}",
        site.gateways[0].log()
    );
    assert_eq!(
        site.upstreams[0].agent.wait(),
        Some(0),
        "{}",
        site.upstreams[0].agent.log()
    );
}

// Guards against two concurrent applies on the same base that both report success.
#[test]
fn of_two_applies_on_one_base_the_second_is_refused_with_the_difference() {
    let site = Site::with_two_gateways("operators");
    let mut mine = site.sheet();
    mine["classes"][0]["deadline"] = json!("31s");
    site.apply(&mine);
    let mut theirs = site.sheet();
    theirs["classes"][0]["deadline"] = json!("32s");
    let path = std::env::temp_dir().join(format!("fireflywind-{}.json", new_key()));
    std::fs::write(&path, theirs.to_string()).expect("the file can be written");

    let output = site.run_operator(&["apply", &path.to_string_lossy(), "--base", "1"]);
    std::fs::remove_file(&path).expect("the file exists");

    assert_eq!(output.status.code(), Some(4), "{}", text(&output));
    assert!(
        text(&output).contains("/classes/tags/deadline"),
        "{}",
        text(&output)
    );
}

// Guards against a stream that hangs, or loses or repeats bytes, when its connection stops delivering bytes
// without being closed.
#[test]
fn a_connection_that_goes_silent_in_mid_stream_is_replaced() {
    let (site, proxy) = Site::with_proxied_engine("silent");
    let text = "silent [[tokens=60]] [[delay=50]]";
    let mut body = prompt("large/v1", text);
    body["stream"] = json!(true);
    let before = (proxy.forwarded(), proxy.connections());

    let answer = std::thread::scope(|scope| {
        let site = &site;
        let stream = scope.spawn(move || site.chat(0, &body, &[]));
        wait_for("bytes of the stream", || {
            proxy.forwarded() > before.0 + 4_000
        });
        proxy.silence();
        stream
            .join()
            .expect("the thread does not panic")
            .expect("the gateway answers")
    });

    assert_eq!((answer.status, answer.is_complete), (200, true));
    let events = String::from_utf8_lossy(&answer.body).into_owned();
    let expected = fireflywind::standin::engine::answer_text("large/v1", text, 60);
    assert_eq!(stream_text(&events), expected);
    assert!(proxy.connections() > before.1, "no new connection was made");
}

/// Joins the text of a streamed chat completion.
fn stream_text(events: &str) -> String {
    let data = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let events = data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
    let deltas = events.filter_map(|event| {
        event["choices"][0]["delta"]["content"]
            .as_str()
            .map(str::to_owned)
    });
    deltas.collect()
}

// Guards against a request that crashes one upstream after another as its caller resends it.
#[test]
fn a_crashing_request_runs_on_two_upstreams_at_most() {
    let mut site = Site::start("crash");
    for name in ["engine-a", "engine-b", "engine-c", "engine-d"] {
        site.add_engine(name, "dc-a", &["small/v1", "large/v1"]);
    }
    site.add_service("orders-a", "dc-a", "orders");
    site.add_gateway("gateway-a", "dc-a");
    site.add_gateway("gateway-b", "dc-a");
    site.apply(&site.sheet());
    site.wait_ready(0, 5);
    site.wait_ready(1, 5);
    let crashing = "bring it down [[crash=3]]";

    let mut last = None;
    for n in 0..20 {
        last = site.chat(n % 2, &prompt("large/v1", crashing), &[]);
        let harmless = prompt("large/v1", &format!("innocent {n}"));
        wait_for("answer to an innocent request", || {
            site.chat(n % 2, &harmless, &[])
                .is_some_and(|a| a.status == 200)
        });
    }

    let runs = site.engine_runs(crashing);
    assert!(runs <= 2, "the request ran {runs} times");
    let last = last.expect("the gateway answers");
    assert_eq!(
        (last.status, last.code().as_str()),
        (422, "request_crashes_upstream")
    );
}

// Guards against a gateway that waits for an agent suspended by SIGSTOP, or never uses it again after SIGCONT.
#[test]
fn a_suspended_agent_is_skipped_and_used_again_later() {
    let site = Site::with_two_gateways("stopped");
    let answered = |text: &str| {
        let answer = site.chat(0, &prompt("large/v1", text), &[]);
        answer.is_some_and(|a| a.status == 200)
    };
    site.upstreams[0].agent.signal("STOP");

    wait_for("answer while an agent is stopped", || answered("stopped"));
    site.upstreams[0].agent.signal("CONT");
    site.wait_ready(0, 3);

    assert!(answered("goes on"));
}

// Guards against a session that changes its version when it moves to another gateway because its own was killed.
#[test]
fn a_session_stays_on_its_version() {
    let mut site = Site::with_two_gateways("session");
    let first = site
        .chat(0, &prompt("large/v1", "start"), &[])
        .expect("the gateway answers");
    let token = first
        .header("fireflywind-session")
        .expect("the answer has a session token")
        .to_owned();
    site.gateways[0].kill();

    let headers = [("fireflywind-session", token.as_str())];
    for n in 0..10 {
        let answer = site.chat(1, &prompt("tags", &format!("go on {n}")), &headers);
        let answer = answer.expect("the gateway answers");
        assert_eq!(
            answer.header("fireflywind-version"),
            Some("large/v1"),
            "{answer:?}"
        );
    }
    let forged = format!("{}x", &token[..token.len() - 1]);
    let answer = site.chat(1, &prompt("tags", "x"), &[("fireflywind-session", &forged)]);
    assert_eq!(answer.expect("the gateway answers").code(), "bad_session");
}

// Guards against new requests to an upstream whose VM is marked as leaving in the platform's VM list.
#[test]
fn an_upstream_that_the_vm_list_calls_leaving_gets_no_new_work() {
    let site = Site::with_two_gateways("vm-list");
    let vm = |name: &str, state: &str| json!({ "name": name, "state": state });
    let list = json!({ "vms": [
        vm("engine-a", "leaving"), vm("engine-b", "live"), vm("orders-a", "live"),
    ] });
    let put = crate::fixture::http(site.vms.addr, "PUT", "/vms", &[], &list.to_string());
    assert_eq!(put.map(|a| a.status), Some(200));
    wait_for("two usable upstreams at both gateways", || {
        (0..2).all(|gateway| site.status(gateway)["usable_upstreams"] == json!(2))
    });
    let before = site.runs_at("engine-a");

    for n in 0..10 {
        let answer = site.chat(n % 2, &prompt("large/v1", &format!("request {n}")), &[]);
        assert_eq!(answer.expect("the gateway answers").status, 200);
    }

    assert_eq!(site.runs_at("engine-a"), before);
    assert!(site.runs_at("engine-b") >= 10);
}

// Guards against orders from a gateway that was suspended until after its lease expired, and still acts as its
// holder.
#[test]
fn no_old_order_takes_effect_after_a_newer_holder() {
    let site = Site::with_two_gateways("fencing");
    let fences = |name: &str| -> Vec<u64> {
        let orders = site.engine_orders(name);
        orders
            .iter()
            .filter_map(|order| order["fence"].as_u64())
            .collect()
    };
    // The engine stand-in ignores fencing tokens, so its list shows the order in which commands took effect.
    wait_for("first order at both engines", || {
        !site.engine_orders("engine-a").is_empty() && !site.engine_orders("engine-b").is_empty()
    });
    let first = fences("engine-a")[0];
    assert!(first > 0, "the first order carries no fencing token");
    let holder = site
        .gateways
        .iter()
        .position(|g| g.log().contains("event=duty_taken"));
    let holder = holder.expect("a gateway holds the duty");
    site.gateways[holder].signal("STOP");
    let other = 1 - holder;
    wait_for("duty at the other gateway", || {
        site.gateways[other].log().contains("event=duty_taken")
    });
    let mut sheet = site.sheet();
    sheet["upstreams"][0]["serves"]["engine"]["versions"] = json!(["large/v1"]);
    let path = std::env::temp_dir().join(format!("fireflywind-{}.json", new_key()));
    std::fs::write(&path, sheet.to_string()).expect("the file can be written");
    let applied = site.run_operator(&["apply", &path.to_string_lossy()]);
    std::fs::remove_file(&path).expect("the file exists");
    assert!(applied.status.success(), "{}", text(&applied));
    let loads = |name: &str, versions: &serde_json::Value| {
        site.engine_orders(name)
            .iter()
            .any(|o| o["order"]["load"] == *versions)
    };
    wait_for("order of the new holder", || {
        loads("engine-a", &json!(["large/v1"]))
    });

    site.gateways[holder].signal("CONT");
    site.wait_ready(holder, 3);
    wait_for("sheet at the old holder", || {
        site.status(holder)["revision"] == json!(2)
    });

    let late = json!({ "load": ["small/v1"] });
    let verdict = crate::fixture::send_engine_order(site.upstreams[0].agent.addr, first, &late);
    assert_eq!(
        verdict, "stale",
        "a late order from the old holder was not rejected"
    );

    for name in ["engine-a", "engine-b"] {
        let fences = fences(name);
        assert!(
            fences.is_sorted(),
            "{name} accepted orders with fencing tokens out of order: {fences:?}"
        );
    }
    let last = site
        .engine_orders("engine-a")
        .pop()
        .expect("the engine accepted orders");
    assert_eq!(last["order"]["load"], json!(["large/v1"]));
    assert!(
        last["fence"].as_u64() > Some(first),
        "the new holder's token is not newer: {last}"
    );
}

// Guards against a request that is queued for a slot while its version is withdrawn, and runs on it afterwards.
#[test]
fn a_request_that_waits_does_not_run_on_a_version_withdrawn_meanwhile() {
    let mut site = Site::start("queued");
    site.add_engine("engine-a", "dc-a", &["small/v1", "large/v1"]);
    site.add_service("orders-a", "dc-a", "orders");
    site.add_gateway("gateway-a", "dc-a");
    let mut sheet = site.sheet();
    sheet["upstreams"][0]["serves"]["engine"]["slots"] = json!(1);
    site.apply(&sheet);
    site.wait_ready(0, 2);
    let running = |count: u64| site.upstreams[0].status()["running"].as_u64() >= Some(count);

    let (slow, queued, by_class) = std::thread::scope(|scope| {
        let site = &site;
        let slow = prompt("large/v1", "slow [[tokens=60]] [[delay=50]]");
        let slow = scope.spawn(move || site.chat(0, &slow, &[]));
        wait_for("first request at the agent", || running(1));
        let queued = scope.spawn(move || site.chat(0, &prompt("small/v1", "queued"), &[]));
        wait_for("second request in the queue", || running(2));
        let by_class = scope.spawn(move || site.chat(0, &prompt("tags", "by class"), &[]));
        wait_for("third request in the queue", || running(3));
        sheet["models"][0]["versions"][0]["state"] = json!("withdrawn");
        sheet["cascades"][0]["steps"] = json!(["large/v1"]);
        site.apply(&sheet);
        wait_for("sheet at the agent", || {
            site.upstreams[0].status()["revision"] == json!(2)
        });
        let join = |chat: std::thread::ScopedJoinHandle<'_, _>| {
            chat.join().expect("the thread does not panic")
        };
        (join(slow), join(queued), join(by_class))
    });

    assert_eq!(slow.map(|a| a.status), Some(200));
    let queued = queued.expect("the gateway answers");
    assert_eq!(
        (queued.status, queued.ran().as_str()),
        (409, "not_run"),
        "{queued:?}"
    );
    assert_eq!(site.engine_runs("queued"), 0);
    // A request of a class is planned again under the new sheet.
    let by_class = by_class.expect("the gateway answers");
    assert_eq!(by_class.status, 200, "{by_class:?}");
    assert_eq!(by_class.header("fireflywind-version"), Some("large/v1"));
}

// Guards against a run that continues, and holds its slot, after its caller has disconnected.
#[test]
fn a_run_ends_when_its_caller_disconnects() {
    use std::io::{Read as _, Write as _};

    let site = Site::with_two_gateways("leaves");
    let text = "long [[tokens=1000]] [[delay=50]]";
    let mut body = prompt("large/v1", text);
    body["stream"] = json!(true);
    let body = body.to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        crate::fixture::SHOP_KEY,
        body.len()
    );
    let mut caller = std::net::TcpStream::connect(site.gateways[0].addr)
        .expect("the gateway accepts connections");
    caller
        .write_all(head.as_bytes())
        .expect("the request can be sent");
    caller
        .write_all(body.as_bytes())
        .expect("the request can be sent");
    let mut first = [0; 512];
    assert!(caller.read(&mut first).expect("the answer can be read") > 0);
    assert_eq!(site.engine_runs(text), 1);

    drop(caller);

    wait_for("end of the run", || site.runs_in_state(text, "ended") == 1);
}

// Guards against a daemon that a second signal cannot stop at once while a request delays its graceful stop.
#[test]
fn a_second_signal_stops_at_once() {
    let mut site = Site::with_two_gateways("second-signal");
    let mut body = prompt("large/v1", "long [[tokens=1000]] [[delay=50]]");
    body["stream"] = json!(true);

    std::thread::scope(|scope| {
        let gateway = &site.gateways[0];
        let chat = scope.spawn(|| site.chat(0, &body, &[]));
        wait_for("run at an engine", || {
            site.engine_runs("long [[tokens=1000]] [[delay=50]]") == 1
        });
        gateway.signal("TERM");
        wait_for("start of the graceful stop", || {
            gateway.log().contains("event=stop_requested")
        });
        gateway.signal("TERM");
        let answer = chat.join().expect("the thread does not panic");
        assert!(
            answer.is_none_or(|a| !a.is_complete),
            "the answer cannot be complete yet"
        );
    });

    assert_eq!(site.gateways[0].wait(), Some(5));
}
