//! A stand-in for a plain service, such as orders, stock or library calls.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;
use actix_rt::time::sleep;
use bytes::Bytes;
use futures_util::{Stream, StreamExt as _, stream};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::task::yield_now;

use super::digest;
use super::server::{self, Call, Reply, Running};
use crate::units::Millis;

/// What the service does with each call.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time before the call runs.
    pub delay: Millis,
    /// Status of the answer.
    pub status: u16,
    /// Closes the connection without an answer after the call has run.
    pub drop_answer: bool,
    /// Closes the connection in the middle of the answer after the call has run.
    pub cut_answer: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            delay: Millis(0),
            status: StatusCode::OK.as_u16(),
            drop_answer: false,
            cut_answer: false,
        }
    }
}

/// How often one distinct call ran.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Run {
    /// The method.
    pub method: String,
    /// The path with the query.
    pub path: String,
    /// SHA-256 of the body in hexadecimal.
    pub digest: String,
    /// Value of the `Idempotency-Key` header.
    pub key: Option<String>,
    /// Number of runs.
    pub count: u64,
}

impl Run {
    fn identity(&self) -> (&str, &str, &str, Option<&str>) {
        (&self.method, &self.path, &self.digest, self.key.as_deref())
    }
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    runs: Vec<Run>,
    total: u64,
}

impl State {
    /// Counts a run and returns its number among all runs.
    fn count(&mut self, run: Run) -> u64 {
        match self
            .runs
            .binary_search_by(|known| known.identity().cmp(&run.identity()))
        {
            Ok(at) => self.runs[at].count += 1,
            Err(at) => self.runs.insert(at, run),
        }
        self.total += 1;
        self.total
    }
}

/// Starts the stand-in.
///
/// # Errors
/// An error of the operating system if the address cannot be bound.
pub fn bind(addr: SocketAddr, behaviour: Behaviour) -> io::Result<Running> {
    let state = Rc::new(RefCell::new(State {
        behaviour,
        ..State::default()
    }));
    server::bind(
        addr,
        Rc::new(move |call| {
            let state = Rc::clone(&state);
            Box::pin(async move { answer(call, &state).await.unwrap_or_else(|reply| reply) })
        }),
    )
}

async fn answer(call: Call, state: &RefCell<State>) -> Result<Reply, Reply> {
    match call.route() {
        ("GET", "/__runs") => Ok(Reply::json(StatusCode::OK, &state.borrow().runs)),
        ("POST", "/__behaviour") => {
            let behaviour: Behaviour = call.json()?;
            state.borrow_mut().behaviour = behaviour.clone();
            Ok(Reply::json(StatusCode::OK, &behaviour))
        }
        _ => run(call, state).await,
    }
}

async fn run(call: Call, state: &RefCell<State>) -> Result<Reply, Reply> {
    let behaviour = state.borrow().behaviour.clone();
    sleep(behaviour.delay.duration()).await;
    let key = call.headers.get("idempotency-key");
    let run = Run {
        method: call.method.to_string(),
        path: call.target,
        digest: digest(&call.body),
        key: key.and_then(|key| key.to_str().ok()).map(str::to_owned),
        count: 1,
    };
    let mut answer = json!({"method": run.method, "path": run.path, "digest": run.digest});
    answer["number"] = state.borrow_mut().count(run).into();
    if behaviour.drop_answer {
        return Ok(Reply::HangUp);
    }
    if behaviour.cut_answer {
        return Ok(Reply::stream("application/json", cut_body()));
    }
    let status = StatusCode::from_u16(behaviour.status)
        .map_err(|error| Reply::text(StatusCode::BAD_REQUEST, &error.to_string()))?;
    Ok(Reply::json(status, &answer))
}

/// Yields the start of an answer and then an error, which closes the connection in the middle of the body.
fn cut_body() -> impl Stream<Item = io::Result<Bytes>> {
    let start = stream::iter([Ok(Bytes::from_static(b"{\"number\":"))]);
    start.chain(stream::once(async {
        // Lets the server send the first chunk before the stream fails.
        yield_now().await;
        Err(io::Error::other("the answer is cut here"))
    }))
}
