//! A stand-in for the service that rates responses.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;
use actix_rt::time::sleep;
use serde::{Deserialize, Serialize};

use super::hash_permille;
use super::server::{self, Call, Reply, Running};
use crate::units::Millis;

/// Lowest rating of an answer that passes, in permille.
pub const MIN_PASS_PERMILLE: u16 = 700;
/// Upper bound, exclusive, of the ratings of answers that fail, in permille.
pub const FAIL_BELOW_PERMILLE: u16 = 300;

/// Body of `POST /rate`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RateRequest {
    /// The request's class.
    pub class: String,
    /// The version that answered, as `model/version`.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The answer.
    pub answer: String,
}

/// Answer of `POST /rate`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rating {
    /// The rating, 0 to 1,000.
    pub rating: u16,
}

/// Share of a model's answers that pass.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PassShare {
    /// The version, as `model/version`.
    pub model: String,
    /// The share in thousandths.
    pub permille: u16,
}

/// How the service rates.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Shares of individual versions, in place of `pass_permille`.
    pub pass: Vec<PassShare>,
    /// Share of the other versions, in thousandths.
    pub pass_permille: u16,
    /// Time before each rating.
    pub delay: Millis,
    /// Answers every call with status 500.
    pub failing: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            pass: Vec::new(),
            pass_permille: 1_000,
            delay: Millis(0),
            failing: false,
        }
    }
}

impl Behaviour {
    fn share(&self, model: &str) -> u16 {
        let own = self.pass.iter().find(|share| share.model == model);
        own.map_or(self.pass_permille, |share| share.permille)
    }

    /// Rates an answer; the same request always gets the same rating.
    #[must_use]
    pub fn rate(&self, request: &RateRequest) -> Rating {
        let parts = [
            request.class.as_str(),
            &request.model,
            &request.prompt,
            &request.answer,
        ];
        let draw = hash_permille(&parts);
        let rating = if draw < self.share(&request.model) {
            MIN_PASS_PERMILLE + draw % (1_001 - MIN_PASS_PERMILLE)
        } else {
            draw % FAIL_BELOW_PERMILLE
        };
        Rating { rating }
    }
}

/// Starts the stand-in.
///
/// # Errors
/// An error of the operating system if the address cannot be bound.
pub fn bind(addr: SocketAddr, behaviour: Behaviour) -> io::Result<Running> {
    let behaviour = Rc::new(RefCell::new(behaviour));
    server::bind(
        addr,
        Rc::new(move |call| {
            let behaviour = Rc::clone(&behaviour);
            Box::pin(async move {
                answer(&call, &behaviour)
                    .await
                    .unwrap_or_else(|reply| reply)
            })
        }),
    )
}

async fn answer(call: &Call, behaviour: &RefCell<Behaviour>) -> Result<Reply, Reply> {
    match call.route() {
        ("POST", "/rate") => {
            let request = call.json()?;
            let current = behaviour.borrow().clone();
            sleep(current.delay.duration()).await;
            if current.failing {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                return Err(Reply::text(status, "the rating service fails"));
            }
            Ok(Reply::json(StatusCode::OK, &current.rate(&request)))
        }
        ("POST", "/behaviour") => {
            let changed: Behaviour = call.json()?;
            *behaviour.borrow_mut() = changed.clone();
            Ok(Reply::json(StatusCode::OK, &changed))
        }
        _ => Err(Reply::text(StatusCode::NOT_FOUND, "no such path")),
    }
}
