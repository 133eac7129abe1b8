//! A request that crashes each worker that begins to run it comes again, with the same path, caller and body.
//!
//! RULES, BUDGET: "A request that crashes the workers that run it reaches workers in more than three retries, sent by machines in
//! touch later than `touchMs` after it has crashed the third."

use super::*;
use client::Attempt;
use deployment::{Deployment, WorkerSpec, Workers};
use record::Record;

const TOUCH_MS: u64 = 3_000;
const MAX_RETRIES: usize = 3;
const RUN_MS: u64 = 45_000;

/// Arrivals of the poisonous request at workers, and crashes, in milliseconds since the start.
#[derive(Default)]
struct Seen {
    arrivals: Vec<u64>,
    crashes: Vec<u64>,
}

pub fn main(args: &[String]) -> i32 {
    let Some(path) = args.first() else {
        return 2;
    };
    let option = |name: &str, default: &str| {
        args.iter()
            .find_map(|a| a.strip_prefix(name)?.strip_prefix('=').map(str::to_owned))
            .unwrap_or(default.to_owned())
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    match run(Path::new(path), &option, has_trouble) {
        Ok(is_broken) => i32::from(is_broken),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    }
}

fn run(path: &Path, option: &dyn Fn(&str, &str) -> String, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(path)?;
    let mut deployment = Deployment::open()?;
    let is_stream = option("kind", "stream") == "stream";
    let prefill = if is_stream { 700 } else { 30 };
    let has_early_head = option("head", "early") == "early";
    let config = format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"review.example","prefix":"/draft/","type":"{}","timeoutMs":15000,"goalMs":2000,"priority":0,"service":"pool","attempts":3,"public":false,"sticky":{is_stream},"resumable":{is_stream},"gapAimMs":1200}}],"services":[{{"name":"pool","healthPath":"/healthz","maxConns":230,"proto":"h1","tls":false{}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"tenant-1","apiKeys":["key-1"],"priority":1}}]}}"#,
        if is_stream { "stream" } else { "unsafe" },
        if is_stream {
            r#","engine":{"slots":32,"kvCapacity":604348,"kvTokenBytes":327680,"linkMbps":1500000.0,"models":[{"name":"m1","cost":0.3}]}"#
        } else {
            ""
        },
    );
    deployment.store.put("op/config", &config);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let on_line: Arc<dyn Fn(&str, &str) + Send + Sync> = {
        let (record, seen) = (record.clone(), Arc::clone(&seen));
        Arc::new(move |name: &str, line: &str| {
            record.write(&format!("worker {name} {line}"));
            let mut seen = seen.lock().unwrap();
            if line.starts_with("takes ") && line.ends_with(" poison") {
                seen.arrivals.push(record.now());
            }
            if line.starts_with("crashes ") {
                seen.crashes.push(record.now());
            }
        })
    };
    let mut workers = Workers::default();
    for n in 11..17 {
        let addr = deployment.worker_addr(n)?;
        let spec = WorkerSpec {
            name: format!("w{n}"),
            service: "pool".to_owned(),
            addr,
            args: vec![
                format!("engine={}", u8::from(is_stream)),
                format!("prefill={prefill}"),
                format!("early-head={}", u8::from(has_early_head)),
                format!("crash={}", u8::from(has_trouble)),
            ],
            back_after: 3_000,
            kill: Arc::default(),
        };
        workers.keep(spec, &deployment.store, &record, &on_line);
        if is_stream {
            deployment.beacon(n, addr)?;
        }
    }
    let routers = [deployment.router(2)?, deployment.router(3)?];
    deployment::wait_until_ready(&routers)?;
    // From here on, nothing but the workers is disturbed: both routers are in touch.
    thread::sleep(ms(4_000));
    let listen: Vec<SocketAddr> = routers.iter().map(|r| r.listen).collect();
    let sending = Arc::new(AtomicBool::new(true));
    let mut clients = Vec::new();
    for n in 0..6u64 {
        let (listen, sending, record) = (listen.clone(), Arc::clone(&sending), record.clone());
        clients.push(thread::spawn(move || {
            let mut count = 0u64;
            while sending.load(Ordering::Relaxed) {
                let id = format!("c{n:02}{count:06}");
                let prompt = format!("5c1e07a2:800,{:08x}:660", 0x1000 + n * 0x1000 + count);
                let body = format!("question {n} {count}");
                let answer = client::send(
                    listen[(n as usize + count as usize) % listen.len()],
                    &Attempt {
                        method: "POST",
                        path: "/draft/2f",
                        id: &id,
                        key: "key-1",
                        deadline_ms: 15_000,
                        prompt: is_stream.then_some(prompt.as_str()),
                        body: body.into_bytes(),
                    },
                );
                record.write(&format!(
                    "client {id} gets {} whole={}",
                    answer.status, answer.is_whole
                ));
                count += 1;
                thread::sleep(ms(150));
            }
        }));
    }
    thread::sleep(ms(4_000));
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < ms(RUN_MS) {
        let id = format!("p{count:08}");
        let query = if option("query", "0") == "1" {
            format!("?n={count}")
        } else {
            String::new()
        };
        let path = format!("/draft/7a{query}");
        record.write(&format!(
            "client sends the poisonous request as {id} to router {}",
            count % listen.len()
        ));
        let answer = client::send(
            listen[count % listen.len()],
            &Attempt {
                method: "POST",
                path: &path,
                id: &id,
                key: "key-1",
                deadline_ms: 15_000,
                prompt: is_stream.then_some("5c1e07a2:800,0badf00d:660"),
                body: b"poison".to_vec(),
            },
        );
        record.write(&format!(
            "client {id} gets {} whole={} {} {}",
            answer.status, answer.is_whole, answer.reason, answer.retry_after
        ));
        count += 1;
        thread::sleep(ms(4_000));
    }
    sending.store(false, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let all_run = deployment.all_run();
    drop(workers);
    if !all_run {
        record.write("a program of the project has ended by itself");
    }
    let seen = seen.lock().unwrap();
    let late = match seen.crashes.get(2) {
        Some(third) => seen
            .arrivals
            .iter()
            .filter(|at| **at > third + TOUCH_MS)
            .count(),
        None => 0,
    };
    let text = format!(
        "the poisonous request was sent {count} times by its client, reached workers {} times and crashed {}; later than {TOUCH_MS} ms \
         after the third crash it reached workers {late} times, at most {MAX_RETRIES} are allowed",
        seen.arrivals.len(),
        seen.crashes.len()
    );
    record.write(&text);
    println!("{text}");
    if std::env::var_os("KEEP_LOGS").is_some() {
        println!("logs: {}", deployment.log_dir().display());
    }
    Ok(late > MAX_RETRIES || !all_run)
}
