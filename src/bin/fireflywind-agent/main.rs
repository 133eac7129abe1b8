//! Runs beside one upstream and executes the requests that gateways send to it.

use std::io;
use std::process::ExitCode;
use std::rc::Rc;

use fireflywind::agent::Agent;
use fireflywind::daemon::exit_codes::DaemonExit;
use fireflywind::daemon::{self, Program, StopSignals};
use fireflywind::kv::budget::CallBudget;
use fireflywind::kv::etcd::EtcdKv;
use fireflywind::settings;

const PROGRAM: Program = Program {
    name: "fireflywind-agent",
    about: "Stands beside one upstream and runs what gateways send there.",
};

fn main() -> ExitCode {
    daemon::main(PROGRAM, settings::Agent::parse, |cfg| cfg.log_level, run)
}

fn run(cfg: &settings::Agent) -> DaemonExit {
    actix_rt::System::new().block_on(async {
        match start(cfg).await {
            Ok((signals, agent)) => {
                println!(
                    "listening addr={} admin={}",
                    agent.addr(),
                    agent.admin_addr()
                );
                let deadline = cfg.stop_deadline;
                daemon::stop_on_signal(signals, || agent.stop(deadline)).await
            }
            Err(error) => {
                eprintln!("{}: {}: {error}", PROGRAM.name, cfg.listen);
                DaemonExit::CannotStart
            }
        }
    })
}

async fn start(cfg: &settings::Agent) -> io::Result<(StopSignals, Agent)> {
    let signals = StopSignals::listen()?;
    let kv = EtcdKv::open(cfg.kv.clone(), CallBudget::per_process());
    let agent = Agent::bind(cfg, Rc::new(kv)).await?;
    Ok((signals, agent))
}
