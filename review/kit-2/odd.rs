//! Another writer puts an entry below `servers/` in which fields are missing; what listens at its address is no worker.
//!
//! RULES, DENIED: "More than 5 + one in 500 of all requests are ended with a 3xx or 4xx of your own (other than 408, 421, 429) though
//! they are proper and every configuration that may be in force allows them, by machines in touch."

use super::*;
use client::Attempt;
use deployment::{Deployment, WorkerSpec, Workers};
use record::Record;

const RUN_MS: u64 = 15_000;

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

/// Serves connections as a program does that knows none of the paths.
fn serve_foreign(stream: TcpStream, record: &Record) -> io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(mut req) = http::read_head(&mut reader)? {
        http::read_body(&mut reader, &mut req)?;
        let id = req.field("X-Fireflywind-Request-Id").unwrap_or("-");
        record.write(&format!(
            "the other writer's program gets {} {}, request {id}",
            req.word(0),
            req.word(1)
        ));
        http::answer(&mut out, 404, "Content-Type: text/plain\r\n", b"not found")?;
    }
    Ok(())
}

fn run(path: &Path, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(path)?;
    let mut deployment = Deployment::open()?;
    let config = r#"{"version":7,"routes":[{"name":"r-1","host":"review.example","prefix":"/order/","type":"unsafe","timeoutMs":800,"goalMs":150,"priority":0,"service":"orders","attempts":1,"public":false,"sticky":false}],"services":[{"name":"orders","healthPath":"/healthz","maxConns":96,"proto":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1}]}"#;
    deployment.store.put("op/config", config);
    let on_line: Arc<dyn Fn(&str, &str) + Send + Sync> = {
        let record = record.clone();
        Arc::new(move |name: &str, line: &str| record.write(&format!("worker {name} {line}")))
    };
    let mut workers = Workers::default();
    for n in 11..15 {
        let spec = WorkerSpec {
            name: format!("w{n}"),
            service: "orders".to_owned(),
            addr: deployment.worker_addr(n)?,
            args: vec!["engine=0".to_owned(), "prefill=30".to_owned()],
            back_after: 3_000,
            kill: Arc::default(),
        };
        workers.keep(spec, &deployment.store, &record, &on_line);
    }
    let foreign = TcpListener::bind((deployment.ip(20).as_str(), 0))?;
    let foreign_addr = foreign.local_addr()?;
    let foreign_record = record.clone();
    thread::spawn(move || {
        for stream in foreign.incoming().flatten() {
            let record = foreign_record.clone();
            thread::spawn(move || {
                let _ = serve_foreign(stream, &record);
            });
        }
    });
    let routers = [deployment.router(2)?, deployment.router(3)?];
    deployment::wait_until_ready(&routers)?;
    if has_trouble {
        // Without `coldLeftMs`, `seq` and `born`.
        let entry = format!(
            r#"{{"service":"orders","addr":"{foreign_addr}","zone":"zone-a","version":"v1","slots":32,"state":"ready"}}"#
        );
        deployment.store.put("servers/order-monitor", &entry);
        record.write(&format!(
            "another writer writes servers/order-monitor: {entry}"
        ));
    }
    // Nothing else is disturbed: both routers are in touch from here on.
    thread::sleep(ms(4_000));
    let listen: Vec<SocketAddr> = routers.iter().map(|r| r.listen).collect();
    let sending = Arc::new(AtomicBool::new(true));
    let (all, denied) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for n in 0..4u64 {
        let (listen, sending, record) = (listen.clone(), Arc::clone(&sending), record.clone());
        let (all, denied) = (Arc::clone(&all), Arc::clone(&denied));
        clients.push(thread::spawn(move || {
            let mut count = 0u64;
            while sending.load(Ordering::Relaxed) {
                let id = format!("c{n:02}{count:06}");
                let attempt = Attempt {
                    method: "POST",
                    path: "/order/2f",
                    id: &id,
                    key: "key-1",
                    deadline_ms: 1_500,
                    prompt: None,
                    body: format!("order {n} {count}").into_bytes(),
                };
                let answer = client::send(listen[(n + count) as usize % listen.len()], &attempt);
                record.write(&format!(
                    "client {id} gets {} {}",
                    answer.status, answer.reason
                ));
                all.fetch_add(1, Ordering::Relaxed);
                let is_refusal = (300..500).contains(&answer.status)
                    && ![408, 421, 429].contains(&answer.status);
                denied.fetch_add(
                    u64::from(is_refusal && !answer.has_stamp),
                    Ordering::Relaxed,
                );
                count += 1;
                thread::sleep(ms(60));
            }
        }));
    }
    thread::sleep(ms(RUN_MS));
    sending.store(false, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let all_run = deployment.all_run();
    drop(workers);
    let (all, denied) = (all.load(Ordering::Relaxed), denied.load(Ordering::Relaxed));
    let allowed = 5 + all / 500;
    let text = format!("{denied} of {all} orders were ended with a 4xx without a worker's stamp; at most {allowed} may");
    record.write(&text);
    println!("{text}");
    Ok(denied > allowed || !all_run)
}
