//! Tests of the parsing of chat completion requests.

use serde_json::{Value, json};

use super::chat;
use crate::fixtures::{self, check_property};
use crate::ids::VersionRef;
use crate::record::RequestedTarget;
use crate::refusal::{Code, RunStatus};

fn parse(body: &Value) -> Result<chat::Chat, Code> {
    let parsed = chat::parse(&fixtures::sheet(), body.to_string().as_bytes());
    parsed.map_err(|refusal| {
        assert_eq!(refusal.ran, RunStatus::NotRun);
        refusal.code
    })
}

// Guards against a caller's malformed body that makes the parser panic and stops the gateway.
#[test]
fn chat_bodies_never_panic() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(body: Vec<u8>, at: usize, byte: u8) -> bool {
        let sheet = fixtures::sheet();
        let _ = chat::parse(&sheet, &body);
        let valid = json!({ "model": "tags", "messages": [{ "role": "user", "content": "x" }] });
        let mut damaged = valid.to_string().into_bytes();
        let at = at % damaged.len();
        damaged[at] = byte;
        let _ = chat::parse(&sheet, &damaged);
        true
    }
    check_property(1, property as fn(Vec<u8>, usize, u8) -> bool);
}

// Guards against a deeply nested body that exhausts the stack.
#[test]
fn a_deeply_nested_body_is_refused() {
    let body = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let body = format!("{{\"model\":\"tags\",\"messages\":{body}}}");

    let parsed = chat::parse(&fixtures::sheet(), body.as_bytes());

    assert_eq!(
        parsed.map(|_| ()).map_err(|refusal| refusal.code),
        Err(Code::BadRequest)
    );
}

// Guards against a model name that resolves to the wrong class or version, or to any if it is unknown.
#[test]
fn a_model_names_a_class_or_a_version() {
    let body = |model: &str| json!({ "model": model, "messages": [] });

    assert_eq!(
        parse(&body("tags")).map(|c| c.asked),
        Ok(RequestedTarget::Class("tags".into()))
    );
    let version = RequestedTarget::Version(VersionRef::new("small", "v1"));
    assert_eq!(parse(&body("small/v1")).map(|c| c.asked), Ok(version));
    for unknown in ["", "small", "small/v9", "/", "tags/v1"] {
        assert_eq!(
            parse(&body(unknown)).map(|c| c.asked),
            Err(Code::NotFound),
            "{unknown:?}"
        );
    }
    for bad in [
        json!(1),
        json!({}),
        json!({ "model": "tags" }),
        json!({ "messages": [] }),
    ] {
        assert_eq!(parse(&bad).map(|c| c.asked), Err(Code::BadRequest), "{bad}");
    }
}
