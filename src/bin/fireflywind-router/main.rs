//! Gateway for deployments whose platform stores configuration and membership; connects directly to upstreams.

use std::process::ExitCode;
use std::rc::Rc;

use fireflywind::beacon::receiver::Receiver;
use fireflywind::daemon::exit_codes::DaemonExit;
use fireflywind::daemon::reload::Reloader;
use fireflywind::daemon::{self, StopSignals};
use fireflywind::forward::gateway::{Addresses, Gateway};
use fireflywind::forward::shared::Shared;
use fireflywind::platform::settings::{GatewaySettings, load};
use fireflywind::platform::store::Store;

const NAME: &str = "fireflywind-router";

fn main() -> ExitCode {
    daemon::run_on_platform(NAME, load, run)
}

async fn run(cfg: &GatewaySettings, signals: StopSignals, reloader: Reloader) -> DaemonExit {
    let store = Rc::new(Store::open(cfg.store));
    let shared = Shared::open(cfg.policy(), Box::new(Rc::clone(&store)));
    let target = Rc::clone(&shared);
    let apply = move |cfg: &GatewaySettings| {
        store.set_addr(cfg.store);
        target.set_policy(cfg.policy());
    };
    actix_rt::spawn(reloader.run(cfg.clone(), load, apply));
    let addresses = Addresses {
        listen: cfg.listen,
        ready: cfg.ready,
        admin: cfg.admin,
    };
    let receiver = match Receiver::bind(cfg.loads, cfg.beacon_port).await {
        Ok(receiver) => receiver,
        Err(error) => {
            eprintln!("{NAME}: {}: {error}", cfg.loads);
            return DaemonExit::CannotStart;
        }
    };
    actix_rt::spawn(receiver.run(Rc::clone(&shared)));
    match Gateway::bind(shared, addresses) {
        Ok(gateway) => {
            log::info!(event = "start", name:% = cfg.name, version = env!("CARGO_PKG_VERSION"),
                listen:% = gateway.addresses().listen,
                ready:% = gateway.addresses().ready, admin:% = gateway.addresses().admin, data_centre:% = cfg.data_centre; "");
            daemon::stop_on_signal(signals, || gateway.stop()).await
        }
        Err(error) => {
            eprintln!("{NAME}: {}: {error}", cfg.listen);
            DaemonExit::CannotStart
        }
    }
}
