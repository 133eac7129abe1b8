//! The result of an experiment as a table and as JSON.

use serde_json::{Value, json};

/// One figure of an experiment over several seeds.
#[derive(Debug, Clone)]
pub struct Row {
    /// What was measured, with its unit and the policy that was measured.
    pub figure: String,
    /// The value on each seed.
    pub values: Vec<f64>,
    /// Text of the target, empty for a baseline.
    pub target: String,
    /// Whether the median meets the target; `None` for a baseline.
    pub met: Option<bool>,
}

impl Row {
    /// Creates a row without a target, which is shown for comparison.
    pub fn baseline(figure: impl Into<String>, values: Vec<f64>) -> Self {
        Self {
            figure: figure.into(),
            values,
            target: String::new(),
            met: None,
        }
    }

    /// Creates a row whose median must not exceed `bound`.
    pub fn at_most(figure: impl Into<String>, values: Vec<f64>, bound: f64) -> Self {
        let met = Some(median(&values) <= bound);
        Self {
            figure: figure.into(),
            values,
            target: format!("at most {bound}"),
            met,
        }
    }

    /// Creates a row whose median must be at least `bound`.
    pub fn at_least(figure: impl Into<String>, values: Vec<f64>, bound: f64) -> Self {
        let met = Some(median(&values) >= bound);
        Self {
            figure: figure.into(),
            values,
            target: format!("at least {bound}"),
            met,
        }
    }
}

/// All figures of one experiment.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The figures in the order in which they are printed.
    pub rows: Vec<Row>,
}

impl Report {
    /// Prints the figures as a table with median and range.
    pub fn print(&self, name: &str) {
        println!("{name}");
        for row in &self.rows {
            let (low, high) = range(&row.values);
            let verdict = match row.met {
                None => "",
                Some(true) => "met",
                Some(false) => "MISSED",
            };
            println!(
                "  {:<64} {:>12.4} ({low:.4} to {high:.4})  {:<16} {verdict}",
                row.figure,
                median(&row.values),
                row.target
            );
        }
    }

    /// Returns the figures as one JSON object.
    pub fn json(&self, name: &str) -> Value {
        let rows: Vec<_> = self
            .rows
            .iter()
            .map(|row| {
                json!({
                    "figure": row.figure,
                    "median": median(&row.values),
                    "values": row.values,
                    "target": row.target,
                    "met": row.met,
                })
            })
            .collect();
        json!({ "experiment": name, "rows": rows })
    }
}

/// Returns the median, or zero if there are no values. Of two middle values it is the higher one.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

fn range(values: &[f64]) -> (f64, f64) {
    let low = values.iter().copied().fold(f64::INFINITY, f64::min);
    let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    (low, high)
}
