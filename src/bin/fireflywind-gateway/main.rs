//! Accepts callers' requests and routes them to agents.

use std::process::ExitCode;
use std::rc::Rc;

use fireflywind::daemon::exit_codes::DaemonExit;
use fireflywind::daemon::{self, Program, StopSignals};
use fireflywind::gateway::Gateway;
use fireflywind::kv::budget::CallBudget;
use fireflywind::kv::etcd::EtcdKv;
use fireflywind::settings;

const PROGRAM: Program = Program {
    name: "fireflywind-gateway",
    about: "Takes callers' requests and routes them to agents.",
};

fn main() -> ExitCode {
    daemon::main(PROGRAM, settings::Gateway::parse, |cfg| cfg.log_level, run)
}

fn run(cfg: &settings::Gateway) -> DaemonExit {
    actix_rt::System::new().block_on(async {
        let kv = EtcdKv::open(cfg.kv.clone(), CallBudget::per_process());
        let started = StopSignals::listen().and_then(|s| Ok((s, Gateway::bind(cfg, Rc::new(kv))?)));
        match started {
            Ok((signals, gateway)) => {
                println!(
                    "listening addr={} admin={}",
                    gateway.addr(),
                    gateway.admin_addr()
                );
                let deadline = cfg.stop_deadline;
                daemon::stop_on_signal(signals, || gateway.stop(deadline)).await
            }
            Err(error) => {
                eprintln!("{}: {}: {error}", PROGRAM.name, cfg.listen);
                DaemonExit::CannotStart
            }
        }
    })
}
