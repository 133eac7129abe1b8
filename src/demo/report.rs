//! The report that the demo prints.

use std::fmt;

use crate::ledger::{Product, Total};

/// One line of the table of outcomes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// What was done.
    pub what: String,
    /// The model, class or service that was requested.
    pub asked: String,
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
    broken: Vec<String>,
}

impl Report {
    /// Adds a line to the table of outcomes.
    pub fn row(&mut self, what: &str, asked: &str, outcome: &str) {
        let (what, asked, outcome) = (what.to_owned(), asked.to_owned(), outcome.to_owned());
        self.rows.push(Row {
            what,
            asked,
            outcome,
        });
    }

    /// Adds a violated property.
    pub fn add_violation(&mut self, what: &str) {
        self.broken.push(what.to_owned());
    }

    /// Returns whether no property was violated.
    #[must_use]
    pub const fn has_no_violations(&self) -> bool {
        self.broken.is_empty()
    }

    /// Returns the number of requests in the table.
    #[must_use]
    pub fn requests(&self) -> u64 {
        let requests = self
            .rows
            .iter()
            .filter(|row| row.what != "operator")
            .count();
        u64::try_from(requests).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<16} {:<10} outcome", "what", "asked for")?;
        for Row {
            what,
            asked,
            outcome,
        } in &self.rows
        {
            writeln!(f, "{what:<16} {asked:<10} {outcome}")?;
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
        if self.broken.is_empty() {
            return writeln!(f, "\nall properties held");
        }
        for broken in &self.broken {
            writeln!(f, "BROKEN: {broken}")?;
        }
        Ok(())
    }
}
