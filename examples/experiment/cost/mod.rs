//! Cost at the quality target, against an oracle that knows each rating in advance.
//!
//! In half of the requests, whether an answer is good depends on a difficulty that is the same for all
//! versions; in the others it is drawn for each version independently. Five requests per second arrive for two
//! hours, and no ratings are known at the start. All policies see the same requests and random draws.

use std::collections::VecDeque;

use fireflywind::ids::{ClassId, Incarnation, VersionRef};
use fireflywind::rating::{Outcome, Ppm, RatingTable, Reach};
use fireflywind::route::plan::{
    Accept, Baseline, CandidateInput, EXPLORE, Plan, PlanInput, PlanStep, baseline, plan,
};
use fireflywind::sheet::VersionState;
use fireflywind::units::{Micros, Millis, Permille, Tokens};

use crate::report::{Report, Row};

mod world;

use world::{MIXES, Mix, RUN_S, Request, START, VERSIONS, hindsight, oracle, ratio, requests};

/// Seconds between refreshes of the estimates that plans use.
const REFRESH_S: u64 = 20;

const COST_BOUND: f64 = 1.10;
const FAULT_BOUND: f64 = 1.25;
/// Delay of ratings while the rating service is slow.
const LATE: Millis = Millis::from_secs(30);

/// The state of the rating service.
#[derive(Clone, Copy, PartialEq)]
enum Rater {
    Prompt,
    Late,
    FifthMissing,
    Out,
}

type Schedule = fn(Millis) -> Rater;

fn always_prompt(_since_start: Millis) -> Rater {
    Rater::Prompt
}

/// Ratings are prompt in the first hour. In the second they are late for 10 minutes, all missing for 10 and a
/// fifth of them missing for 20, with 10 minutes of prompt ratings in between.
fn faulty(since_start: Millis) -> Rater {
    match since_start.0 / 60_000 {
        60..70 => Rater::Late,
        80..90 => Rater::Out,
        100..120 => Rater::FifthMissing,
        _ => Rater::Prompt,
    }
}

fn late(_since_start: Millis) -> Rater {
    Rater::Late
}

fn fifth_missing(_since_start: Millis) -> Rater {
    Rater::FifthMissing
}

fn out_for_ten_minutes(since_start: Millis) -> Rater {
    match since_start.0 / 60_000 {
        60..70 => Rater::Out,
        _ => Rater::Prompt,
    }
}

#[derive(Clone, Copy)]
enum Policy {
    Planned,
    Baseline(Baseline),
}

/// Cost, requests and good answers of a policy; the latter two per class.
#[derive(Default)]
struct Tally {
    cost: u64,
    served: [u64; 4],
    good: [u64; 4],
}

impl Tally {
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
struct Learner<'a> {
    mix: &'a Mix,
    policy: Policy,
    rater: Schedule,
    table: RatingTable,
    inputs: Vec<PlanInput>,
    late: VecDeque<(Millis, usize, usize, Reach, bool)>,
    refreshed: Millis,
    tally: Tally,
}

impl<'a> Learner<'a> {
    fn new(mix: &'a Mix, policy: Policy, rater: Schedule) -> Self {
        Self {
            mix,
            policy,
            rater,
            table: RatingTable::new(Incarnation(1)),
            inputs: Vec::new(),
            late: VecDeque::new(),
            refreshed: Millis(0),
            tally: Tally::default(),
        }
    }

    fn run(mut self, requests: &[Request]) -> Tally {
        for request in requests {
            self.take_late(request.at);
            self.refresh(request.at);
            self.serve(request);
        }
        self.tally
    }

    fn refresh(&mut self, now: Millis) {
        let due = now.since(self.refreshed) >= Millis::from_secs(REFRESH_S);
        let learns = matches!(self.policy, Policy::Planned);
        if self.inputs.is_empty() || (learns && due) {
            self.refreshed = now;
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
            let at = index_of(&step.version);
            good = request.good[at];
            self.tally.cost += class.cost(at);
            let rated = self.rate(request, at, reach);
            let returned = match step.accept {
                Accept::Final => true,
                Accept::UnlessRatedFail => rated != Some(false),
                Accept::IfRatedPass => rated == Some(true),
            };
            if returned {
                self.returned(request.class, &step, reach, rated);
                break;
            }
            if rated == Some(false) {
                reach = Reach::Escalated;
            }
        }
        self.tally.served[request.class] += 1;
        self.tally.good[request.class] += u64::from(good);
    }

    fn returned(&mut self, class: usize, step: &PlanStep, reach: Reach, rated: Option<bool>) {
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
    fn rate(&mut self, request: &Request, at: usize, reach: Reach) -> Option<bool> {
        let good = request.good[at];
        let state = (self.rater)(request.at.since(START));
        let rated = match state {
            Rater::Prompt => Some(good),
            Rater::FifthMissing if request.rating[at] >= 0.2 => Some(good),
            Rater::FifthMissing | Rater::Late | Rater::Out => None,
        };
        let outcome = match rated {
            Some(true) => Outcome::Pass,
            Some(false) => Outcome::Fail,
            None => Outcome::Missing,
        };
        self.observe(request.class, at, reach, outcome, request.at);
        if state == Rater::Late {
            let due = request.at + LATE;
            self.late.push_back((due, request.class, at, reach, good));
        }
        rated
    }

    fn take_late(&mut self, now: Millis) {
        while let Some(&(due, class, at, reach, good)) = self.late.front() {
            if due > now {
                break;
            }
            self.late.pop_front();
            let outcome = [Outcome::LateFail, Outcome::LatePass][usize::from(good)];
            self.observe(class, at, reach, outcome, now);
        }
    }

    /// Counts an outcome, except for a baseline, which uses no estimates.
    fn observe(&mut self, class: usize, at: usize, reach: Reach, outcome: Outcome, now: Millis) {
        if let Policy::Baseline(_) = self.policy {
            return;
        }
        let class = ClassId::from(self.mix.classes[class].name);
        self.table
            .observe(&class, &version(at), reach, outcome, now);
    }
}

fn version(at: usize) -> VersionRef {
    VersionRef::new(VERSIONS[at].0, "v1")
}

fn index_of(version: &VersionRef) -> usize {
    let found = VERSIONS
        .iter()
        .position(|(name, _)| *name == version.model.as_str());
    found.expect("plans use known versions")
}

fn input(mix: &Mix, table: &RatingTable, at: usize, now: Millis) -> PlanInput {
    let class = ClassId::from(mix.classes[at].name);
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
        quality_target: Permille(mix.classes[at].target),
        aim: table.aim(&class, Permille(mix.classes[at].target)),
        cascade,
        session: None,
        streamed: false,
        expected_tokens: Tokens(mix.classes[at].tokens),
        rated_in_time: table.rated_in_time(&class),
        explore: EXPLORE,
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
        let mut planned = Vec::new();
        let mut margins = Vec::new();
        let mut fixed = Vec::new();
        let mut others = [const { Vec::new() }; 3];
        let mut lead = [const { Vec::new() }; 3];
        for &seed in seeds {
            let requests = requests(mix, seed, RUN_S);
            let least = oracle(mix, &requests);
            let run = |policy| Learner::new(mix, policy, always_prompt).run(&requests);
            let tally = run(Policy::Planned);
            planned.push(ratio(tally.cost, least));
            margins.push(tally.margin(mix));
            fixed.push(hindsight(mix, &requests) / ratio(least, 1));
            for (at, (_, kind)) in baselines.iter().enumerate() {
                let other = run(Policy::Baseline(*kind));
                others[at].push(ratio(other.cost, least));
                lead[at].push(ratio(tally.cost, other.cost));
            }
        }
        let name = mix.name;
        let figure = |what: &str| format!("{name}: {what}");
        report.rows.push(Row::at_most(
            figure("cost over oracle"),
            planned,
            COST_BOUND,
        ));
        report.rows.push(Row::at_least(
            figure("least quality over target"),
            margins,
            0.0,
        ));
        let name_fixed = figure("cost over oracle, best fixed mixture in hindsight");
        report.rows.push(Row::baseline(name_fixed, fixed));
        for ((what, _), values) in baselines.iter().zip(others) {
            report.rows.push(Row::baseline(
                figure(&format!("cost over oracle, {what}")),
                values,
            ));
        }
        for ((what, _), values) in baselines.iter().zip(lead).take(2) {
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
    let schedules: [(&str, Schedule); 4] = [
        ("late, out and missing in turn", faulty),
        ("30 s late throughout", late),
        ("a fifth missing throughout", fifth_missing),
        ("out for ten minutes", out_for_ten_minutes),
    ];
    let mut report = Report::default();
    for mix in [&MIXES[0], &MIXES[3]] {
        for (what, schedule) in schedules {
            let mut costs = Vec::new();
            let mut margins = Vec::new();
            for &seed in seeds {
                let requests = requests(mix, seed, RUN_S);
                let tally = Learner::new(mix, Policy::Planned, schedule).run(&requests);
                costs.push(ratio(tally.cost, oracle(mix, &requests)));
                margins.push(tally.margin(mix));
            }
            let name = format!("{}, ratings {what}", mix.name);
            let cost = format!("{name}: cost over oracle");
            report.rows.push(Row::at_most(cost, costs, FAULT_BOUND));
            let quality = format!("{name}: quality over target");
            report.rows.push(Row::at_least(quality, margins, 0.0));
        }
    }
    report
}
