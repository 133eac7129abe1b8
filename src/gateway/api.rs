//! The callers' API: chat completions, the list of models, and calls of plain services.

use std::rc::Rc;

use actix_http::Method;
use serde_json::json;

use super::serve::{self, CallerRequest, ChatRequest};
use super::shared::Shared;
use super::{account, chat};
use crate::follower::InForce;
use crate::http::{Handler, Incoming, Outgoing};
use crate::ids::VersionRef;
use crate::refusal::{Code, Refusal};
use crate::sheet::{Account, Service, VersionState};

/// Header that carries the session token, in requests and in responses.
pub(super) const SESSION_HEADER: &str = "fireflywind-session";

/// Returns the handler of the callers' listener.
pub(super) fn handler(shared: Rc<Shared>) -> Handler {
    Rc::new(move |incoming: Incoming| {
        let shared = Rc::clone(&shared);
        Box::pin(async move {
            match route(&shared, incoming).await {
                Ok(outgoing) => outgoing,
                Err(refusal) => {
                    shared
                        .metrics
                        .record_request("none", "none", refusal.code.as_str(), 0.0);
                    Outgoing::refusal(&refusal)
                }
            }
        })
    })
}

async fn route(shared: &Rc<Shared>, incoming: Incoming) -> Result<Outgoing, Refusal> {
    let in_force = shared
        .follower
        .in_force()
        .filter(|_| shared.follower.may_serve());
    let in_force = in_force.ok_or_else(|| {
        let message = "no sheet is in force, or it was not confirmed for too long";
        Refusal::not_run(Code::NoSheet, message)
    })?;
    let account = account::authenticate(&in_force.sheet, &incoming)?.clone();
    match (incoming.method.clone(), incoming.path.as_str()) {
        (Method::POST, "/v1/chat/completions") => {
            chat_completion(shared, in_force, account, incoming).await
        }
        (Method::GET, "/v1/models") => Ok(models(&in_force, &account)),
        _ => service_call(shared, in_force, account, incoming).await,
    }
}

/// Lists the classes and versions that the account may use.
fn models(in_force: &InForce, account: &Account) -> Outgoing {
    let sheet = &in_force.sheet;
    let usable = |version: &&VersionRef| {
        sheet
            .version(version)
            .is_some_and(|v| v.state != VersionState::Withdrawn)
    };
    let versions: Vec<_> = account.allow.iter().filter(usable).collect();
    let reachable = |class: &&crate::sheet::Class| {
        let cascade = sheet.cascade(&class.cascade);
        cascade.is_some_and(|c| c.steps.iter().any(|step| versions.contains(&step)))
    };
    let classes = sheet
        .classes
        .iter()
        .filter(reachable)
        .map(|c| c.id.to_string());
    let names = classes.chain(versions.iter().map(ToString::to_string));
    let data: Vec<_> = names
        .map(|id| json!({ "id": id, "object": "model" }))
        .collect();
    Outgoing::json(200, &json!({ "object": "list", "data": data }))
}

async fn chat_completion(
    shared: &Rc<Shared>,
    in_force: Rc<InForce>,
    account: Account,
    incoming: Incoming,
) -> Result<Outgoing, Refusal> {
    let chat = chat::parse(&in_force.sheet, &incoming.body)?;
    let session = session_version(shared, &account, &incoming)?;
    let caller_request = CallerRequest {
        account: account.id.clone(),
        method: "POST".to_owned(),
        path: incoming.path,
        content_type: "application/json".to_owned(),
        body: incoming.body,
        idempotency_key: None,
    };
    Ok(serve::chat(
        shared,
        in_force,
        caller_request,
        ChatRequest { chat, session },
    )
    .await)
}

fn session_version(
    shared: &Shared,
    account: &Account,
    incoming: &Incoming,
) -> Result<Option<VersionRef>, Refusal> {
    let Some(token) = incoming.header(SESSION_HEADER) else {
        return Ok(None);
    };
    let now = shared.clock.unix();
    let pinned = shared.sessions.verify(token, &account.id, now);
    let bad = |error| Refusal::not_run(Code::BadSession, format!("session token: {error}"));
    pinned.map(|pinned| Some(pinned.version)).map_err(bad)
}

async fn service_call(
    shared: &Rc<Shared>,
    in_force: Rc<InForce>,
    account: Account,
    incoming: Incoming,
) -> Result<Outgoing, Refusal> {
    let service = find_service(&in_force, &incoming.path).cloned();
    let service = service.ok_or_else(|| {
        Refusal::not_run(
            Code::NotFound,
            format!("path {:?} belongs to no service", incoming.path),
        )
    })?;
    if account.services.binary_search(&service.id).is_err() {
        let message = format!("account {} may not use service {}", account.id, service.id);
        return Err(Refusal::not_run(Code::Forbidden, message));
    }
    let idempotent = is_idempotent(&incoming.method);
    let key = incoming.header("idempotency-key").map(str::to_owned);
    if !idempotent && key.is_none() {
        let message = "this call must not be repeated, so it needs an Idempotency-Key";
        return Err(Refusal::not_run(Code::BadKey, message));
    }
    let content_type = incoming
        .header("content-type")
        .unwrap_or_default()
        .to_owned();
    let caller_request = CallerRequest {
        account: account.id.clone(),
        method: incoming.method.to_string(),
        path: incoming.target,
        content_type,
        body: incoming.body,
        idempotency_key: key.filter(|_| !idempotent),
    };
    Ok(serve::service(shared, in_force, caller_request, service).await)
}

/// Finds the service with the longest path prefix that covers the path.
fn find_service<'a>(in_force: &'a InForce, path: &str) -> Option<&'a Service> {
    let services = in_force.sheet.services.iter();
    let matching = services.filter(|s| crate::agent::path_has_prefix(&s.path_prefix, path));
    matching.max_by_key(|s| s.path_prefix.len())
}

/// Returns whether a method is idempotent (RFC 9110, section 9.2.2).
fn is_idempotent(method: &Method) -> bool {
    [
        Method::GET,
        Method::HEAD,
        Method::OPTIONS,
        Method::PUT,
        Method::DELETE,
    ]
    .contains(method)
}
