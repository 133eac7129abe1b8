//! Runs a stand-in for one of the platform's services, for tests and first steps.

mod cli;

use std::io::{self, Write as _};
use std::process::ExitCode;

use fireflywind::kv::memory::MemoryKv;
use fireflywind::standin::{Running, engine, kv, rating, service, vms};

use cli::{Command, Kind};

fn main() -> ExitCode {
    let outcome = cli::parse().and_then(run);
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fireflywind-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), String> {
    actix_rt::System::new().block_on(async {
        let listen = command.listen;
        let running =
            bind(command).map_err(|error| format!("listening on {listen} failed: {error}"))?;
        print_addr(&running).map_err(|error| format!("writing the address failed: {error}"))?;
        actix_rt::signal::ctrl_c()
            .await
            .map_err(|error| format!("waiting for a signal failed: {error}"))?;
        running.stop().await;
        Ok(())
    })
}

fn bind(command: Command) -> io::Result<Running> {
    let addr = command.listen;
    match command.kind {
        Kind::Kv => kv::bind(addr, MemoryKv::open()),
        Kind::Vms => vms::bind(addr),
        Kind::Engine(options, behaviour) => engine::bind(addr, options, behaviour),
        Kind::Service(behaviour) => service::bind(addr, behaviour),
        Kind::Rating(behaviour) => rating::bind(addr, behaviour),
    }
}

/// Prints the address, so that a test can read the ephemeral port.
fn print_addr(running: &Running) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening addr={}", running.addr())?;
    out.flush()
}
