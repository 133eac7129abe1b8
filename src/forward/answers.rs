//! Exchange of what gateways have seen of a roll-out, through the platform's store.

use std::rc::Rc;

use crate::router::comparison::{AnswerReport, RouteCounts};
use crate::router::rollout::Rollout;
use crate::units::Millis;

use super::shared::Shared;

/// Shortest interval between two reports of a gateway.
const MIN_REPORT_INTERVAL: Millis = Millis(500);

/// Shortest interval while all requests go to a version that is not completed.
const MIN_REPORT_INTERVAL_AFTER_MOVE: Millis = Millis(100);

/// Interval between two reports for each gateway that reports: together they write a hundred times a second at the most, a
/// quarter of what the smallest store takes.
const REPORT_INTERVAL_PER_GATEWAY: Millis = Millis(10);

/// Number of answers of a service a second up to which the interval does not grow with the gateways: a report follows an
/// answer, so that there are no more reports than answers.
const MAX_ANSWERS_PER_SECOND: u64 = 100;

/// Returns the interval between two reports of each of so many gateways of a service with so many answers a second; `has_moved`
/// is whether all requests go to the new version.
#[must_use]
pub fn report_interval(gateways: u64, answers_per_second: u64, has_moved: bool) -> Millis {
    let shortest = if has_moved {
        MIN_REPORT_INTERVAL_AFTER_MOVE
    } else {
        MIN_REPORT_INTERVAL
    };
    if answers_per_second <= MAX_ANSWERS_PER_SECOND {
        return shortest;
    }
    shortest.max(Millis(REPORT_INTERVAL_PER_GATEWAY.0 * gateways))
}

/// The gateway that reports.
#[derive(Debug)]
pub(super) struct ReportSource {
    /// Its name.
    pub(super) gateway: Rc<str>,
    /// Start of its process, in Unix milliseconds.
    pub(super) boot: u64,
    /// Number of gateways that beacons name.
    pub(super) gateways: u64,
    /// Spreads the reports of gateways that begin at the same moment.
    pub(super) draw: u64,
}

/// The reports of this gateway on one roll-out.
#[derive(Debug, Default)]
pub(super) struct Reporting {
    seq: u64,
    next_at: Option<Millis>,
    reported_at: Millis,
    written: Vec<RouteCounts>,
    is_writing: bool,
}

impl Reporting {
    /// Returns the counts that are due to be written. `draw` spreads the reports of gateways that begin at the same moment.
    pub(super) fn due(
        &mut self,
        rollout: &Rollout,
        interval: Millis,
        draw: u64,
        now: Millis,
    ) -> Option<(u64, Vec<RouteCounts>)> {
        if self.is_writing || rollout.pins_sessions(now) {
            return None;
        }
        let next_at = *self
            .next_at
            .get_or_insert(now + Millis(draw % interval.0.max(1)));
        // The interval may have become shorter.
        let next_at = next_at.min(self.reported_at + interval);
        let own = rollout.comparison().own();
        if now < next_at || self.written == own {
            return None;
        }
        (self.next_at, self.reported_at) = (Some(now + interval), now);
        self.seq += 1;
        self.written = own.to_vec();
        self.is_writing = true;
        Some((self.seq, self.written.clone()))
    }

    /// Ends a write. What was not written is in the next report.
    pub(super) fn end_write(&mut self) {
        self.is_writing = false;
    }
}

impl Shared {
    /// Takes in what another gateway has seen of a roll-out.
    pub(super) fn merge_answers(&self, report: AnswerReport, now: Millis) {
        if report.gateway == self.policy().name && report.boot == self.started_unix.0 {
            return;
        }
        let mut rollouts = self.rollouts.borrow_mut();
        if let Some(rollout) = rollouts
            .get_mut(&report.service)
            .filter(|r| r.to == report.to)
        {
            rollout.merge(report, now);
        }
    }
}

/// Writes the reports that are due.
pub(super) fn write_due(shared: &Rc<Shared>, now: Millis) {
    let source = ReportSource {
        gateway: Rc::clone(&shared.policy().name),
        boot: shared.started_unix.0,
        gateways: shared.gateways(now),
        draw: shared.draw(),
    };
    let due = shared.rollouts.borrow_mut().due_reports(&source, now);
    for report in due {
        let shared = Rc::clone(shared);
        actix_rt::spawn(async move {
            let (service, seq) = (Rc::clone(&report.service), report.seq);
            let sent_at = shared.clock.now();
            let answer = shared.control.write_answers(report).await;
            shared.observe_era(answer.era, sent_at);
            if let Err(error) = &answer.result {
                log::info!(event = "answer_report_lost", service:% = service, seq = seq, error:% = error; "");
                shared.metrics.count_event("answer_report_lost");
            }
            (shared.rollouts.borrow_mut()).end_report(&service);
        });
    }
}
