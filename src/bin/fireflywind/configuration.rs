//! Checks a configuration of the users' platform.

use std::fs;
use std::io;
use std::path::Path;

use fireflywind::platform::check::{Finding, Severity, Surroundings, check, differences};
use fireflywind::sheet::Difference;
use serde_json::{Value, json};

use crate::cli::Options;
use crate::exit_codes::ExitCode;
use crate::verbs::Io;

/// Prints the findings on a configuration, and what it changes in the one in force.
///
/// # Errors
/// If the output cannot be written.
pub fn print(file: &Path, options: &Options, io: &mut Io<'_>) -> io::Result<ExitCode> {
    let read = (|| {
        let text = read(file)?;
        let surroundings = options.upstreams.as_deref().map(|path| {
            let parsed = Surroundings::parse(&read(path)?);
            parsed.map_err(|error| format!("{}: {error}", path.display()))
        });
        let in_force = options.against.as_deref().map(read_json).transpose()?;
        Ok::<_, String>((text, surroundings.transpose()?, in_force))
    })();
    let (text, surroundings, in_force) = match read {
        Ok(read) => read,
        Err(error) => return io.fail(ExitCode::Invalid, error),
    };
    let findings = check(&text, surroundings.as_ref());
    let changes = in_force.map(|old| {
        let new: Value = serde_json::from_slice(&text).unwrap_or_default();
        differences(&old, &new)
    });
    if options.json {
        let mut report =
            json!({"findings": findings.iter().map(Finding::to_json).collect::<Vec<_>>()});
        if let Some(changes) = &changes {
            report["differences"] = changes.iter().map(Difference::to_json).collect();
        }
        io.json(&report)?;
    } else {
        for finding in &findings {
            writeln!(io.err, "{}: {finding}", file.display())?;
        }
        if findings.is_empty() {
            writeln!(io.out, "{}: no findings", file.display())?;
        }
        for change in changes.iter().flatten() {
            writeln!(io.out, "{change}")?;
        }
    }
    Ok(
        if findings.iter().any(|f| f.severity == Severity::Refused) {
            ExitCode::Invalid
        } else if findings.is_empty() {
            ExitCode::Success
        } else {
            ExitCode::Doubtful
        },
    )
}

fn read(path: &Path) -> Result<Vec<u8>, String> {
    fs::read(path).map_err(|error| format!("{}: {error}", path.display()))
}

fn read_json(path: &Path) -> Result<Value, String> {
    let text = read(path)?;
    serde_json::from_slice(&text).map_err(|error| format!("{}: {error}", path.display()))
}
