//! The settings file of a machine changes to a grace that is not a whole number of seconds; later the machine is stopped
//! and started again as planned.
#![allow(dead_code)]

#[path = "../kit/config.rs"]
mod config;
#[path = "../kit/http.rs"]
mod http;
#[path = "../kit/json.rs"]
mod json;
#[path = "../kit/platform.rs"]
mod platform;
#[path = "../kit/record.rs"]
mod record;
#[path = "../kit/store.rs"]
mod store;
#[path = "../kit/worker.rs"]
mod worker;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use config::{HOST, Route, config};
use http::Conn;
use json::Json;
use platform::{Fields, Folder, Machine, free_ports, wait_ready};
use record::{Record, finish};
use store::Store;
use worker::Worker;

const SERVICE: &str = "siparis-app";

/// `recoverS` of the settings.
const RECOVER: Duration = Duration::from_secs(12);

/// Pause before a process that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

fn main() {
    let dir = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::new(Path::new(&dir));
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|v| v == "0");
    let code = match run(&record, has_trouble) {
        Ok(verdict) => finish(&record, verdict, 1),
        Err(why) => finish(&record, Err(format!("the case could not run: {why}")), 2),
    };
    std::process::exit(code);
}

fn run(record: &Record, has_trouble: bool) -> Result<Result<(), String>, String> {
    let folder = Folder::new("fireflywind-review");
    let store = Store::default();
    let work = Arc::new(|_: &http::Message| (200, String::new(), b"order accepted".to_vec()));
    let worker = Worker::start("i-app-0", SERVICE, "marmara-a", "127.0.3.1", record, work);
    worker.register(&store, "ready", 1);
    let routes = [Route::new("orders", "unsafe", SERVICE, 800)];
    store.put("op/config", &config(1, &routes, &[SERVICE]));

    let ip = "127.0.2.1";
    let ports = free_ports::<3>(ip);
    let addr = |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().expect("an address") };
    let (front, readiness) = (addr(ports[0]), addr(ports[1]));
    let mut fields = Fields::edge("edge-0", "marmara-a", ip, ports, store.listen("127.0.1.1"));
    let mut machine = Machine::new("gateway", &folder.0, "edge-0");
    machine.write_settings(&fields);
    machine.start();
    if !wait_ready(readiness, Duration::from_secs(10)) {
        return Err("the gateway is not ready".to_owned());
    }
    let before = (0..20)
        .filter(|n| is_served(record, front, &format!("a{n:07x}")))
        .count();
    if before < 20 {
        return Err(format!("only {before} of 20 orders were served before"));
    }

    if has_trouble {
        fields.set("bounds.graceS", Json::Number(7.5));
        machine.write_settings(&fields);
        record.add("the settings file has changed, graceS is 7.5");
    }
    machine.signal("HUP");
    record.add("SIGHUP");
    thread::sleep(Duration::from_secs(2));

    machine.signal("TERM");
    record.add("SIGTERM");
    let mut waited = Duration::ZERO;
    while machine.ended().is_none() && waited < Duration::from_secs(8) {
        thread::sleep(Duration::from_millis(50));
        waited += Duration::from_millis(50);
    }
    machine.kill();
    thread::sleep(RESTART_PAUSE);
    machine.start();
    record.add("the process is started again");

    // A process that ends is started again after a short pause.
    let (started, mut ends) = (record.now(), 0);
    while record.now() - started < RECOVER {
        if let Some(status) = machine.ended() {
            ends += 1;
            record.add(format!("the process has ended by itself: {status}"));
            machine.kill();
            thread::sleep(RESTART_PAUSE);
            machine.start();
        }
        thread::sleep(Duration::from_millis(20));
    }
    let after = (0..20)
        .filter(|n| is_served(record, front, &format!("b{n:07x}")))
        .count();
    record.add(format!(
        "{ends} ends, {after} of 20 orders served later than recoverS after the restart"
    ));
    Ok(if ends >= 3 {
        Err(format!(
            "Fault: the program does not start: it has ended by itself {ends} times, {after} of 20 orders were served afterwards"
        ))
    } else {
        Ok(())
    })
}

/// Sends one order on a channel of its own; returns whether it was answered with success.
fn is_served(record: &Record, front: SocketAddr, id: &str) -> bool {
    let answer = Conn::open(front, Duration::from_secs(1)).and_then(|mut conn| {
        conn.set_read_timeout(Duration::from_millis(2_500));
        let text = format!(
            "POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Fireflywind-Request-Id: {id}\r\nX-Fireflywind-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 5\r\n\r\norder"
        );
        conn.write(text.as_bytes())?;
        conn.read_message()
    });
    match answer {
        Ok(answer) => {
            record.add(format!("order {id} is answered {}", answer.status()));
            answer.status() == 200
        }
        Err(error) => {
            record.add(format!("order {id} is not answered: {error}"));
            false
        }
    }
}
