//! A stand-in for a model engine with an OpenAI-compatible API.
//!
//! Markers in a prompt change the behaviour of that request alone: `[[tokens=N]]`, `[[delay=MS]]`,
//! `[[error]]`, `[[silent]]`, `[[crash]]`, and `[[crash=N]]` for a crash after N tokens.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;
use actix_rt::time::sleep;
use bytes::Bytes;
use futures_util::future::pending;
use futures_util::stream;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::server::{self, Call, Control, Reply, Running};
use super::{digest, hash_permille};
use crate::units::Millis;

/// Most runs that the stand-in records, which bounds its memory in long tests.
const MAX_RUNS: usize = 100_000;

/// Settings that are fixed while the engine runs.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Whether an order is refused if an earlier one had a higher fencing token.
    pub checks_fencing: bool,
    /// Requests that run at the same time; further ones wait in the queue.
    pub slots: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            checks_fencing: false,
            slots: 64,
        }
    }
}

/// Share of a model's requests that fail.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorShare {
    /// The version, as `model/version`.
    pub model: String,
    /// The share in thousandths.
    pub permille: u16,
}

/// How the engine answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Tokens of an answer.
    pub tokens: u64,
    /// Time before each token.
    pub delay: Millis,
    /// Share of requests that fail with status 500, in thousandths.
    pub error_permille: u16,
    /// Shares of individual versions, in place of `error_permille`.
    pub errors: Vec<ErrorShare>,
    /// Time after a crash during which the engine closes each new connection.
    pub restart: Millis,
    /// Never produces a token: a streamed response stops after its head; any other is never sent.
    pub silent: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            tokens: 16,
            delay: Millis(0),
            error_permille: 0,
            errors: Vec::new(),
            restart: Millis(200),
            silent: false,
        }
    }
}

impl Behaviour {
    fn error_share(&self, model: &str) -> u16 {
        let own = self.errors.iter().find(|share| share.model == model);
        own.map_or(self.error_permille, |share| share.permille)
    }
}

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The answer is being produced.
    Running,
    /// The whole answer was produced.
    Done,
    /// The run ended early: it failed, crashed or its caller left.
    Ended,
}

/// A request that got a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The version, as `model/version`.
    pub model: String,
    /// SHA-256 of the prompt in hexadecimal.
    pub prompt: String,
    /// Whether it is running, complete or ended early.
    pub state: RunState,
}

/// Numbers of requests in the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait for a slot.
    pub queued: u64,
}

/// Body of `POST /orders`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// The order, which the stand-in only records.
    pub order: Value,
    /// Fencing token of the sender.
    pub fence: u64,
}

#[derive(Debug)]
struct State {
    options: Options,
    behaviour: RefCell<Behaviour>,
    load: RefCell<Load>,
    runs: RefCell<Vec<Run>>,
    orders: RefCell<Vec<Order>>,
    slots: std::sync::Arc<Semaphore>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct StreamOptions {
    include_usage: bool,
}

#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
    #[serde(default)]
    max_tokens: Option<u64>,
}

impl Completion {
    fn prompt(&self) -> String {
        let parts: Vec<_> = self.messages.iter().map(|m| m.content.as_str()).collect();
        parts.join("\n")
    }
}

/// Returns the token at a position of the answer, with a trailing space.
#[must_use]
pub fn token(model: &str, prompt: &str, at: u64) -> String {
    let number = hash_permille(&[model, prompt, &at.to_string()]);
    format!("w{number} ")
}

/// Returns the first tokens of the answer as one text.
#[must_use]
pub fn answer_text(model: &str, prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|at| token(model, prompt, at)).collect()
}

/// Returns the number of tokens that the engine counts for a prompt: its words.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().map(|_word| 1).sum()
}

/// Finds `[[name]]` or `[[name=value]]` in a prompt and returns the value, empty if there is none.
fn marker<'a>(prompt: &'a str, name: &str) -> Option<&'a str> {
    prompt.split("[[").skip(1).find_map(|rest| {
        let (text, _after) = rest.split_once("]]")?;
        let (found, value) = text.split_once('=').unwrap_or((text, ""));
        (found == name).then_some(value)
    })
}

fn marker_number(prompt: &str, name: &str) -> Option<u64> {
    marker(prompt, name).and_then(|value| value.parse().ok())
}

/// What the engine does for one request.
#[derive(Debug)]
struct Plan {
    model: String,
    prompt: String,
    tokens: u64,
    delay: Millis,
    fails: bool,
    silent: bool,
    /// Tokens before the engine crashes.
    crash_after: Option<u64>,
    restart: Millis,
    usage: bool,
}

impl Plan {
    fn new(request: &Completion, behaviour: &Behaviour, run: usize) -> Self {
        let prompt = request.prompt();
        let model = request.model.clone();
        let limit = request.max_tokens.unwrap_or(u64::MAX);
        let draw = hash_permille(&["error", &model, &prompt, &run.to_string()]);
        Self {
            tokens: marker_number(&prompt, "tokens")
                .unwrap_or(behaviour.tokens)
                .min(limit),
            delay: marker_number(&prompt, "delay").map_or(behaviour.delay, Millis),
            fails: marker(&prompt, "error").is_some() || draw < behaviour.error_share(&model),
            silent: marker(&prompt, "silent").is_some() || behaviour.silent,
            crash_after: marker(&prompt, "crash").map(|after| after.parse().unwrap_or(0)),
            restart: behaviour.restart,
            usage: request.stream_options.include_usage,
            model,
            prompt,
        }
    }

    fn usage(&self) -> Value {
        let prompt = prompt_tokens(&self.prompt);
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": self.tokens,
            "total_tokens": prompt + self.tokens,
        })
    }

    /// Waits until the token at a position is due; never returns if the engine crashes or is silent.
    async fn wait_for_token(&self, at: u64, control: &Control) {
        if self.crash_after == Some(at) {
            control.restart(self.restart);
            pending::<()>().await;
        }
        if self.silent {
            pending::<()>().await;
        }
        if self.delay > Millis(0) {
            sleep(self.delay.duration()).await;
        }
    }
}

/// A run in progress; its end is recorded when this is dropped.
#[derive(Debug)]
struct ActiveRun {
    state: Rc<State>,
    run: usize,
    done: bool,
    _slot: OwnedSemaphorePermit,
}

impl Drop for ActiveRun {
    fn drop(&mut self) {
        self.state.load.borrow_mut().running -= 1;
        if let Some(run) = self.state.runs.borrow_mut().get_mut(self.run) {
            run.state = if self.done {
                RunState::Done
            } else {
                RunState::Ended
            };
        }
    }
}

/// Counts a request as queued until it is dropped.
#[derive(Debug)]
struct QueuedRequest(Rc<State>);

impl QueuedRequest {
    fn new(state: &Rc<State>) -> Self {
        state.load.borrow_mut().queued += 1;
        Self(Rc::clone(state))
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.0.load.borrow_mut().queued -= 1;
    }
}

/// Waits for a slot and records the run.
async fn start(state: &Rc<State>, request: &Completion) -> ActiveRun {
    let queued = QueuedRequest::new(state);
    let slot = std::sync::Arc::clone(&state.slots).acquire_owned().await;
    let slot = slot.expect("the slots are never closed");
    drop(queued);
    state.load.borrow_mut().running += 1;
    let mut runs = state.runs.borrow_mut();
    let run = runs.len();
    if run < MAX_RUNS {
        runs.push(Run {
            model: request.model.clone(),
            prompt: digest(request.prompt().as_bytes()),
            state: RunState::Running,
        });
    }
    ActiveRun {
        state: Rc::clone(state),
        run,
        done: false,
        _slot: slot,
    }
}

/// Starts the stand-in.
///
/// # Errors
/// An error of the operating system if the address cannot be bound.
pub fn bind(addr: SocketAddr, options: Options, behaviour: Behaviour) -> io::Result<Running> {
    let state = Rc::new(State {
        options,
        behaviour: RefCell::new(behaviour),
        load: RefCell::default(),
        runs: RefCell::default(),
        orders: RefCell::default(),
        slots: std::sync::Arc::new(Semaphore::new(options.slots)),
    });
    server::bind(
        addr,
        Rc::new(move |call| {
            let state = Rc::clone(&state);
            Box::pin(async move { answer(call, state).await.unwrap_or_else(|reply| reply) })
        }),
    )
}

async fn answer(call: Call, state: Rc<State>) -> Result<Reply, Reply> {
    match call.route() {
        ("POST", "/v1/chat/completions") => complete(call, state).await,
        ("GET", "/load") => Ok(Reply::json(StatusCode::OK, &*state.load.borrow())),
        ("GET", "/runs") => Ok(Reply::json(StatusCode::OK, &*state.runs.borrow())),
        ("GET", "/orders") => Ok(Reply::json(StatusCode::OK, &*state.orders.borrow())),
        ("POST", "/orders") => order(call.json()?, &state),
        ("POST", "/behaviour") => {
            let behaviour: Behaviour = call.json()?;
            *state.behaviour.borrow_mut() = behaviour.clone();
            Ok(Reply::json(StatusCode::OK, &behaviour))
        }
        _ => Err(Reply::text(StatusCode::NOT_FOUND, "no such path")),
    }
}

fn order(order: Order, state: &State) -> Result<Reply, Reply> {
    let mut orders = state.orders.borrow_mut();
    let highest = orders.iter().map(|order| order.fence).max().unwrap_or(0);
    if state.options.checks_fencing && order.fence < highest {
        let message = format!("fencing token {} is below {highest}", order.fence);
        return Err(Reply::text(StatusCode::CONFLICT, &message));
    }
    orders.push(order);
    Ok(Reply::json(StatusCode::OK, &json!({"accepted": true})))
}

async fn complete(call: Call, state: Rc<State>) -> Result<Reply, Reply> {
    let request: Completion = call.json()?;
    let active = start(&state, &request).await;
    let plan = Plan::new(&request, &state.behaviour.borrow(), active.run);
    if plan.fails {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        return Err(Reply::text(status, "the model failed"));
    }
    if request.stream {
        return Ok(streamed_answer(plan, active, call.control));
    }
    complete_answer(plan, active, &call.control).await
}

async fn complete_answer(
    plan: Plan,
    mut active: ActiveRun,
    control: &Control,
) -> Result<Reply, Reply> {
    for at in 0..=plan.tokens {
        plan.wait_for_token(at, control).await;
    }
    active.done = true;
    let text = answer_text(&plan.model, &plan.prompt, plan.tokens);
    Ok(Reply::json(
        StatusCode::OK,
        &json!({
            "object": "chat.completion",
            "model": plan.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }],
            "usage": plan.usage(),
        }),
    ))
}

fn event(plan: &Plan, choices: &Value, usage: Option<Value>) -> Bytes {
    let mut chunk = json!({
        "object": "chat.completion.chunk",
        "model": plan.model,
        "choices": choices,
    });
    if let Some(usage) = usage {
        chunk["usage"] = usage;
    }
    Bytes::from(format!("data: {chunk}\n\n"))
}

fn streamed_answer(plan: Plan, active: ActiveRun, control: Control) -> Reply {
    let start = (plan, active, control, 0);
    let events = stream::unfold(start, |(plan, mut active, control, at)| async move {
        let usage_at = plan.tokens + 1;
        let bytes = if at < plan.tokens {
            plan.wait_for_token(at, &control).await;
            let text = token(&plan.model, &plan.prompt, at);
            let choices = json!([{"index": 0, "delta": {"content": text}, "finish_reason": null}]);
            event(&plan, &choices, None)
        } else if at == plan.tokens {
            plan.wait_for_token(at, &control).await;
            let choices = json!([{"index": 0, "delta": {}, "finish_reason": "stop"}]);
            event(&plan, &choices, None)
        } else if at == usage_at && plan.usage {
            event(&plan, &json!([]), Some(plan.usage()))
        } else if at <= usage_at + 1 {
            active.done = true;
            return Some((
                Ok(Bytes::from_static(b"data: [DONE]\n\n")),
                (plan, active, control, u64::MAX),
            ));
        } else {
            return None;
        };
        Some((Ok(bytes), (plan, active, control, at + 1)))
    });
    Reply::stream("text/event-stream", events)
}
