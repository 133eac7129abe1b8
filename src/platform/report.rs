//! The state that a model engine tells of itself.

use serde::Deserialize;
use serde_json::Value;

/// Target of the question.
pub const TARGET: &str = "/api/report";

/// Load of an engine, as of some hundred milliseconds ago.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that wait.
    pub waiting: u64,
    /// Requests that run.
    pub running: u64,
    /// Requests that run and have made no output yet.
    pub starting: u64,
    /// Ids of the requests that run.
    pub ids: Vec<String>,
}

#[derive(Deserialize)]
struct Report {
    #[serde(default)]
    waiting: u64,
    #[serde(default)]
    running: u64,
    /// Rows of id, tokens in memory, events made and priority.
    #[serde(default)]
    runs: Vec<Vec<Value>>,
}

/// Decodes the answer; `None` if it is none.
#[must_use]
pub fn decode(body: &[u8]) -> Option<EngineLoad> {
    let report: Report = serde_json::from_slice(body).ok()?;
    let has_output = |row: &&Vec<Value>| row.get(2).and_then(Value::as_u64) != Some(0);
    let begun = report.runs.iter().filter(has_output).count();
    let ids = report.runs.iter().filter_map(|row| row.first()?.as_str());
    Some(EngineLoad {
        waiting: report.waiting,
        running: report.running,
        starting: (report.runs.len() - begun) as u64,
        ids: ids.map(str::to_owned).collect(),
    })
}
