//! Measured quality of versions, and the rating of answers.

use std::rc::Rc;

use actix_rt::time::timeout;
use serde_json::Value;

use super::rollouts;
use super::shared::Shared;
use crate::ids::{ClassId, Incarnation, VersionRef};
use crate::rating::{Outcome, RatingTable, Reach};
use crate::record::RatingResult;
use crate::rollout::Observation;
use crate::units::{Millis, Permille};
use crate::upstream::Timeouts;
use crate::upstream::rating::RatingClient;

/// Lowest rating at which an answer passes.
const PASS_THRESHOLD: Permille = Permille(500);

/// Time limit for a rating that decides on an escalation.
const RATING_TIMEOUT: Millis = Millis(500);

/// One in this many answers that need no rating is rated anyway, to keep the estimates up to date.
const ANSWERS_PER_SAMPLE: u64 = 10;

/// Maximum number of ratings in progress; the capacity of the rating service is scarce.
const MAX_CONCURRENT_RATINGS: u32 = 64;

/// Pass rates and the number of ratings in progress.
#[derive(Debug)]
pub(super) struct Quality {
    pub table: RatingTable,
    ratings_in_progress: u32,
    /// Time of the next exchange with other gateways.
    pub next_exchange: Millis,
}

impl Quality {
    pub const fn new(source: Incarnation) -> Self {
        Self {
            table: RatingTable::new(source),
            ratings_in_progress: 0,
            next_exchange: Millis(0),
        }
    }
}

/// An answer to rate.
#[derive(Debug, Clone)]
pub(super) struct AnswerToRate {
    pub class: ClassId,
    pub version: VersionRef,
    pub reach: Reach,
    pub prompt: Rc<str>,
    pub text: String,
}

/// Rates an answer. Without a rating in time the result is `Missing`; a late rating still counts for the
/// estimates.
pub(super) async fn rate(shared: &Rc<Shared>, answer: AnswerToRate) -> RatingResult {
    let Some(addr) = shared
        .rating
        .filter(|_| shared.quality.borrow().ratings_in_progress < MAX_CONCURRENT_RATINGS)
    else {
        observe(shared, &answer, Outcome::Missing);
        return RatingResult::Missing;
    };
    shared.quality.borrow_mut().ratings_in_progress += 1;
    let (tx, rx) = tokio::sync::oneshot::channel();
    let task_shared = Rc::clone(shared);
    actix_rt::spawn(async move {
        let client = RatingClient::new(addr, Timeouts::default());
        let a = &answer;
        let rating = client.rate(&a.class, &a.version, &a.prompt, &a.text).await;
        task_shared.quality.borrow_mut().ratings_in_progress -= 1;
        let passed = match rating {
            Ok(rating) => Some(rating >= PASS_THRESHOLD),
            Err(error) => {
                task_shared.metrics.count_event("rating_failed");
                log::debug!(event = "rating_failed", error:% = error; "");
                None
            }
        };
        // The receiver is dropped when the time limit is over.
        if tx.send((passed, answer.clone())).is_err() {
            match passed {
                Some(true) => observe(&task_shared, &answer, Outcome::LatePass),
                Some(false) => observe(&task_shared, &answer, Outcome::LateFail),
                None => {}
            }
        }
    });
    await_rating(shared, rx).await
}

async fn await_rating(
    shared: &Rc<Shared>,
    rx: tokio::sync::oneshot::Receiver<(Option<bool>, AnswerToRate)>,
) -> RatingResult {
    match timeout(RATING_TIMEOUT.duration(), rx).await {
        Ok(Ok((Some(true), answer))) => {
            observe(shared, &answer, Outcome::Pass);
            RatingResult::Pass
        }
        Ok(Ok((Some(false), answer))) => {
            observe(shared, &answer, Outcome::Fail);
            RatingResult::Fail
        }
        Ok(Ok((None, answer))) => {
            observe(shared, &answer, Outcome::Missing);
            RatingResult::Missing
        }
        Ok(Err(_)) | Err(_) => RatingResult::Missing,
    }
}

/// Rates a sample of the answers that are delivered without a rating.
pub(super) fn sample(shared: &Rc<Shared>, draw: u64, answer: AnswerToRate) {
    if draw.is_multiple_of(ANSWERS_PER_SAMPLE) {
        let shared = Rc::clone(shared);
        actix_rt::spawn(async move {
            rate(&shared, answer).await;
        });
    }
}

fn observe(shared: &Shared, answer: &AnswerToRate, outcome: Outcome) {
    let now = shared.clock.unix();
    let (class, version) = (&answer.class, &answer.version);
    shared
        .quality
        .borrow_mut()
        .table
        .observe(class, version, answer.reach, outcome, now);
    let observation = match outcome {
        Outcome::Pass | Outcome::LatePass => Observation::RatedGood,
        Outcome::Fail | Outcome::LateFail => Observation::RatedLow,
        Outcome::Missing => return,
    };
    if let Some(in_force) = shared.follower.in_force() {
        rollouts::observe(shared, &in_force, version, observation);
    }
}

/// Returns the text of a chat completion, empty if it has none.
pub(super) fn completion_text(body: &[u8]) -> String {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = body
        .pointer("/choices/0/message/content")
        .and_then(Value::as_str);
    text.unwrap_or_default().to_owned()
}
