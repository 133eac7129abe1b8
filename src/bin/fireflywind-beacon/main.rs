//! Sends gateways the load of the model engine that it runs beside.

use std::process::ExitCode;

use fireflywind::beacon::sender::Sender;
use fireflywind::daemon::exit_codes::DaemonExit;
use fireflywind::daemon::reload::Reloader;
use fireflywind::daemon::{self, StopSignals};
use fireflywind::platform::settings::{BeaconSettings, load};

const NAME: &str = "fireflywind-beacon";

fn main() -> ExitCode {
    daemon::run_on_platform(NAME, load, run)
}

async fn run(cfg: &BeaconSettings, signals: StopSignals, reloader: Reloader) -> DaemonExit {
    // Changed addresses take effect at the next start; the platform restarts a process that ends.
    actix_rt::spawn(reloader.run(cfg.clone(), load, |_: &BeaconSettings| {}));
    match Sender::bind(cfg.listen, cfg.upstream).await {
        Ok(sender) => {
            log::info!(event = "start", name:% = cfg.name, version = env!("CARGO_PKG_VERSION"),
                upstream:% = cfg.upstream; "");
            let stop = async || {
                sender.stop();
                true
            };
            daemon::stop_on_signal(signals, stop).await
        }
        Err(error) => {
            eprintln!("{NAME}: {}: {error}", cfg.listen);
            DaemonExit::CannotStart
        }
    }
}
