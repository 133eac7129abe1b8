//! Size of each kind of state, and control traffic of one link between a gateway and an agent.
//!
//! Sizes are those of the serialised form. For items of which a process keeps many in memory, the size is the
//! growth of this process's resident memory per item. Control traffic is counted between the built programs.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fireflywind::idempotency::{Attempt, CallDigest, Outcome, Record, RecordState};
use fireflywind::ids::{Incarnation, RequestId, VersionRef};
use fireflywind::ledger::{Charge, GatewayLedger, HeldCharges, Item};
use fireflywind::peer::{Link, PeerKey};
use fireflywind::rating::{Cell, EPOCH_LENGTH, Outcome as RatingOutcome, RatingTable, Reach};
use fireflywind::record::Ring;
use fireflywind::rollout::Evidence;
use fireflywind::session::{SessionKey, SessionKeys};
use fireflywind::sheet::parts::{PartKind, PartRef};
use fireflywind::stream::{AnswerBuffer, AttemptId, MAX_UNACKNOWLEDGED_BYTES};
use fireflywind::units::{Micros, Millis, Tokens};
use serde::Serialize;
use serde_json::{Value, json};

use super::deployment::{self, Deployment, PEER_KEY, Process, resident_bytes};
use super::load::{self, Load};
use super::report::{Report, Row};

/// Items that are created to measure the growth of resident memory.
const ITEMS: u32 = 20_000;

/// Numbers of agents of the two idle deployments.
const AGENTS: [usize; 2] = [2, 12];

/// Links that are opened to one agent to measure their memory.
const LINKS: u32 = 200;

/// Time for which an idle deployment is measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);

/// Configuration changes whose traffic is counted.
const CONFIGURATION_CHANGES: u32 = 5;

/// Time after a change within which its messages are exchanged.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Bytes of a stream event with one token.
const TOKEN_EVENT_BYTES: usize = 131;

/// Measures state and control traffic. Nothing is random, so it runs once, whatever the seeds.
pub fn state(_seeds: &[u64]) -> Report {
    let mut rows = serialised_sizes();
    rows.extend(memory_sizes());
    rows.extend(control_traffic());
    rows.extend(idle_costs());
    Report { rows }
}

fn row(figure: &str, value: f64) -> Row {
    Row::baseline(figure, vec![value])
}

fn as_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).expect("the number fits in 32 bits"))
}

fn json_bytes(value: &impl Serialize) -> f64 {
    let json = serde_json::to_vec(value).expect("the value has a JSON form");
    as_f64(json.len() as u64)
}

/// Returns the sizes of serialised items.
fn serialised_sizes() -> Vec<Row> {
    let entries = sample_entries();
    let part = PartRef {
        kind: PartKind::Account,
        id: "account-0001".to_owned(),
        sha256: "0"
            .repeat(64)
            .parse()
            .expect("64 hexadecimal digits are a digest"),
    };
    let keys = SessionKeys::new(vec![SessionKey::new("k1", PEER_KEY)]).expect("the key is valid");
    let token = keys.sign(
        &"account-0001".into(),
        &version(1),
        Millis(1_700_000_000_000),
        Millis(86_400_000),
    );
    let orphan = charge(1);
    let mut ledger = GatewayLedger::new(Incarnation(u128::MAX));
    let empty = checkpoint(&mut ledger, Millis(0));
    close(&mut ledger);
    let one_row = checkpoint(&mut ledger, Millis(60_000));
    let mut ratings = RatingTable::new(Incarnation(u128::MAX));
    let now = Millis(1_700_000_000_000);
    ratings.observe(
        &"class-01".into(),
        &version(1),
        Reach::First,
        RatingOutcome::Pass,
        now,
    );
    let one_cell = json_bytes(&ratings.report());
    ratings.observe(
        &"class-01".into(),
        &version(1),
        Reach::First,
        RatingOutcome::Pass,
        now + EPOCH_LENGTH,
    );
    let two_cells = json_bytes(&ratings.report());
    vec![
        row("sent: rating cell, bytes", two_cells - one_cell),
        row("stored: account, bytes", json_bytes(&entries["account"])),
        row(
            "stored: model with one version, bytes",
            json_bytes(&entries["model"]),
        ),
        row("stored: upstream, bytes", json_bytes(&entries["upstream"])),
        row(
            "stored: entry of a part in the root, bytes",
            json_bytes(&part),
        ),
        row(
            "session token at the caller, bytes",
            as_f64(token.len() as u64),
        ),
        row(
            "stored: idempotency record, intent, bytes",
            json_bytes(&idempotency_record(RecordState::Intent)),
        ),
        row(
            "stored: idempotency record, done, 200 bytes of body, bytes",
            json_bytes(&idempotency_record(done_state())),
        ),
        row("stored: charge as orphan, bytes", json_bytes(&orphan)),
        row("stored: checkpoint without rows, bytes", empty),
        row("stored: row of a checkpoint, bytes", one_row - empty),
        row(
            "stored: evidence of a roll-out, for each gateway, bytes",
            json_bytes(&Evidence::new(Incarnation(u128::MAX))),
        ),
    ]
}

fn sample_entries() -> Value {
    let allow: Vec<_> = (0..13).map(|n| version(n).to_string()).collect();
    let limits: Vec<_> = (0..10)
        .map(|n| json!({
            "class": format!("class-{n:02}"), "requests_per_s": 100, "tokens_per_min": 1_000_000,
            "concurrency": 64,
        }))
        .collect();
    json!({
        "account": {
            "id": "account-0001", "key_hashes": ["0".repeat(64)], "allow": allow,
            "services": ["orders", "stock", "library"], "limits": limits, "priority": "normal",
        },
        "model": {
            "id": "model-01",
            "versions": [{ "id": "v1", "state": "serving", "cost_per_1k": "0.1", "price_per_1k": "0.2" }],
        },
        "upstream": {
            "id": "engine-0001", "agent": "10.100.100.100:7000", "data_centre": "marmara-a",
            "serves": { "engine": { "versions": ["model-01/v1"], "slots": 64 } }, "checks_fencing": false,
        },
    })
}

fn version(n: u32) -> VersionRef {
    VersionRef::new(&format!("model-{n:02}"), "v1")
}

fn request(seq: u64) -> RequestId {
    RequestId {
        gateway: Incarnation(u128::MAX),
        seq,
    }
}

fn charge(seq: u64) -> Charge {
    Charge {
        request: request(seq),
        step: 0,
        attempt: 0,
        account: "account-0001".into(),
        item: Item::Tokens {
            version: version(1),
            input: Tokens(1_000),
            output: Tokens(387),
        },
        amount: Micros(277),
    }
}

fn close(ledger: &mut GatewayLedger) {
    let mut charge = charge(1);
    charge.request = ledger.open_request();
    ledger
        .close(charge.request, Some(charge))
        .expect("the request is open");
}

fn checkpoint(ledger: &mut GatewayLedger, now: Millis) -> f64 {
    // A first checkpoint needs a closed request; one without a charge adds no row.
    let uncharged = ledger.open_request();
    ledger.close(uncharged, None).expect("the request is open");
    let due = ledger.flush(now).expect("a checkpoint is due");
    let number = due.number;
    ledger.on_flushed(
        number,
        fireflywind::ledger::FlushResult::Applied(number),
        now,
    );
    json_bytes(&due)
}

fn idempotency_record(state: RecordState) -> Record {
    Record {
        digest: CallDigest::of("POST", "/orders", b"{}"),
        by: Attempt {
            agent: Incarnation(u128::MAX),
            call: 1,
            request: request(1),
            attempt: 0,
        },
        started_at: Millis(1_700_000_000_000),
        state,
    }
}

fn done_state() -> RecordState {
    let charge = serde_json::to_value(charge(1)).expect("a charge has a JSON form");
    let body = Bytes::from(vec![b'x'; 200]);
    RecordState::Done(Outcome::new(
        200,
        Some("application/json".to_owned()),
        body,
        charge,
    ))
}

/// Measures the sizes of items in memory.
fn memory_sizes() -> Vec<Row> {
    let source = Incarnation(1);
    let held = memory_growth(|| {
        let mut held = HeldCharges::new(source);
        (1..=u64::from(ITEMS)).for_each(|seq| held.hold(charge(seq), Millis(0)));
        held
    });
    let buffers = memory_growth(|| {
        let answer = |seq| {
            let source = AttemptId {
                request: request(seq),
                attempt: 0,
            };
            let mut answer = AnswerBuffer::open(source, MAX_UNACKNOWLEDGED_BYTES, Millis(0));
            assert_eq!(answer.append(&[b'x'; TOKEN_EVENT_BYTES]), TOKEN_EVENT_BYTES);
            answer
        };
        (1..=u64::from(ITEMS)).map(answer).collect::<Vec<_>>()
    });
    vec![
        row("memory: copy of a charge at the agent, bytes", held),
        row("memory: kept answer with one unread token, bytes", buffers),
        row(
            "memory: rating cell, bytes",
            as_f64(size_of::<Cell>() as u64),
        ),
        row(
            "memory: bound of all explanation records at a gateway, MB",
            8.0,
        ),
    ]
}

/// Returns the growth of resident memory per item, where `make` creates `ITEMS` of them.
fn memory_growth<T>(make: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes("self");
    let items = make();
    let after = resident_bytes("self");
    drop(items);
    (after - before) / f64::from(ITEMS)
}

/// Bytes and reads of a link, over both directions.
#[derive(Debug, Default)]
struct TrafficCounter {
    bytes: AtomicU64,
    reads: AtomicU64,
}

impl TrafficCounter {
    fn now(&self) -> [f64; 2] {
        [&self.bytes, &self.reads].map(|n| as_f64(n.load(Ordering::Relaxed)))
    }
}

/// Starts a TCP proxy that counts what it forwards, and returns its address.
fn start_counting_proxy(to: SocketAddr, counter: &Arc<TrafficCounter>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let addr = listener.local_addr().expect("the listener has an address");
    let counter = Arc::clone(counter);
    thread::spawn(move || {
        for from in listener.incoming().flatten() {
            let Ok(to) = TcpStream::connect(to) else {
                continue;
            };
            for (from, to) in [(&from, &to), (&to, &from)] {
                let from = from.try_clone().expect("the socket can be shared");
                let to = to.try_clone().expect("the socket can be shared");
                let counter = Arc::clone(&counter);
                thread::spawn(move || forward_and_count(from, to, &counter));
            }
        }
    });
    addr
}

fn forward_and_count(mut from: TcpStream, mut to: TcpStream, counter: &TrafficCounter) {
    use std::io::{Read as _, Write as _};

    let mut buf = vec![0; 64 << 10];
    while let Ok(read @ 1..) = from.read(&mut buf) {
        counter.bytes.fetch_add(read as u64, Ordering::Relaxed);
        counter.reads.fetch_add(1, Ordering::Relaxed);
        if to.write_all(&buf[..read]).is_err() {
            return;
        }
    }
}

/// Measures the control traffic and memory of a link, and the size of an explanation record.
fn control_traffic() -> Vec<Row> {
    let mut deployment = Deployment::start(1, 0);
    let agent = deployment.agents[0].addr;
    let counter = Arc::new(TrafficCounter::default());
    deployment.agents[0].addr = start_counting_proxy(deployment.agents[0].addr, &counter);
    deployment.apply(0, 30);
    thread::sleep(SETTLE_TIME);
    let [bytes, reads, seconds] = count_during(&counter, || thread::sleep(MEASUREMENT_TIME));
    let idle = [bytes / seconds, reads / seconds];
    let [bytes, reads, seconds] = count_during(&counter, || {
        for change in 0..CONFIGURATION_CHANGES {
            deployment.apply(0, 31 + change);
            thread::sleep(SETTLE_TIME);
        }
    });
    let change_count = f64::from(CONFIGURATION_CHANGES);
    let mut rows = vec![
        row("link at rest: bytes a second, both directions", idle[0]),
        row("link at rest: messages a second, both directions", idle[1]),
        row(
            "link: bytes for each configuration change",
            (bytes - idle[0] * seconds) / change_count,
        ),
        row(
            "link: messages for each configuration change",
            (reads - idle[1] * seconds) / change_count,
        ),
    ];
    rows.push(row(
        "explanation record of a cascade of 3 steps, bytes",
        mean_record_bytes(&deployment),
    ));
    rows.extend(link_memory(&deployment, agent));
    rows
}

fn count_during(counter: &TrafficCounter, act: impl FnOnce()) -> [f64; 3] {
    let (before, start) = (counter.now(), Instant::now());
    act();
    let after = counter.now();
    [
        after[0] - before[0],
        after[1] - before[1],
        start.elapsed().as_secs_f64(),
    ]
}

/// Returns the mean size of the explanation records of a few requests.
fn mean_record_bytes(deployment: &Deployment) -> f64 {
    let load = Load {
        tokens: 4,
        rate: 20,
        requests: 20,
    };
    actix_rt::System::new().block_on(load::run(load, deployment.gateway.addr, &[]));
    let admin = deployment
        .gateway
        .admin
        .expect("a gateway has an admin listener");
    let lines = deployment::get(admin, "/records");
    let records: Vec<_> = lines
        .split(|b| *b == b'\n')
        .filter(|line| !line.is_empty())
        .collect();
    let mut ring = Ring::new(1 << 20);
    let pushed: usize = records
        .iter()
        .map(|line| {
            ring.push(&serde_json::from_slice(line).expect("a line is a record"))
                .len()
        })
        .sum();
    as_f64(pushed as u64) / as_f64(records.len().max(1) as u64)
}

/// Opens many links to the agent and returns the memory of each at both ends.
fn link_memory(deployment: &Deployment, addr: SocketAddr) -> [Row; 2] {
    let key = PeerKey::new(PEER_KEY.as_bytes()).expect("the key is long enough");
    let growth = actix_rt::System::new().block_on(async {
        let before = [
            resident_bytes("self"),
            deployment.agents[0].resident_bytes(),
        ];
        let mut links = Vec::new();
        for _ in 0..LINKS {
            let link = Link::connect(addr, &key, Millis(3_000)).await;
            links.push(link.expect("the agent accepts the link"));
        }
        let after = [
            resident_bytes("self"),
            deployment.agents[0].resident_bytes(),
        ];
        drop(links);
        [0, 1].map(|index| (after[index] - before[index]) / f64::from(LINKS))
    });
    [
        row("memory: link at the gateway's end, bytes", growth[0]),
        row("memory: link at the agent's end, bytes", growth[1]),
    ]
}

/// Fits the costs of an idle deployment to its number of agents: a constant part and one per agent.
fn idle_costs() -> Vec<Row> {
    let [few, many] = AGENTS.map(measure_idle);
    let added_agents = as_f64((AGENTS[1] - AGENTS[0]) as u64);
    let slope = |index: usize| (many[index] - few[index]) / added_agents;
    let constant = |index: usize| few[index] - slope(index) * as_f64(AGENTS[0] as u64);
    vec![
        row(
            "gateway at rest: time of itself, microseconds a second",
            constant(0) * 1e6,
        ),
        row(
            "gateway at rest: time of a link, microseconds a second",
            slope(0) * 1e6,
        ),
        row(
            "agent at rest, one link: time, microseconds a second",
            many[1] * 1e6,
        ),
        row(
            "gateway at rest: resident memory without links, MB",
            constant(2) / 1e6,
        ),
        row(
            "gateway at rest: resident memory of a link, bytes",
            slope(2),
        ),
        row(
            "agent at rest, one link: resident memory, MB",
            many[3] / 1e6,
        ),
        row(
            "key-value service at rest: calls a second of a gateway",
            constant(4),
        ),
        row(
            "key-value service at rest: calls a second of an agent",
            slope(4),
        ),
    ]
}

/// Returns the processor time per second of an idle gateway and one idle agent, the resident memory of both, and
/// the calls per second to the key-value service.
fn measure_idle(agents: usize) -> [f64; 5] {
    let deployment = Deployment::start(agents, 0);
    deployment.apply(0, 30);
    thread::sleep(SETTLE_TIME);
    let now = || {
        let (gateway, agent) = (&deployment.gateway, &deployment.agents[0]);
        [
            gateway.processor_time(),
            agent.processor_time(),
            deployment.store_calls(),
        ]
    };
    let (before, start) = (now(), Instant::now());
    thread::sleep(MEASUREMENT_TIME);
    let (after, seconds) = (now(), start.elapsed().as_secs_f64());
    let [gateway, agent, calls] = [0, 1, 2].map(|index| (after[index] - before[index]) / seconds);
    let resident = [&deployment.gateway, &deployment.agents[0]].map(Process::resident_bytes);
    [gateway, agent, resident[0], resident[1], calls]
}
