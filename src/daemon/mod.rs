//! Shared by the programs of all daemons: command line, settings, logs and signals.

pub mod exit_codes;
pub mod reload;

use std::ffi::OsString;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::settings::{self, LoadError};
use crate::sheet::finding::Finding;
use crate::telemetry::{buffered, logging};

use exit_codes::DaemonExit;
use reload::Reloader;

/// The parsed command line of a daemon.
#[derive(Debug, PartialEq, Eq)]
enum Command {
    Help,
    Version,
    Run { settings: PathBuf, check: bool },
}

/// Name and description of a daemon, as its help prints them.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Name of the executable.
    pub name: &'static str,
    /// One-line description.
    pub about: &'static str,
}

/// Runs a daemon that takes the path of its settings on the command line.
///
/// Parses the arguments, loads and validates the settings, starts the log and calls `run`.
pub fn main<T>(
    program: Program,
    parse: impl FnOnce(&[u8]) -> Result<T, Vec<Finding>>,
    level: impl FnOnce(&T) -> log::LevelFilter,
    run: impl FnOnce(&T) -> DaemonExit,
) -> ExitCode {
    let command = match command(std::env::args_os()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("{}: {error}", program.name);
            return DaemonExit::Usage.into();
        }
    };
    let (path, check) = match command {
        Command::Help => {
            print!("{}", help(program));
            return DaemonExit::Success.into();
        }
        Command::Version => {
            println!("{} {}", program.name, env!("CARGO_PKG_VERSION"));
            return DaemonExit::Success.into();
        }
        Command::Run { settings, check } => (settings, check),
    };
    let cfg = match settings::load(&path, parse) {
        Ok(cfg) => cfg,
        Err(error) => {
            eprintln!("{error}");
            return match error {
                LoadError::Unreadable { .. } => DaemonExit::Usage.into(),
                LoadError::Findings { .. } => DaemonExit::InvalidSettings.into(),
            };
        }
    };
    if check {
        println!("{}: settings are valid", path.display());
        return DaemonExit::Success.into();
    }
    if let Err(error) = logging::start(level(&cfg)) {
        eprintln!("{}: {error}", program.name);
        return DaemonExit::CannotStart.into();
    }
    run(&cfg).into()
}

/// Runs a daemon whose settings file is named by the platform.
///
/// Loads the settings, starts the log, the runtime and the signal handlers, and calls `run`.
pub fn run_on_platform<T, E: std::fmt::Display>(
    name: &str,
    load: impl FnOnce() -> Result<T, E>,
    run: impl AsyncFnOnce(&T, StopSignals, Reloader) -> DaemonExit,
) -> ExitCode {
    let cfg = match load() {
        Ok(cfg) => cfg,
        Err(error) => {
            eprintln!("{name}: {error}");
            return DaemonExit::InvalidSettings.into();
        }
    };
    let writer = match buffered::start(log::LevelFilter::Info) {
        Ok(writer) => writer,
        Err(error) => {
            eprintln!("{name}: {error}");
            return DaemonExit::CannotStart.into();
        }
    };
    let exit = actix_rt::System::new().block_on(async {
        match StopSignals::listen().and_then(|s| Ok((s, Reloader::listen()?))) {
            Ok((signals, reloader)) => run(&cfg, signals, reloader).await,
            Err(error) => {
                eprintln!("{name}: {error}");
                DaemonExit::CannotStart
            }
        }
    });
    writer.close();
    exit.into()
}

fn help(program: Program) -> String {
    let Program { name, about } = program;
    let codes: Vec<_> = DaemonExit::ALL
        .iter()
        .map(|c| format!("{} {c}", c.code()))
        .collect();
    format!(
        "{about}\n\n\
         Usage: {name} [--check] SETTINGS.json\n\n\
         Options:\n      \
             --check    Validate the settings and exit\n  \
         -h, --help     Print help\n  \
         -V, --version  Print the version\n\n\
         Exit codes: {}\n",
        codes.join(", ")
    )
}

fn command(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_iter(args);
    let (mut settings, mut check) = (None, false);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long("check") => check = true,
            Value(path) if settings.is_none() => settings = Some(PathBuf::from(path)),
            other => return Err(other.unexpected()),
        }
    }
    let settings = settings.ok_or("the path of the settings is missing")?;
    Ok(Command::Run { settings, check })
}

/// Signals that request a daemon to stop.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Starts to listen for SIGTERM and SIGINT.
    ///
    /// # Errors
    /// If a signal handler cannot be installed.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a stop signal, then for the graceful stop; a second signal ends the wait.
pub async fn stop_on_signal<F>(mut signals: StopSignals, stop: impl FnOnce() -> F) -> DaemonExit
where
    F: Future<Output = bool>,
{
    signals.next().await;
    log::info!(event = "stop_requested"; "");
    tokio::select! {
        finished = stop() => if finished { DaemonExit::Success } else { DaemonExit::CutOff },
        () = signals.next() => {
            log::warn!(event = "stopped_at_once"; "");
            DaemonExit::CutOff
        }
    }
}
