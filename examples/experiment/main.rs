//! Runs the named experiment, or `all`, on fixed seeds and prints a table of its figures.
//!
//! `--json` prints one JSON object for each experiment as well.

mod cost;
mod crash;
mod decide;
mod deployment;
mod exposure;
mod latency;
mod load;
mod overload;
mod relay;
mod report;
mod rng;
mod spread;
mod state;

use std::process::ExitCode;

use report::Report;

/// Seeds of each experiment; the median and the range over them are reported.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// An experiment: its name and the function that runs it on the given seeds.
type Experiment = (&'static str, fn(&[u64]) -> Report);

const EXPERIMENTS: &[Experiment] = &[
    ("cost", cost::cost),
    ("cost-faults", cost::cost_faults),
    ("crash", crash::run),
    ("decide", decide::run),
    ("exposure", exposure::exposure),
    ("latency", latency::run),
    ("overload", overload::overload),
    ("relay", relay::relay),
    ("spread", spread::run),
    ("state", state::state),
];

fn main() -> ExitCode {
    let mut json = false;
    let mut name = None;
    for arg in std::env::args().skip(1) {
        match arg.as_str() {
            "--json" => json = true,
            other => name = Some(other.to_owned()),
        }
    }
    let Some(name) = name else {
        let names: Vec<_> = EXPERIMENTS.iter().map(|(name, _)| *name).collect();
        eprintln!(
            "usage: experiment [--json] NAME, with NAME one of: all {}",
            names.join(" ")
        );
        return ExitCode::from(2);
    };
    let selected: Vec<_> = EXPERIMENTS
        .iter()
        .filter(|(experiment_name, _)| name == "all" || name == *experiment_name)
        .collect();
    if selected.is_empty() {
        eprintln!("experiment {name:?} does not exist");
        return ExitCode::from(2);
    }
    for (experiment_name, run) in selected {
        let report = run(&SEEDS);
        report.print(experiment_name);
        if json {
            println!("{}", report.json(experiment_name));
        }
    }
    ExitCode::SUCCESS
}
