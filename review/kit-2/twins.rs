//! Two requests that crash each worker that begins to run them come again, each with the same path, caller and body.
//!
//! RULES, BUDGET: "A request that crashes the workers that run it reaches workers in more than three retries, sent by machines in
//! touch later than `touchMs` after it has crashed the third."

use super::*;
use client::Attempt;
use deployment::{Deployment, WorkerSpec, Workers};
use record::Record;

const TOUCH_MS: u64 = 3_000;
const MAX_RETRIES: usize = 3;
const WORKERS: u32 = 12;
/// When the clients stop, since the start of the script.
const END_MS: u64 = 35_000;
/// Clients that send many orders at once for a time, before the first crash.
const BURST_CLIENTS: usize = 300;
const BURST_MS: u64 = 1_500;
/// Time between two comings of a request, before its third crash and later.
const PAUSE_MS: [u64; 2] = [150, 1_000];

/// Arrivals at workers, and crashes, of one request, in milliseconds since the start.
#[derive(Default, Clone)]
struct Seen {
    arrivals: Vec<u64>,
    crashes: Vec<u64>,
}

impl Seen {
    fn late(&self) -> usize {
        let third = self.crashes.get(2).copied();
        third.map_or(0, |third| {
            self.arrivals
                .iter()
                .filter(|at| **at > third + TOUCH_MS)
                .count()
        })
    }
}

pub fn main(args: &[String]) -> i32 {
    let Some(path) = args.first() else {
        return 2;
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let alone = args.iter().any(|a| a == "alone");
    match run(Path::new(path), alone, has_trouble) {
        Ok(is_broken) => i32::from(is_broken),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    }
}

fn run(path: &Path, alone: bool, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(path)?;
    let mut deployment = Deployment::open()?;
    let config = r#"{"version":7,"routes":[{"name":"r-1","host":"review.example","prefix":"/order/","type":"unsafe","timeoutMs":800,"goalMs":150,"priority":0,"service":"orders","attempts":1,"public":false,"sticky":false}],"services":[{"name":"orders","healthPath":"/healthz","maxConns":96,"proto":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1}]}"#;
    deployment.store.put("op/config", config);
    let seen: Arc<Mutex<[Seen; 2]>> = Arc::default();
    let on_line: Arc<dyn Fn(&str, &str) + Send + Sync> = {
        let (record, seen) = (record.clone(), Arc::clone(&seen));
        Arc::new(move |name: &str, line: &str| {
            record.write(&format!("worker {name} {line}"));
            // Ids of the two requests begin with `a` and `b`.
            let which = match line.split(' ').nth(1).and_then(|id| id.chars().next()) {
                Some('a') => 0,
                Some('b') => 1,
                _ => return,
            };
            let seen = &mut seen.lock().unwrap()[which];
            if line.starts_with("takes ") {
                seen.arrivals.push(record.now());
            }
            if line.starts_with("crashes ") {
                seen.crashes.push(record.now());
            }
        })
    };
    let mut workers = Workers::default();
    for n in 11..11 + WORKERS {
        let spec = WorkerSpec {
            name: format!("w{n}"),
            service: "orders".to_owned(),
            addr: deployment.worker_addr(n)?,
            args: vec![
                "engine=0".to_owned(),
                "prefill=30".to_owned(),
                format!("crash={}", u8::from(has_trouble)),
            ],
            back_after: 3_000,
            kill: Arc::default(),
        };
        workers.keep(spec, &deployment.store, &record, &on_line);
    }
    // One alone comes to the four entry machines of the site.
    let (router_count, client_count) = if alone { (4, 2) } else { (3, 4) };
    let routers = (2..2 + router_count)
        .map(|n| deployment.router(n))
        .collect::<io::Result<Vec<_>>>()?;
    deployment::wait_until_ready(&routers)?;
    // All routers are in touch from here on; nothing but the workers is disturbed.
    thread::sleep(ms(4_000));
    let listen: Vec<SocketAddr> = routers.iter().map(|r| r.listen).collect();
    let sending = Arc::new(AtomicBool::new(true));
    let mut clients = Vec::new();
    for n in 0..client_count {
        let (listen, sending, record) = (listen.clone(), Arc::clone(&sending), record.clone());
        clients.push(thread::spawn(move || {
            let mut count = 0u64;
            while sending.load(Ordering::Relaxed) {
                let id = format!("c{n:02}{count:06}");
                let body = format!("order {n} {count}").into_bytes();
                let answer = order(
                    listen[(n + count) as usize % listen.len()],
                    &id,
                    "/order/2f",
                    body,
                );
                record.write(&format!(
                    "client {id} gets {} {}",
                    answer.status, answer.reason
                ));
                count += 1;
                thread::sleep(ms(100));
            }
        }));
    }
    if alone {
        // Many orders at once leave kept connections at the workers.
        let burst = (0..BURST_CLIENTS).map(|n| {
            let (listen, record, until) = (
                listen.clone(),
                record.clone(),
                Instant::now() + ms(BURST_MS),
            );
            thread::spawn(move || {
                for count in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("d{n:02}{count:06}");
                    let answer = order(
                        listen[(n + count) % listen.len()],
                        &id,
                        "/order/2f",
                        id.clone().into_bytes(),
                    );
                    record.write(&format!(
                        "client {id} gets {} {}",
                        answer.status, answer.reason
                    ));
                }
            })
        });
        for client in burst.collect::<Vec<_>>() {
            let _ = client.join();
        }
    }
    thread::sleep(ms(1_500));
    let requests: &[&str] = if alone { &["a"] } else { &["a", "b"] };
    let mut senders = Vec::new();
    for (which, name) in requests.iter().copied().enumerate() {
        let (listen, record, seen) = (listen.clone(), record.clone(), Arc::clone(&seen));
        senders.push(thread::spawn(move || {
            let mut count = 0;
            let mut come = |to: SocketAddr| {
                let id = format!("{name}{count:08}");
                count += 1;
                let answer = order(to, &id, &format!("/order/{name}"), b"poison".to_vec());
                record.write(&format!(
                    "client {id} gets {} {} {}",
                    answer.status, answer.reason, answer.retry_after
                ));
            };
            let third = || seen.lock().unwrap()[which].crashes.get(2).copied();
            for n in 0.. {
                if third().is_some() || record.now() >= END_MS {
                    break;
                }
                come(listen[n % listen.len()]);
                thread::sleep(ms(PAUSE_MS[0]));
            }
            // What comes up to this time is not counted.
            while third().is_some_and(|third| record.now() <= third + TOUCH_MS + 100) {
                thread::sleep(ms(20));
            }
            for to in &listen {
                come(*to);
                come(*to);
            }
            while record.now() < END_MS {
                thread::sleep(ms(PAUSE_MS[1]));
                listen.iter().for_each(|to| come(*to));
            }
        }));
    }
    for sender in senders {
        let _ = sender.join();
    }
    sending.store(false, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let all_run = deployment.all_run();
    drop(workers);
    let seen = seen.lock().unwrap();
    for (name, seen) in ["a", "b"].into_iter().zip(seen.iter()) {
        let text = format!(
            "request {name} reached workers {} times and crashed {}; later than {TOUCH_MS} ms after the third crash it reached workers {} \
             times, at most {MAX_RETRIES} are allowed; crashes at {:?} ms",
            seen.arrivals.len(),
            seen.crashes.len(),
            seen.late(),
            seen.crashes
        );
        record.write(&text);
        println!("{text}");
    }
    Ok(seen.iter().any(|s| s.late() > MAX_RETRIES) || !all_run)
}

fn order(to: SocketAddr, id: &str, path: &str, body: Vec<u8>) -> client::Answer {
    let attempt = Attempt {
        method: "POST",
        path,
        id,
        key: "key-1",
        deadline_ms: 1_500,
        prompt: None,
        body,
    };
    client::send(to, &attempt)
}
