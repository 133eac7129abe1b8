//! What the fleet has seen of a new version of a service, by route, in comparison with the old one.
//!
//! Each gateway counts its own answers by route and version and reports them to the others as cumulative counts, so
//! that a report that is late, lost or repeated does no harm. Where upstreams have beacons, their sums of the whole service
//! take the place of these reports: they are there anyway, and reports of all gateways would cost calls to the store. The
//! sums of all gateways are judged by route:
//!
//! - **Stop.** A cumulative sum of log-likelihood ratios (CUSUM) compares, for each route and [`Measure`], the rate of
//!   the old version over the same time with one that is [`Measure::harm`] worse. It starts anew whenever the new version
//!   looks sound, so a version that turns bad late is found as soon as one that was bad from the start. Each answer may
//!   start an excursion, which passes the threshold with a probability of at most `exp(-threshold)`; the threshold grows
//!   with the numbers of routes and answers so that the sum stays at about [`FALSE_STOP_PROBABILITY`].
//! - **Completion.** Each route with at least [`MATERIAL_PERCENT`] of the answers must have enough answers of the new
//!   version to tell a bad one from a sound one, and they must speak for a sound one. Otherwise the version is unproven.
//!
//! The bounds hold for answers that are independent of each other. Answers that were cut off are not counted as failed
//! here, since one crash of an upstream breaks several.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::units::Millis;

use super::rollout::{Answer, AnswerGrade, Judged};

/// Probability with which a version that is no worse than the old one is stopped in one roll-out.
const FALSE_STOP_PROBABILITY: f64 = 0.01;

/// Part of the service's answers from which a route must be proven for a completion, in percent.
const MATERIAL_PERCENT: u64 = 20;

/// Number of answers of the new version that a material route must have for a completion.
const MIN_MATERIAL_ANSWERS: u32 = 8;

/// Information that the answers of all routes must hold for a completion, in nats: the mean log-likelihood ratio that as many
/// answers of a bad version would have.
const MIN_INFORMATION_NATS: f64 = 3.0;

/// Information of the answers since all requests have moved after which a completion need not wait for more, in nats.
const MIN_INFORMATION_AFTER_MOVE_NATS: f64 = 6.0;

/// Largest log-likelihood ratio of a material route's answers, bad against sound, at which it counts as sound.
const MAX_DOUBT_NATS: f64 = 1.0;

/// Probability with which the score of a sound version forbids its completion at the end of a roll-out.
const FALSE_DOUBT_PROBABILITY: f64 = 0.02;

/// Longest time over which the old version's rate is taken for the stop: a trouble of both versions, or of the old one alone,
/// counts only while it lasts.
const BASELINE_WINDOW: Millis = Millis(5_000);

/// Interval between two marks of the old version's counts.
const MARK_INTERVAL: Millis = Millis(500);

/// Number of the old version's answers after which a shorter time is long enough.
const MIN_WINDOW_ANSWERS: u32 = 20;

/// Answers of an unknown old version, as (bad, all), that are added to those that were counted.
const PRIOR: (f64, f64) = (0.1, 5.0);

/// Highest weight of the old version's answers from before the comparison, in answers.
const MAX_EARLIER_ANSWERS: f64 = 10.0;

/// Lowest rate of bad answers that is assumed of the old version.
const MIN_RATE: f64 = 0.01;

/// Number of answers that is added to the count when the threshold is computed, so that it is not low at the start.
const MIN_THRESHOLD_ANSWERS: f64 = 10.0;

/// Stands for the sums of all routes that beacons report.
pub const WHOLE_SERVICE: u64 = 0;

/// A property of answers that is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Measure {
    /// Errors that upstreams caused themselves.
    Failures,
    /// Times to first byte that are several times the usual.
    FirstBytes,
    /// Paces of streams that are several times the usual.
    Paces,
}

impl Measure {
    const ALL: [Self; 3] = [Self::Failures, Self::FirstBytes, Self::Paces];

    /// Returns the bad answers and all answers.
    fn of(self, counts: &Judged) -> (f64, f64) {
        let (bad, all) = match self {
            Self::Failures => (counts.failed, counts.answers),
            Self::FirstBytes => (counts.slow, counts.answers),
            Self::Paces => (counts.slow_paces, counts.paces),
        };
        (bad.into(), all.into())
    }

    /// Returns by how much the rate of a sound version may exceed the old one's. New upstreams have no prompts cached.
    const fn allowance(self) -> f64 {
        match self {
            Self::Failures => 0.0,
            Self::FirstBytes => 0.2,
            Self::Paces => 0.1,
        }
    }

    /// Returns which part of the answers that are good on a sound version is bad on the bad version that is tested for.
    const fn harm(self) -> f64 {
        match self {
            Self::Failures => 0.25,
            Self::FirstBytes | Self::Paces => 0.3,
        }
    }
}

/// Counts of the answers to one route's requests, cumulative since requests may reach the new version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Hash of the route's name.
    pub route: u64,
    /// Answers of the new version.
    pub new: Judged,
    /// Answers of the old version.
    pub old: Judged,
}

/// What one gateway has seen of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// Service of the roll-out.
    pub service: Rc<str>,
    /// Version that is being rolled out.
    pub to: Rc<str>,
    /// Name of the gateway.
    pub gateway: Rc<str>,
    /// Start of the gateway's process, in Unix milliseconds; the counts of two processes add up.
    pub boot: u64,
    /// Number of the report; it increases while the process runs.
    pub seq: u64,
    /// The counts.
    pub routes: Vec<RouteCounts>,
}

/// Latest report of another gateway's process.
#[derive(Debug, Clone)]
struct Reporter {
    gateway: Rc<str>,
    boot: u64,
    seq: u64,
    heard_at: Millis,
    routes: Vec<RouteCounts>,
}

/// State of the test of one route.
#[derive(Debug, Clone, Copy)]
struct Chart {
    route: u64,
    /// Answers of the new version that have been taken in.
    counted: Judged,
    /// Cumulative sums, by measure.
    scores: [f64; 3],
}

/// The old version's counts at one moment, sorted by route.
#[derive(Debug, Clone)]
struct Mark {
    at: Millis,
    old: Vec<(u64, Judged)>,
}

/// A route on which the new version is worse than the old one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Finding {
    /// Hash of the route's name.
    pub route: u64,
    /// In what it is worse.
    pub measure: Measure,
    /// Cumulative sum of the log-likelihood ratios.
    pub score: f64,
    /// Value that it has passed.
    pub threshold: f64,
}

/// Whether the answers of all gateways show that the new version is sound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Proof {
    /// They do.
    Sound,
    /// They speak against it on this route, but not enough to stop the roll-out.
    Doubtful(u64),
    /// There are too few on this route, or no answer at all.
    TooFew(Option<u64>),
}

/// Gateways whose answers are in the sums.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reach {
    /// Processes of gateways that have reported, with this one.
    pub gateways: usize,
    /// Age of the oldest of their latest reports.
    pub oldest: Millis,
}

/// The comparison of the new version with the old one.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    /// This gateway's counts, sorted by route.
    own: Vec<RouteCounts>,
    /// This gateway's counts of the old version from before the comparison, sorted by route.
    earlier: Vec<(u64, Judged)>,
    /// Sorted by gateway and boot.
    others: Vec<Reporter>,
    /// Sums of all gateways, sorted by route.
    sums: Vec<RouteCounts>,
    /// Sorted by route.
    charts: Vec<Chart>,
    /// Counts of the old version within the last [`BASELINE_WINDOW`], oldest first.
    marks: Vec<Mark>,
    /// Sums of the whole service that beacons report, if upstreams have some.
    whole: Option<(Judged, Judged)>,
    /// Answers of the new version when all requests moved, sorted by route.
    before_move: Option<Vec<(u64, u32)>>,
}

impl Comparison {
    /// Counts an answer from before the comparison.
    pub fn count_earlier(&mut self, route: u64, answer: Answer, grade: AnswerGrade) {
        let at = match self.earlier.binary_search_by_key(&route, |e| e.0) {
            Ok(at) => at,
            Err(at) => {
                self.earlier.insert(at, (route, Judged::default()));
                at
            }
        };
        self.earlier[at].1.count(answer, grade);
    }

    /// Counts an answer of the new or of the old version.
    pub fn count(&mut self, route: u64, is_new: bool, answer: Answer, grade: AnswerGrade) {
        let counts = entry(&mut self.own, route);
        let counts = if is_new {
            &mut counts.new
        } else {
            &mut counts.old
        };
        counts.count(answer, grade);
    }

    /// Returns this gateway's counts.
    #[must_use]
    pub fn own(&self) -> &[RouteCounts] {
        &self.own
    }

    /// Returns the number of this gateway's answers of both versions, also from before the comparison.
    #[must_use]
    pub fn own_answers(&self) -> u64 {
        let earlier = self.earlier.iter().map(|e| u64::from(e.1.answers));
        let own = self.own.iter();
        let own = own.map(|c| u64::from(c.new.answers) + u64::from(c.old.answers));
        earlier.chain(own).sum()
    }

    /// Takes in the report of another gateway; an older one than is known changes nothing.
    pub fn merge(&mut self, report: AnswerReport, now: Millis) {
        let key = (&report.gateway, report.boot);
        let found = (self.others).binary_search_by(|known| (&known.gateway, known.boot).cmp(&key));
        let reporter = Reporter {
            gateway: report.gateway,
            boot: report.boot,
            seq: report.seq,
            heard_at: now,
            routes: report.routes,
        };
        match found {
            Ok(at) if self.others[at].seq < reporter.seq => self.others[at] = reporter,
            Ok(_) => {}
            Err(at) => self.others.insert(at, reporter),
        }
    }

    /// Sets the sums of the whole service that beacons report, of the new and of the old version. They stand for the reports of the
    /// other gateways, which are not exchanged then.
    pub const fn set_whole(&mut self, new: Judged, old: Judged) {
        if new.answers > 0 || old.answers > 0 {
            self.whole = Some((new, old));
        }
    }

    /// Returns whether beacons report the sums of the whole service.
    #[must_use]
    pub const fn has_beacons(&self) -> bool {
        self.whole.is_some()
    }

    /// Sums the counts of all gateways and advances the tests; `has_moved` is whether all requests go to the new version.
    pub fn update(&mut self, has_moved: bool, now: Millis) {
        self.sums.clear();
        let others = self.others.iter().flat_map(|reporter| &reporter.routes);
        for counts in self.own.iter().chain(others) {
            let sum = entry(&mut self.sums, counts.route);
            sum.new = sum.new.plus(counts.new);
            sum.old = sum.old.plus(counts.old);
        }
        if let Some((new, old)) = self.whole {
            let sum = entry(&mut self.sums, WHOLE_SERVICE);
            (sum.new, sum.old) = (new, old);
        }
        if has_moved && self.before_move.is_none() {
            let counts = self.sums.iter().map(|c| (c.route, c.new.answers));
            self.before_move = Some(counts.collect());
        }
        // After the move the old version has no more answers to compare with.
        if !has_moved {
            self.mark(now);
        }
        for sum in &self.sums {
            let (old, earlier) = (self.recent_old(sum), self.earlier_of(sum.route));
            let at = match (self.charts).binary_search_by_key(&sum.route, |chart| chart.route) {
                Ok(at) => at,
                Err(at) => {
                    let chart = Chart {
                        route: sum.route,
                        counted: Judged::default(),
                        scores: [0.0; 3],
                    };
                    self.charts.insert(at, chart);
                    at
                }
            };
            let chart = &mut self.charts[at];
            for (score, measure) in chart.scores.iter_mut().zip(Measure::ALL) {
                let ((bad, all), (known_bad, known)) =
                    (measure.of(&sum.new), measure.of(&chart.counted));
                let hypotheses = Hypotheses::new(measure, &old, &earlier);
                let ratio = hypotheses.log_ratio(bad - known_bad, all - known);
                *score = (*score + ratio).max(0.0);
            }
            chart.counted = sum.new;
        }
    }

    /// Returns the route on which the new version is worse by the most, if it is on any.
    #[must_use]
    pub fn finding(&self) -> Option<Finding> {
        let findings = self.charts.iter().flat_map(|chart| {
            let scores = chart.scores.into_iter().zip(Measure::ALL);
            scores.map(|(score, measure)| Finding {
                route: chart.route,
                measure,
                score,
                threshold: self.threshold(measure.of(&chart.counted).1),
            })
        });
        findings
            .filter(|f| f.score >= f.threshold)
            .max_by(|a, b| a.score.total_cmp(&b.score))
    }

    /// Returns whether the new version may be completed.
    #[must_use]
    pub fn proof(&self) -> Proof {
        let answers = |c: &RouteCounts| u64::from(c.new.answers) + u64::from(c.old.answers);
        let all: u64 = self.sums.iter().map(answers).sum();
        if self.sums.iter().all(|c| c.new.answers == 0) {
            return Proof::TooFew(None);
        }
        let doubt = (self.tests() / FALSE_DOUBT_PROBABILITY).ln();
        if let Some(chart) = (self.charts.iter()).find(|c| c.scores.iter().any(|s| *s > doubt)) {
            return Proof::Doubtful(chart.route);
        }
        let mut information = 0.0;
        for counts in &self.sums {
            let earlier = self.earlier_of(counts.route);
            let is_material = answers(counts) * 100 >= all * MATERIAL_PERCENT;
            for measure in Measure::ALL {
                let (bad, all) = measure.of(&counts.new);
                let hypotheses = Hypotheses::new(measure, &counts.old, &earlier);
                if is_material && hypotheses.log_ratio(bad, all) > MAX_DOUBT_NATS {
                    return Proof::Doubtful(counts.route);
                }
                if measure == Measure::Failures {
                    information += all * hypotheses.information();
                }
            }
            if is_material && counts.new.answers < MIN_MATERIAL_ANSWERS {
                return Proof::TooFew(Some(counts.route));
            }
        }
        if information < MIN_INFORMATION_NATS {
            return Proof::TooFew(None);
        }
        Proof::Sound
    }

    /// Returns whether the answers since all requests have moved would show a version that has turned bad since then.
    #[must_use]
    pub fn has_seen_move(&self) -> bool {
        let Some(before) = &self.before_move else {
            return false;
        };
        let information = self.sums.iter().map(|counts| {
            let known = before.binary_search_by_key(&counts.route, |b| b.0);
            let known = known.map_or(0, |at| before[at].1);
            let earlier = self.earlier_of(counts.route);
            let hypotheses = Hypotheses::new(Measure::Failures, &counts.old, &earlier);
            f64::from(counts.new.answers.saturating_sub(known)) * hypotheses.information()
        });
        information.sum::<f64>() >= MIN_INFORMATION_AFTER_MOVE_NATS
    }

    /// Returns the sums of all gateways, by route.
    #[must_use]
    pub fn sums(&self) -> &[RouteCounts] {
        &self.sums
    }

    /// Returns whose answers the sums contain.
    #[must_use]
    pub fn reach(&self, now: Millis) -> Reach {
        let ages = self.others.iter().map(|r| now.since(r.heard_at));
        Reach {
            gateways: self.others.len() + 1,
            oldest: ages.max().unwrap_or_default(),
        }
    }

    /// Remembers the old version's counts.
    fn mark(&mut self, now: Millis) {
        let is_due = (self.marks.last()).is_none_or(|mark| now.since(mark.at) >= MARK_INTERVAL);
        if !is_due {
            return;
        }
        let is_past = |mark: &Mark| now.since(mark.at) > BASELINE_WINDOW;
        self.marks.retain(|mark| !is_past(mark));
        let old = self.sums.iter().map(|c| (c.route, c.old)).collect();
        self.marks.push(Mark { at: now, old });
    }

    /// Returns the old version's counts within the window, or all of them if those are few.
    fn recent_old(&self, sum: &RouteCounts) -> Judged {
        let since = |mark: &Mark| {
            let found = mark.old.binary_search_by_key(&sum.route, |o| o.0);
            let known = found.map_or_else(|_| Judged::default(), |at| mark.old[at].1);
            sum.old.minus(known)
        };
        let mut recent = self.marks.iter().rev().map(since);
        recent
            .find(|counts| counts.answers >= MIN_WINDOW_ANSWERS)
            .unwrap_or(sum.old)
    }

    /// Returns the score above which a route with this many answers of the new version stops the roll-out.
    fn threshold(&self, answers: f64) -> f64 {
        (self.tests() * (answers + MIN_THRESHOLD_ANSWERS) / FALSE_STOP_PROBABILITY).ln()
    }

    /// Returns the number of tests that are made at the same time.
    fn tests(&self) -> f64 {
        let tests = self.charts.len().max(1) * Measure::ALL.len();
        f64::from(u32::try_from(tests).unwrap_or(u32::MAX))
    }

    fn earlier_of(&self, route: u64) -> Judged {
        let found = self.earlier.binary_search_by_key(&route, |e| e.0);
        found.map_or_else(|_| Judged::default(), |at| self.earlier[at].1)
    }
}

/// Rates of bad answers that are tested against each other.
#[derive(Debug, Clone, Copy)]
struct Hypotheses {
    /// Of a version that is no worse than the old one.
    sound: f64,
    /// Of a bad version.
    bad: f64,
}

impl Hypotheses {
    /// Derives the rates from the old version's answers; the fewer there are, the higher is the rate that a sound version may
    /// have.
    fn new(measure: Measure, old: &Judged, earlier: &Judged) -> Self {
        let (bad, all) = measure.of(old);
        let (earlier_bad, earlier_all) = measure.of(earlier);
        let weight = (MAX_EARLIER_ANSWERS / earlier_all.max(1.0)).min(1.0);
        let all = all + earlier_all * weight + PRIOR.1;
        let rate = (bad + earlier_bad * weight + PRIOR.0) / all;
        let deviation = (rate * (1.0 - rate).max(0.0) / all).sqrt();
        let sound = (rate + deviation + measure.allowance()).clamp(MIN_RATE, 0.99);
        Self {
            sound,
            bad: sound + measure.harm() * (1.0 - sound),
        }
    }

    /// Returns the log-likelihood ratio of answers, bad against sound.
    fn log_ratio(self, bad: f64, all: f64) -> f64 {
        let good = (all - bad).max(0.0);
        bad * (self.bad / self.sound).ln() + good * ((1.0 - self.bad) / (1.0 - self.sound)).ln()
    }

    /// Returns the mean log-likelihood ratio of an answer of a bad version.
    fn information(self) -> f64 {
        self.log_ratio(self.bad, 1.0)
    }
}

/// Returns the entry of a route in a sorted list; inserts one if there is none.
fn entry(list: &mut Vec<RouteCounts>, route: u64) -> &mut RouteCounts {
    let at = match list.binary_search_by_key(&route, |c| c.route) {
        Ok(at) => at,
        Err(at) => {
            let counts = RouteCounts {
                route,
                ..RouteCounts::default()
            };
            list.insert(at, counts);
            at
        }
    };
    &mut list[at]
}
