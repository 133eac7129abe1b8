//! Load report of a model engine.

use serde::Deserialize;
use serde_json::Value;
use serde_with::serde_as;

use crate::units::whole::Whole;

/// Request target of the load report.
pub const REPORT_TARGET: &str = "/api/report";

/// Load of an engine; the report lags by some hundred milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Number of queued requests.
    pub waiting: u64,
    /// Number of running requests.
    pub running: u64,
    /// Number of running requests that have produced no output yet.
    pub starting: u64,
    /// Ids of the running requests.
    pub ids: Vec<String>,
    /// Start time of the engine's process, in Unix milliseconds, if the report names it.
    pub boot: Option<u64>,
}

#[serde_as]
#[derive(Deserialize)]
struct Report {
    #[serde_as(as = "Whole")]
    #[serde(default)]
    waiting: u64,
    #[serde_as(as = "Whole")]
    #[serde(default)]
    running: u64,
    /// One row for each running request: id, tokens in memory, events produced and priority.
    #[serde(default)]
    runs: Vec<Vec<Value>>,
    /// Start time of the process, in Unix milliseconds.
    #[serde_as(as = "Option<Whole>")]
    #[serde(default)]
    born: Option<u64>,
}

/// Decodes the body of a load report; returns `None` if it is malformed.
#[must_use]
pub fn decode(body: &[u8]) -> Option<EngineLoad> {
    let report: Report = serde_json::from_slice(body).ok()?;
    let has_output = |row: &&Vec<Value>| row.get(2).and_then(Value::as_f64) != Some(0.0);
    let with_output = report.runs.iter().filter(has_output).count();
    let ids = report.runs.iter().filter_map(|row| row.first()?.as_str());
    Some(EngineLoad {
        waiting: report.waiting,
        running: report.running,
        starting: (report.runs.len() - with_output) as u64,
        ids: ids.map(str::to_owned).collect(),
        boot: report.born,
    })
}
