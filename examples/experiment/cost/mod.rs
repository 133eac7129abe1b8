//! Cost at the quality target, against an oracle that knows each rating in advance.
//!
//! In half of the requests, whether an answer is good depends on a difficulty that is the same for all
//! versions; in the others it is drawn for each version independently. Five requests per second arrive for two
//! hours, and no ratings are known at the start. All policies see the same requests and random draws.

use std::collections::VecDeque;

use fireflywind::ids::{ClassId, Incarnation, VersionRef};
use fireflywind::rating::{Outcome, Ppm, RatingTable, Reach};
use fireflywind::route::plan::{
    Accept, Baseline, CandidateInput, EXPLORE_SHARE, Plan, PlanInput, PlanStep, baseline, plan,
};
use fireflywind::sheet::VersionState;
use fireflywind::units::{Micros, Millis, Permille, Tokens};

use crate::report::{Report, Row};

mod workload;

use workload::{MIXES, Mix, RUN_S, Request, START, VERSIONS, hindsight, oracle, ratio, requests};

/// Seconds between refreshes of the estimates that plans use.
const REFRESH_S: u64 = 20;

/// Highest allowed ratio of the cost to that of the oracle, with prompt ratings.
const MAX_COST_RATIO: f64 = 1.10;
/// Highest allowed ratio of the cost to that of the oracle, while the rating service fails.
const MAX_COST_RATIO_UNDER_FAULTS: f64 = 1.25;
/// Delay of ratings while the rating service is slow.
const LATE_RATING_DELAY: Millis = Millis::from_secs(30);

/// The state of the rating service.
#[derive(Clone, Copy, PartialEq)]
enum RatingServiceState {
    Prompt,
    Late,
    FifthMissing,
    Unavailable,
}

type FaultSchedule = fn(Millis) -> RatingServiceState;

fn always_prompt(_since_start: Millis) -> RatingServiceState {
    RatingServiceState::Prompt
}

/// Ratings are prompt in the first hour. In the second they are late for 10 minutes, all missing for 10 and a
/// fifth of them missing for 20, with 10 minutes of prompt ratings in between.
fn faults_in_turn(since_start: Millis) -> RatingServiceState {
    match since_start.0 / 60_000 {
        60..70 => RatingServiceState::Late,
        80..90 => RatingServiceState::Unavailable,
        100..120 => RatingServiceState::FifthMissing,
        _ => RatingServiceState::Prompt,
    }
}

fn always_late(_since_start: Millis) -> RatingServiceState {
    RatingServiceState::Late
}

fn always_fifth_missing(_since_start: Millis) -> RatingServiceState {
    RatingServiceState::FifthMissing
}

fn ten_minute_outage(since_start: Millis) -> RatingServiceState {
    match since_start.0 / 60_000 {
        60..70 => RatingServiceState::Unavailable,
        _ => RatingServiceState::Prompt,
    }
}

#[derive(Clone, Copy)]
enum Policy {
    Planned,
    Baseline(Baseline),
}

/// Cost, requests and good answers of a policy; the latter two per class.
#[derive(Default)]
struct Totals {
    cost: u64,
    served: [u64; 4],
    good: [u64; 4],
}

impl Totals {
    /// Returns the smallest difference between the share of good answers of a class and its target.
    fn margin(&self, mix: &Mix) -> f64 {
        let margins = (0..4).map(|c| {
            let target = f64::from(mix.classes[c].target) / 1_000.0;
            ratio(self.good[c], self.served[c]) - target
        });
        margins.fold(f64::INFINITY, f64::min)
    }
}

/// The run of a policy, with the ratings that it has observed.
struct PolicyRun<'a> {
    mix: &'a Mix,
    policy: Policy,
    rating_service: FaultSchedule,
    table: RatingTable,
    inputs: Vec<PlanInput>,
    late_ratings: VecDeque<(Millis, usize, usize, Reach, bool)>,
    refreshed_at: Millis,
    totals: Totals,
}

impl<'a> PolicyRun<'a> {
    fn new(mix: &'a Mix, policy: Policy, rating_service: FaultSchedule) -> Self {
        Self {
            mix,
            policy,
            rating_service,
            table: RatingTable::new(Incarnation(1)),
            inputs: Vec::new(),
            late_ratings: VecDeque::new(),
            refreshed_at: Millis(0),
            totals: Totals::default(),
        }
    }

    fn run(mut self, requests: &[Request]) -> Totals {
        for request in requests {
            self.observe_late_ratings(request.at);
            self.refresh_inputs(request.at);
            self.serve(request);
        }
        self.totals
    }

    fn refresh_inputs(&mut self, now: Millis) {
        let due = now.since(self.refreshed_at) >= Millis::from_secs(REFRESH_S);
        let uses_ratings = matches!(self.policy, Policy::Planned);
        if self.inputs.is_empty() || (uses_ratings && due) {
            self.refreshed_at = now;
            self.inputs = (0..4)
                .map(|c| input(self.mix, &self.table, c, now))
                .collect();
        }
        for input in &mut self.inputs {
            input.rated_in_time = self.table.rated_in_time(&input.class);
            input.aim = self.table.aim(&input.class, input.quality_target);
        }
    }

    fn plan(&self, request: &Request) -> Plan {
        let input = &self.inputs[request.class];
        let plan = match self.policy {
            Policy::Planned => plan(input, request.draws),
            Policy::Baseline(kind) => baseline(kind, input, request.draws),
        };
        plan.expect("every version is allowed and routable")
    }

    fn serve(&mut self, request: &Request) {
        let class = &self.mix.classes[request.class];
        let mut reach = Reach::First;
        let mut good = false;
        for step in self.plan(request).steps {
            let version_index = index_of(&step.version);
            good = request.good[version_index];
            self.totals.cost += class.cost(version_index);
            let rated = self.rate(request, version_index, reach);
            let is_delivered = match step.accept {
                Accept::Final => true,
                Accept::UnlessRatedFail => rated != Some(false),
                Accept::IfRatedPass => rated == Some(true),
            };
            if is_delivered {
                self.record_delivered(request.class, &step, reach, rated);
                break;
            }
            if rated == Some(false) {
                reach = Reach::Escalated;
            }
        }
        self.totals.served[request.class] += 1;
        self.totals.good[request.class] += u64::from(good);
    }

    fn record_delivered(
        &mut self,
        class: usize,
        step: &PlanStep,
        reach: Reach,
        rated: Option<bool>,
    ) {
        let input = &self.inputs[class];
        let unrated = match reach {
            Reach::First => step.first,
            Reach::Escalated => step.escalated,
        };
        let quality = rated.map_or(unrated, |good| Ppm(u32::from(good) * Ppm::ONE.0));
        self.table
            .record_delivered(&input.class, input.quality_target, quality);
    }

    /// Observes the rating of an answer and returns it if it arrives in time.
    fn rate(&mut self, request: &Request, version_index: usize, reach: Reach) -> Option<bool> {
        let good = request.good[version_index];
        let state = (self.rating_service)(request.at.since(START));
        let rated = match state {
            RatingServiceState::Prompt => Some(good),
            RatingServiceState::FifthMissing if request.rating_draws[version_index] >= 0.2 => {
                Some(good)
            }
            RatingServiceState::FifthMissing
            | RatingServiceState::Late
            | RatingServiceState::Unavailable => None,
        };
        let outcome = match rated {
            Some(true) => Outcome::Pass,
            Some(false) => Outcome::Fail,
            None => Outcome::Missing,
        };
        self.observe(request.class, version_index, reach, outcome, request.at);
        if state == RatingServiceState::Late {
            let due = request.at + LATE_RATING_DELAY;
            self.late_ratings
                .push_back((due, request.class, version_index, reach, good));
        }
        rated
    }

    fn observe_late_ratings(&mut self, now: Millis) {
        while let Some(&(due, class, version_index, reach, good)) = self.late_ratings.front() {
            if due > now {
                break;
            }
            self.late_ratings.pop_front();
            let outcome = [Outcome::LateFail, Outcome::LatePass][usize::from(good)];
            self.observe(class, version_index, reach, outcome, now);
        }
    }

    /// Counts an outcome, except for a baseline, which uses no estimates.
    fn observe(
        &mut self,
        class: usize,
        version_index: usize,
        reach: Reach,
        outcome: Outcome,
        now: Millis,
    ) {
        if let Policy::Baseline(_) = self.policy {
            return;
        }
        let class = ClassId::from(self.mix.classes[class].name);
        self.table
            .observe(&class, &version(version_index), reach, outcome, now);
    }
}

fn version(version_index: usize) -> VersionRef {
    VersionRef::new(VERSIONS[version_index].0, "v1")
}

fn index_of(version: &VersionRef) -> usize {
    let found = VERSIONS
        .iter()
        .position(|(name, _)| *name == version.model.as_str());
    found.expect("plans use known versions")
}

fn input(mix: &Mix, table: &RatingTable, class_index: usize, now: Millis) -> PlanInput {
    let class = ClassId::from(mix.classes[class_index].name);
    let candidate = |v: usize| CandidateInput {
        version: version(v),
        state: VersionState::Serving,
        cost_per_1k: Micros(VERSIONS[v].1),
        first: table.estimate(&class, &version(v), Reach::First, now),
        escalated: table.estimate(&class, &version(v), Reach::Escalated, now),
        rollout: None,
        routable: true,
    };
    let cascade: Vec<_> = mix.versions.iter().copied().map(version).collect();
    PlanInput {
        allow: cascade.clone(),
        quality_target: Permille(mix.classes[class_index].target),
        aim: table.aim(&class, Permille(mix.classes[class_index].target)),
        cascade,
        session: None,
        streamed: false,
        expected_tokens: Tokens(mix.classes[class_index].tokens),
        rated_in_time: table.rated_in_time(&class),
        explore: EXPLORE_SHARE,
        candidates: mix.versions.iter().copied().map(candidate).collect(),
        class,
    }
}

/// Measures the planner and the baselines with prompt ratings.
pub fn cost(seeds: &[u64]) -> Report {
    let baselines = [
        ("always best", Baseline::AlwaysBest),
        ("cheapest first", Baseline::CheapestFirst),
        ("plain cascade", Baseline::PlainCascade),
    ];
    let mut report = Report::default();
    for mix in &MIXES {
        let mut planned_ratios = Vec::new();
        let mut margins = Vec::new();
        let mut hindsight_ratios = Vec::new();
        let mut baseline_ratios = [const { Vec::new() }; 3];
        let mut planned_over_baseline = [const { Vec::new() }; 3];
        for &seed in seeds {
            let requests = requests(mix, seed, RUN_S);
            let oracle_cost = oracle(mix, &requests);
            let run = |policy| PolicyRun::new(mix, policy, always_prompt).run(&requests);
            let totals = run(Policy::Planned);
            planned_ratios.push(ratio(totals.cost, oracle_cost));
            margins.push(totals.margin(mix));
            hindsight_ratios.push(hindsight(mix, &requests) / ratio(oracle_cost, 1));
            for (index, (_, kind)) in baselines.iter().enumerate() {
                let other = run(Policy::Baseline(*kind));
                baseline_ratios[index].push(ratio(other.cost, oracle_cost));
                planned_over_baseline[index].push(ratio(totals.cost, other.cost));
            }
        }
        let name = mix.name;
        let figure = |what: &str| format!("{name}: {what}");
        report.rows.push(Row::at_most(
            figure("cost over oracle"),
            planned_ratios,
            MAX_COST_RATIO,
        ));
        report.rows.push(Row::at_least(
            figure("least quality over target"),
            margins,
            0.0,
        ));
        let hindsight_figure = figure("cost over oracle, best fixed mixture in hindsight");
        report
            .rows
            .push(Row::baseline(hindsight_figure, hindsight_ratios));
        for ((what, _), values) in baselines.iter().zip(baseline_ratios) {
            report.rows.push(Row::baseline(
                figure(&format!("cost over oracle, {what}")),
                values,
            ));
        }
        for ((what, _), values) in baselines.iter().zip(planned_over_baseline).take(2) {
            report.rows.push(Row::at_most(
                figure(&format!("cost over {what}")),
                values,
                1.0,
            ));
        }
    }
    report
}

/// Measures the planner under faults of the rating service.
pub fn cost_faults(seeds: &[u64]) -> Report {
    let schedules: [(&str, FaultSchedule); 4] = [
        ("late, out and missing in turn", faults_in_turn),
        ("30 s late throughout", always_late),
        ("a fifth missing throughout", always_fifth_missing),
        ("out for ten minutes", ten_minute_outage),
    ];
    let mut report = Report::default();
    for mix in [&MIXES[0], &MIXES[3]] {
        for (what, schedule) in schedules {
            let mut costs = Vec::new();
            let mut margins = Vec::new();
            for &seed in seeds {
                let requests = requests(mix, seed, RUN_S);
                let totals = PolicyRun::new(mix, Policy::Planned, schedule).run(&requests);
                costs.push(ratio(totals.cost, oracle(mix, &requests)));
                margins.push(totals.margin(mix));
            }
            let name = format!("{}, ratings {what}", mix.name);
            let cost = format!("{name}: cost over oracle");
            report
                .rows
                .push(Row::at_most(cost, costs, MAX_COST_RATIO_UNDER_FAULTS));
            let quality = format!("{name}: quality over target");
            report.rows.push(Row::at_least(quality, margins, 0.0));
        }
    }
    report
}
