//! What a gateway measures of its streams to tell which answers end in time.

use crate::router::rollout::PACE_EVENTS;
use crate::units::Millis;

use super::job::Job;
use super::shared::Shared;

/// Records the time of the first [`PACE_EVENTS`] events of a stream.
pub(super) fn record_pace(shared: &Shared, job: &Job, time: Millis) {
    if let Some(model) = job.model {
        shared.with_answer_times(&job.service, |times| {
            times.observe_pace(model, PACE_EVENTS, time);
        });
    }
}

/// Records the number of events of a whole answer.
pub(super) fn record_length(shared: &Shared, job: &Job, events: u64) {
    if job.size.output > 0 {
        shared.with_answer_times(&job.service, |times| {
            times.observe_length(job.size.output, events);
        });
    }
}

/// Returns the prices of the models; a model whose answer would be cut off at the deadline is worth no price. `first_byte`
/// is the time that the last model took to begin.
pub(super) fn prices(shared: &Shared, job: &Job, first_byte: Millis) -> Vec<f64> {
    let mut prices = job.model_prices(shared);
    if !shared.policy().orders_under_shortage {
        return prices;
    }
    let left = job.deadline.since(shared.clock.now());
    shared.with_answer_times(&job.service, |times| {
        for (model, price) in prices.iter_mut().enumerate() {
            // The next model waits and reads the prompt for at least as long as this one has.
            if !times.can_finish(model, job.size.output, first_byte, left) {
                *price = f64::INFINITY;
            }
        }
    });
    if prices.contains(&f64::INFINITY) {
        shared.metrics.count_event("escalation_too_long");
        log::info!(event = "escalation_too_long", request:% = String::from_utf8_lossy(&job.id), left_ms = left.0,
            tokens = job.size.output; "");
    }
    prices
}
