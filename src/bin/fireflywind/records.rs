//! The verbs `explain` and `replay`.

use std::fs::File;
use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::Path;

use fireflywind::record::{self, Record};
use fireflywind::telemetry::logging;

use crate::cli::Options;
use crate::exit_codes::ExitCode;
use crate::platform;
use crate::verbs::{EarlyExit, Io};

/// Fetches the record of a request from the gateways and prints its explanation.
pub async fn explain(
    gateways: &[SocketAddr],
    id: &Path,
    options: &Options,
    io: &mut Io<'_>,
) -> Result<ExitCode, EarlyExit> {
    let id = id.to_string_lossy();
    for gateway in gateways {
        let Ok(json) = platform::get(*gateway, &format!("/records/{id}")).await else {
            continue;
        };
        if options.json {
            io.out.write_all(&json)?;
            writeln!(io.out)?;
            return Ok(ExitCode::Success);
        }
        return Ok(match serde_json::from_slice::<Record>(&json) {
            Ok(record) => {
                write!(io.out, "{}", record::explain(&record))?;
                ExitCode::Success
            }
            Err(error) => io.fail(ExitCode::Invalid, format!("record {id}: {error}"))?,
        });
    }
    Ok(io.fail(
        ExitCode::NotFound,
        format!("no gateway has the record of request {id}"),
    )?)
}

/// Computes the decisions of every record in a file again and compares them with the recorded ones.
pub fn replay(file: &Path, io: &mut Io<'_>) -> Result<ExitCode, EarlyExit> {
    let name = file.display();
    let opened = match File::open(file) {
        Ok(opened) => opened,
        Err(error) => return Ok(io.fail(ExitCode::Invalid, format!("{name}: {error}"))?),
    };
    let mut replayed = 0_u64;
    for (index, line) in BufReader::new(opened).lines().enumerate() {
        let (number, line) = (index + 1, line?);
        let json = if line.starts_with('{') {
            Some(line)
        } else {
            logging::value_of(&line, "record")
        };
        let Some(json) = json else {
            continue;
        };
        let record: Record = match serde_json::from_str(&json) {
            Ok(record) => record,
            Err(error) => {
                return Ok(io.fail(
                    ExitCode::Invalid,
                    format!("{name}:{number}: record: {error}"),
                )?);
            }
        };
        if let Err(difference) = record::replay(&record) {
            let error = format!("{name}:{number}: request {}: {difference}", record.request);
            return Ok(io.fail(ExitCode::ReplayDiffers, error)?);
        }
        replayed += 1;
    }
    writeln!(io.out, "{replayed} records replay without a difference")?;
    Ok(ExitCode::Success)
}
