//! The report that the demo prints.

use std::fmt;

use crate::ledger::{Product, Total};

/// One line of the table of outcomes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// What was done.
    pub action: String,
    /// The model, class or service that was requested.
    pub requested: String,
    /// The outcome.
    pub outcome: String,
}

/// The result of the demo.
#[derive(Debug, Default)]
pub struct Report {
    rows: Vec<Row>,
    /// Explanation of one request.
    pub explanation: String,
    /// Rows of the bill.
    pub bill: Vec<Total>,
    violations: Vec<String>,
}

impl Report {
    /// Adds a line to the table of outcomes.
    pub fn row(&mut self, action: &str, requested: &str, outcome: &str) {
        let (action, requested, outcome) =
            (action.to_owned(), requested.to_owned(), outcome.to_owned());
        self.rows.push(Row {
            action,
            requested,
            outcome,
        });
    }

    /// Adds a violated property.
    pub fn add_violation(&mut self, violation: &str) {
        self.violations.push(violation.to_owned());
    }

    /// Returns whether no property was violated.
    #[must_use]
    pub const fn has_no_violations(&self) -> bool {
        self.violations.is_empty()
    }

    /// Returns the number of requests in the table.
    #[must_use]
    pub fn requests(&self) -> u64 {
        let requests = self
            .rows
            .iter()
            .filter(|row| row.action != "operator")
            .count();
        u64::try_from(requests).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<16} {:<10} outcome", "what", "asked for")?;
        for Row {
            action,
            requested,
            outcome,
        } in &self.rows
        {
            writeln!(f, "{action:<16} {requested:<10} {outcome}")?;
        }
        writeln!(f, "\nexplanation of one request\n{}", self.explanation)?;
        writeln!(f, "bill")?;
        for row in &self.bill {
            let product = match &row.product {
                Product::Version(version) => version.to_string(),
                Product::Call(item) => item.clone(),
            };
            let (account, requests, amount) = (&row.account, row.requests, row.amount);
            writeln!(f, "  {account}: {amount} for {requests} x {product}")?;
        }
        if self.violations.is_empty() {
            return writeln!(f, "\nall properties held");
        }
        for violation in &self.violations {
            writeln!(f, "BROKEN: {violation}")?;
        }
        Ok(())
    }
}
