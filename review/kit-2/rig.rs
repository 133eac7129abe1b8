//! Stand-ins for the platform of `fireflywind-router`: the store with the operator, workers and clients.
//!
//! Only the standard library is used, so `rustc` builds this file without a network. A scenario runs the project's own programs
//! and each worker as separate processes, on loopback addresses of their own: 127.77.R.N, with R drawn for each run.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod client;
mod cut;
mod deployment;
mod http;
mod json;
mod odd;
mod poison;
mod record;
mod store;
mod twins;
mod worker;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let code = match args.get(1).map(String::as_str) {
        Some("worker") => worker::main(&args[2..]),
        Some("poison") => poison::main(&args[2..]),
        Some("cut") => cut::main(&args[2..]),
        Some("twins") => twins::main(&args[2..]),
        Some("odd") => odd::main(&args[2..]),
        _ => {
            eprintln!(
                "usage: rig worker ... | rig poison RECORD ... | rig odd RECORD | rig twins RECORD | rig cut RECORD"
            );
            2
        }
    };
    std::process::exit(code);
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
