//! The operator's command-line program.

mod bill;
mod cli;
mod configuration;
mod exit_codes;
mod platform;
mod records;
#[cfg(test)]
mod tests;
mod verbs;

use std::ffi::OsString;
use std::io::{self, ErrorKind, Write};
use std::process;

use cli::Command;
use exit_codes::ExitCode;

fn main() -> process::ExitCode {
    let args = std::env::args_os().skip(1);
    let (mut out, mut err) = (io::stdout(), io::stderr());
    match run(args, &mut out, &mut err) {
        Ok(code) => code.into(),
        // The reader of the output, for instance `head`, has closed the pipe.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => ExitCode::Success.into(),
        Err(error) => {
            eprintln!("fireflywind: standard output: {error}");
            ExitCode::Invalid.into()
        }
    }
}

fn run(
    args: impl IntoIterator<Item = OsString>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> io::Result<ExitCode> {
    match cli::parse(args) {
        Ok(Command::Help(text)) => {
            out.write_all(text.as_bytes())?;
            Ok(ExitCode::Success)
        }
        Ok(Command::Version) => {
            writeln!(out, "fireflywind {}", env!("CARGO_PKG_VERSION"))?;
            Ok(ExitCode::Success)
        }
        Ok(Command::Run(verb, options)) => verbs::run(verb, &options, &mut verbs::Io { out, err }),
        Err(error) => {
            writeln!(err, "fireflywind: {error}")?;
            Ok(ExitCode::Usage)
        }
    }
}
