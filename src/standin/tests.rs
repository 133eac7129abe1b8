//! Tests of the stand-ins.

use std::net::SocketAddr;

use serde_json::Value;

use super::*;
use crate::units::Millis;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn get(addr: SocketAddr, path: &str) -> Value {
    let mut response = awc::Client::new()
        .get(format!("http://{addr}{path}"))
        .send()
        .await
        .expect("the stand-in answers");
    response.json().await.expect("the answer is JSON")
}

async fn post(addr: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let mut response = awc::Client::new()
        .post(format!("http://{addr}{path}"))
        .send_json(body)
        .await
        .expect("the stand-in answers");
    let status = response.status().as_u16();
    (status, response.json().await.expect("the answer is JSON"))
}

// Guards against a fault that has no effect when it is set over HTTP, and against calls that are not counted.
#[test]
fn kv_faults_are_set_over_http() {
    actix_rt::System::new().block_on(async {
        let store = crate::kv::memory::MemoryKv::open();
        let kv = kv::bind(loopback(), store).expect("loopback can be bound");
        let range = serde_json::json!({"key": "YQ=="});

        let (set, _) = post(kv.addr(), "/fault", &serde_json::json!({"fault": "out"})).await;
        let (out, _) = post(kv.addr(), "/v3/kv/range", &range).await;
        let (unset, _) = post(kv.addr(), "/fault", &serde_json::json!({"fault": "none"})).await;
        let (back, _) = post(kv.addr(), "/v3/kv/range", &range).await;

        assert_eq!((set, out, unset, back), (200, 503, 200, 200));
        assert_eq!(get(kv.addr(), "/calls").await["calls"], 2);
    });
}

// Guards against an engine that accepts orders from a former lease holder.
#[test]
fn engine_checks_fencing_only_if_configured() {
    actix_rt::System::new().block_on(async {
        for (checks_fencing, expected) in [(true, 409), (false, 200)] {
            let options = engine::Options {
                checks_fencing,
                ..engine::Options::default()
            };
            let engine = engine::bind(loopback(), options, engine::Behaviour::default())
                .expect("loopback can be bound");
            let order = |fence: u64| serde_json::json!({"order": {"load": "m/v"}, "fence": fence});

            let (first, _) = post(engine.addr(), "/orders", &order(7)).await;
            let (second, _) = post(engine.addr(), "/orders", &order(6)).await;

            assert_eq!((first, second), (200, expected));
        }
    });
}

// Guards against a load report that leaves out queued requests.
#[test]
fn engine_queues_beyond_its_slots() {
    actix_rt::System::new().block_on(async {
        let options = engine::Options {
            slots: 1,
            ..engine::Options::default()
        };
        let engine = engine::bind(loopback(), options, engine::Behaviour::default())
            .expect("loopback can be bound");
        let chat = serde_json::json!({
            "model": "m/v",
            "messages": [{"role": "user", "content": "[[silent]]"}],
        });
        let addr = engine.addr();
        let requests = [0, 1].map(|_| {
            let chat = chat.clone();
            actix_rt::spawn(async move { post(addr, "/v1/chat/completions", &chat).await })
        });

        let full = serde_json::json!({"running": 1, "queued": 1});
        let wait = async { while get(addr, "/load").await != full {} };
        let limit = Millis::from_secs(60).duration();
        let waited = actix_rt::time::timeout(limit, wait).await;

        assert_eq!(waited.ok(), Some(()), "the load never showed both requests");
        requests.iter().for_each(actix_rt::task::JoinHandle::abort);
    });
}

// Guards against a behaviour that has no effect when it is set over HTTP.
#[test]
fn service_behaviour_is_set_over_http() {
    actix_rt::System::new().block_on(async {
        let service = service::bind(loopback(), service::Behaviour::default())
            .expect("loopback can be bound");
        let body = serde_json::json!({});

        let (before, _) = post(service.addr(), "/stock", &body).await;
        let failing = serde_json::json!({"status": 503, "delay": "1ms"});
        post(service.addr(), "/__behaviour", &failing).await;
        let (after, _) = post(service.addr(), "/stock", &body).await;

        assert_eq!((before, after), (200, 503));
        assert_eq!(get(service.addr(), "/__runs").await[0]["count"], 2);
    });
}

// Guards against pass shares that differ from the configured ones.
#[test]
fn rating_follows_the_pass_share() {
    let behaviour = rating::Behaviour {
        pass: vec![rating::PassShare {
            model: "bad/v1".to_owned(),
            permille: 0,
        }],
        pass_permille: 800,
        ..rating::Behaviour::default()
    };
    let passes = |model: &str| {
        let rate = |n: u32| {
            behaviour.rate(&rating::RateRequest {
                class: "tags".to_owned(),
                model: model.to_owned(),
                prompt: n.to_string(),
                answer: String::new(),
            })
        };
        (0..1_000)
            .filter(|n| rate(*n).rating >= rating::MIN_PASS_PERMILLE)
            .count()
    };

    assert_eq!(passes("bad/v1"), 0);
    assert!((760..=840).contains(&passes("good/v1")));
}
