//! Runs gateways and agents in one process against the built-in stand-ins.
//!
//! Puts a sheet into force, serves a mix of requests and checks properties of their outcomes.

mod report;
mod site;

use std::io;

use serde_json::{Value, json};

use crate::ledger::{Bill, read_bill};
use crate::operator::{self, ApplyError};
use crate::record::{self, Event, Record};
use crate::sheet::{ApplyId, Sheet, VersionState};
use crate::units::Millis;

pub use report::{Report, Row};
use site::{Answer, Site};

/// Number of requests in the mix.
const MIX_REQUESTS: usize = 24;

/// Number of requests of the session after its first.
const SESSION_REQUESTS: usize = 8;

/// Time limit of each wait in the demo.
const WAIT_TIMEOUT: Millis = Millis::from_secs(20);

/// Why the demo could not run.
#[derive(Debug)]
pub enum DemoError {
    /// A socket failed.
    Io(io::Error),
    /// The sheet was not accepted.
    Apply(ApplyError),
    /// A wait timed out; names what was awaited.
    TimedOut(&'static str),
}

impl std::fmt::Display for DemoError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(error) => write!(f, "demo: {error}"),
            Self::Apply(error) => write!(f, "demo: sheet: {error}"),
            Self::TimedOut(what) => write!(f, "demo: no {what} within {WAIT_TIMEOUT}"),
        }
    }
}

impl std::error::Error for DemoError {}

impl From<io::Error> for DemoError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<ApplyError> for DemoError {
    fn from(error: ApplyError) -> Self {
        Self::Apply(error)
    }
}

/// Runs the demo.
///
/// # Errors
/// [`DemoError`] if it could not run to its end; a violated property is part of the report.
pub fn run() -> Result<Report, DemoError> {
    actix_rt::System::new().block_on(async {
        let site = Site::start().await?;
        let mut demo = Demo {
            site,
            report: Report::default(),
            charged: 0,
        };
        demo.apply(&demo.site.sheet(), None).await?;
        demo.mix().await;
        let session = demo.session().await;
        demo.order().await;
        demo.withdraw(session.as_deref()).await?;
        demo.check_bill_and_records().await?;
        Ok(demo.report)
    })
}

struct Demo {
    site: Site,
    report: Report,
    /// Number of requests that must be on the bill.
    charged: u64,
}

impl Demo {
    async fn apply(&mut self, sheet: &Sheet, base: Option<u64>) -> Result<u64, DemoError> {
        let applied = operator::apply(&self.site.kv, sheet, base, ApplyId::random()).await?;
        self.site
            .wait_for_revision(applied.revision, WAIT_TIMEOUT)
            .await?;
        self.report.row(
            "operator",
            "apply",
            &format!("revision {} is in force", applied.revision),
        );
        Ok(applied.revision)
    }

    /// Serves a mix of tags and summaries, whole and streamed, through both gateways.
    async fn mix(&mut self) {
        for n in 0..MIX_REQUESTS {
            let class = if n.is_multiple_of(3) {
                "summary"
            } else {
                "tags"
            };
            let mut body = prompt(class, &format!("request {n}"));
            let streamed = n % 4 == 1;
            body["stream"] = json!(streamed);
            let answer = self.site.chat(n, &body, None).await;
            self.record_answer(if streamed { "stream" } else { "whole" }, class, &answer);
        }
        let records = self.site.records().await;
        match records.iter().find(|record| escalated(record)) {
            Some(record) => self.report.explanation = record::explain(record),
            None => self.report.add_violation(&format!(
                "none of the {MIX_REQUESTS} requests of the mix escalated to a costlier version"
            )),
        }
    }

    /// Checks that a session stays on its version during the roll-out.
    async fn session(&mut self) -> Option<String> {
        let first = self
            .site
            .chat(0, &prompt("small/v1", "session 0"), None)
            .await;
        self.record_answer("session starts", "small/v1", &first);
        let token = first.session.clone()?;
        for n in 1..=SESSION_REQUESTS {
            let body = prompt("tags", &format!("session {n}"));
            let answer = self.site.chat(n, &body, Some(&token)).await;
            self.record_answer("session", "tags", &answer);
            if answer.version != first.version {
                self.report.add_violation(&format!(
                    "request {n} of a session ran on {}, expected {}",
                    answer.version.as_deref().unwrap_or("no version"),
                    first.version.as_deref().unwrap_or("no version")
                ));
            }
        }
        Some(token)
    }

    /// Sends one order twice, through both gateways.
    async fn order(&mut self) {
        let key = uuid::Uuid::now_v7().to_string();
        let body = r#"{"pearls":"black","pallets":2}"#;
        let first = self.site.order(0, &key, body).await;
        self.record_answer("order", "orders", &first);
        let second = self.site.order(1, &key, body).await;
        self.report.row("order again", "orders", &second.summary());
        if first.body != second.body {
            self.report
                .add_violation("an order that was sent twice got two different answers");
        }
        if self.site.order_runs().await != 1 {
            self.report
                .add_violation("an order that was sent twice did not run exactly once");
        }
    }

    /// Withdraws the session's version and checks that the version gets no new request.
    async fn withdraw(&mut self, session: Option<&str>) -> Result<(), DemoError> {
        let mut sheet = self.site.sheet();
        let small = sheet.models.iter_mut().find(|m| m.id.as_str() == "small");
        for version in small.into_iter().flat_map(|m| &mut m.versions) {
            if version.id.as_str() == "v1" {
                version.state = VersionState::Withdrawn;
            } else {
                version.rollout = None;
            }
        }
        for cascade in &mut sheet.cascades {
            cascade.steps.retain(|step| step.to_string() != "small/v1");
        }
        let runs = self.site.engine_runs("small/v1").await;
        self.apply(&sheet, Some(1)).await?;
        for n in 0..6_usize {
            let token = session.filter(|_| n.is_multiple_of(2));
            let answer = self
                .site
                .chat(n, &prompt("tags", &format!("later {n}")), token)
                .await;
            self.record_answer(
                if token.is_some() {
                    "old session"
                } else {
                    "whole"
                },
                "tags",
                &answer,
            );
            if token.is_some() && answer.code != "session_version_withdrawn" {
                self.report.add_violation(&format!(
                    "a session on a withdrawn version got code {:?}, expected {:?}",
                    answer.code, "session_version_withdrawn"
                ));
            }
        }
        if self.site.engine_runs("small/v1").await != runs {
            self.report
                .add_violation("a withdrawn version received a new request");
        }
        Ok(())
    }

    /// Waits for the ledger and checks the bill and the records.
    async fn check_bill_and_records(&mut self) -> Result<(), DemoError> {
        let bill = self.wait_for_bill().await?;
        let billed: u64 = bill.totals.rows().iter().map(|row| row.requests).sum();
        if billed != self.charged {
            let why = format!(
                "{} requests were answered, {billed} are billed",
                self.charged
            );
            self.report.add_violation(&why);
        }
        if !bill.unknown.is_empty() {
            self.report.add_violation(&format!(
                "the bill has requests of unknown outcome from {} gateways, expected none",
                bill.unknown.len()
            ));
        }
        for record in self.site.records().await {
            if let Err(difference) = record::replay(&record) {
                self.report
                    .add_violation(&format!("request {}: {difference}", record.request));
            }
        }
        self.report.bill = bill.totals.rows().to_vec();
        Ok(())
    }

    async fn wait_for_bill(&self) -> Result<Bill, DemoError> {
        let wait = async {
            loop {
                if let Ok(bill) = read_bill(&self.site.kv).await
                    && bill.unknown.is_empty()
                    && bill.requests >= self.report.requests()
                {
                    return bill;
                }
                actix_rt::time::sleep(Millis(100).duration()).await;
            }
        };
        let waited = actix_rt::time::timeout(WAIT_TIMEOUT.duration(), wait).await;
        waited.map_err(|_elapsed| DemoError::TimedOut("bill of all requests"))
    }

    fn record_answer(&mut self, action: &str, requested: &str, answer: &Answer) {
        if answer.status == 200 || answer.status == 201 {
            self.charged += 1;
            if !answer.complete {
                self.report.add_violation(&format!(
                    "the answer to {action} ({requested}) was incomplete: it ended after {} bytes",
                    answer.body.len()
                ));
            }
        }
        self.report.row(action, requested, &answer.summary());
    }
}

fn prompt(model: &str, text: &str) -> Value {
    json!({ "model": model, "messages": [{ "role": "user", "content": text }] })
}

fn escalated(record: &Record) -> bool {
    let is_rejection = |event: &Event| {
        matches!(
            event,
            Event::Judged {
                accepted: false,
                ..
            }
        )
    };
    record.events.iter().any(is_rejection)
}
