//! A worker is killed while it answers without a length.
//!
//! RULES, MIXED: "A client gets a success (2xx) [...] with a body that isn't the worker's whole body [...]. An answer that ends early
//! must not look complete."

use super::*;
use client::Attempt;
use deployment::{Deployment, WorkerSpec, Workers};
use record::Record;

const WORKERS: u32 = 6;
/// Time for which the crashed worker is away.
const AWAY_MS: u64 = 4_500;

pub fn main(args: &[String]) -> i32 {
    let Some(path) = args.first() else {
        return 2;
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    match run(Path::new(path), has_trouble) {
        Ok(is_broken) => i32::from(is_broken),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    }
}

fn run(path: &Path, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(path)?;
    let mut deployment = Deployment::open()?;
    let config = r#"{"version":7,"routes":[{"name":"r-1","host":"review.example","prefix":"/check/","type":"safe","timeoutMs":800,"goalMs":150,"priority":0,"service":"app","attempts":2,"public":false,"sticky":false},{"name":"r-2","host":"review.example","prefix":"/order/","type":"unsafe","timeoutMs":800,"goalMs":150,"priority":0,"service":"app","attempts":1,"public":false,"sticky":false}],"services":[{"name":"app","healthPath":"/healthz","maxConns":96,"proto":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1}]}"#;
    deployment.store.put("op/config", config);
    let on_line: Arc<dyn Fn(&str, &str) + Send + Sync> = {
        let record = record.clone();
        Arc::new(move |name: &str, line: &str| record.write(&format!("worker {name} {line}")))
    };
    let kill = Arc::new(AtomicBool::new(false));
    let mut workers = Workers::default();
    for n in 11..11 + WORKERS {
        let args = vec![
            "engine=0".to_owned(),
            "prefill=60".to_owned(),
            "unframed=1".to_owned(),
        ];
        let spec = WorkerSpec {
            name: format!("w{n}"),
            service: "app".to_owned(),
            addr: deployment.worker_addr(n)?,
            args,
            back_after: AWAY_MS,
            kill: if n == 11 {
                Arc::clone(&kill)
            } else {
                Arc::default()
            },
        };
        workers.keep(spec, &deployment.store, &record, &on_line);
    }
    let routers = [deployment.router(2)?, deployment.router(3)?];
    deployment::wait_until_ready(&routers)?;
    thread::sleep(ms(4_000));
    let listen: Vec<SocketAddr> = routers.iter().map(|r| r.listen).collect();
    let sending = Arc::new(AtomicBool::new(true));
    let cut = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for n in 0..12u64 {
        let (listen, sending, record, cut) = (
            listen.clone(),
            Arc::clone(&sending),
            record.clone(),
            Arc::clone(&cut),
        );
        clients.push(thread::spawn(move || {
            let mut count = 0u64;
            while sending.load(Ordering::Relaxed) {
                let id = format!("c{n:02}{count:06}");
                let is_order = n % 2 == 0;
                let attempt = Attempt {
                    method: if is_order { "POST" } else { "GET" },
                    path: if is_order { "/order/2f" } else { "/check/2f" },
                    id: &id,
                    key: "key-1",
                    deadline_ms: 1_500,
                    prompt: None,
                    body: if is_order {
                        format!("order {n} {count}").into_bytes()
                    } else {
                        Vec::new()
                    },
                };
                let answer = client::send(listen[(n + count) as usize % listen.len()], &attempt);
                let is_success = (200..300).contains(&answer.status) && answer.is_whole;
                let is_cut = is_success && answer.reason.as_bytes() != worker::long_body(&id);
                record.write(&format!(
                    "client {id} gets {} whole={} of {} bytes{}",
                    answer.status,
                    answer.is_whole,
                    answer.reason.len(),
                    if is_cut {
                        ", which are not the worker's whole body"
                    } else {
                        ""
                    }
                ));
                if is_cut {
                    cut.fetch_add(1, Ordering::Relaxed);
                }
                count += 1;
                thread::sleep(ms(20));
            }
        }));
    }
    thread::sleep(ms(3_000));
    kill.store(has_trouble, Ordering::Relaxed);
    thread::sleep(ms(7_000));
    sending.store(false, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let all_run = deployment.all_run();
    drop(workers);
    let cut = cut.load(Ordering::Relaxed);
    let text = format!(
        "{cut} clients got a complete 200 whose body is not the worker's whole body; none may"
    );
    record.write(&text);
    println!("{text}");
    Ok(cut > 0 || !all_run)
}
