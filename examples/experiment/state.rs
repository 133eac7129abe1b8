//! Bytes of state for each item, and control traffic of one link between a gateway and an agent.
//!
//! Sizes are those of the serialised form and, where items are kept in memory in numbers, the growth of this
//! process's resident memory for many of them. Control traffic is counted between the real programs.

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
use fireflywind::rating::{Cell, EPOCH, Outcome as Rated, RatingTable, Reach};
use fireflywind::record::Ring;
use fireflywind::rollout::Evidence;
use fireflywind::session::{SessionKey, SessionKeys};
use fireflywind::sheet::parts::{PartKind, PartRef};
use fireflywind::stream::{AnswerBuffer, AttemptId, MAX_UNACKNOWLEDGED_BYTES};
use fireflywind::units::{Micros, Millis, Tokens};
use serde::Serialize;
use serde_json::{Value, json};

use super::load::{self, Load};
use super::report::{Report, Row};
use super::site::{self, PEER_KEY, Process, Site, resident_bytes};

/// Items that are made for the growth of resident memory.
const ITEMS: u32 = 20_000;

/// Agents of the two sites at rest.
const AGENTS: [usize; 2] = [2, 12];

/// Links that are opened to one agent.
const LINKS: u32 = 200;

/// Time over which control traffic is counted.
const COUNTED: Duration = Duration::from_secs(10);

/// Configuration changes over which their traffic is counted.
const CHANGES: u32 = 5;

/// Time after a change in which its messages are exchanged.
const SETTLED: Duration = Duration::from_secs(2);

/// Bytes of one token as an event of a stream.
const TOKEN_EVENT_BYTES: usize = 131;

/// Measures state and control traffic; it draws nothing, so it runs once.
pub fn state(_seeds: &[u64]) -> Report {
    let mut rows = sizes();
    rows.extend(memory());
    rows.extend(traffic());
    rows.extend(rest());
    Report { rows }
}

fn row(figure: &str, value: f64) -> Row {
    Row::baseline(figure, vec![value])
}

fn float(n: u64) -> f64 {
    f64::from(u32::try_from(n).expect("the number is small"))
}

fn json_bytes(value: &impl Serialize) -> f64 {
    let json = serde_json::to_vec(value).expect("the value has a JSON form");
    float(json.len() as u64)
}

/// Sizes of stored forms.
fn sizes() -> Vec<Row> {
    let sheet = document();
    let part = PartRef {
        kind: PartKind::Account,
        id: "account-0001".to_owned(),
        sha256: "0".repeat(64).parse().expect("it is a digest"),
    };
    let keys = SessionKeys::new(vec![SessionKey::new("k1", PEER_KEY)]).expect("the key is valid");
    let token = keys.sign(
        &"account-0001".into(),
        &version(1),
        Millis(1_700_000_000_000),
        Millis(86_400_000),
    );
    let first = charge(1);
    let mut ledger = GatewayLedger::new(Incarnation(u128::MAX));
    let empty = checkpoint(&mut ledger, Millis(0));
    close(&mut ledger);
    let one = checkpoint(&mut ledger, Millis(60_000));
    let mut ratings = RatingTable::new(Incarnation(u128::MAX));
    let now = Millis(1_700_000_000_000);
    ratings.observe(
        &"class-01".into(),
        &version(1),
        Reach::First,
        Rated::Pass,
        now,
    );
    let one_cell = json_bytes(&ratings.report());
    ratings.observe(
        &"class-01".into(),
        &version(1),
        Reach::First,
        Rated::Pass,
        now + EPOCH,
    );
    let two_cells = json_bytes(&ratings.report());
    vec![
        row("sent: rating cell, bytes", two_cells - one_cell),
        row("stored: account, bytes", json_bytes(&sheet["account"])),
        row(
            "stored: model with one version, bytes",
            json_bytes(&sheet["model"]),
        ),
        row("stored: upstream, bytes", json_bytes(&sheet["upstream"])),
        row(
            "stored: entry of a part in the root, bytes",
            json_bytes(&part),
        ),
        row(
            "session token at the caller, bytes",
            float(token.len() as u64),
        ),
        row(
            "stored: idempotency record, intent, bytes",
            json_bytes(&keyed(RecordState::Intent)),
        ),
        row(
            "stored: idempotency record, done, 200 bytes of body, bytes",
            json_bytes(&keyed(done())),
        ),
        row("stored: charge as orphan, bytes", json_bytes(&first)),
        row("stored: checkpoint without rows, bytes", empty),
        row("stored: row of a checkpoint, bytes", one - empty),
        row(
            "stored: evidence of a roll-out, for each gateway, bytes",
            json_bytes(&Evidence::new(Incarnation(u128::MAX))),
        ),
    ]
}

fn document() -> Value {
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
    // A first checkpoint needs a closed request; a free one adds no row.
    let free = ledger.open_request();
    ledger.close(free, None).expect("the request is open");
    let due = ledger.flush(now).expect("a checkpoint is due");
    let number = due.number;
    ledger.on_flushed(
        number,
        fireflywind::ledger::FlushResult::Applied(number),
        now,
    );
    json_bytes(&due)
}

fn keyed(state: RecordState) -> Record {
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

fn done() -> RecordState {
    let charge = serde_json::to_value(charge(1)).expect("a charge has a JSON form");
    let body = Bytes::from(vec![b'x'; 200]);
    RecordState::Done(Outcome::new(
        200,
        Some("application/json".to_owned()),
        body,
        charge,
    ))
}

/// Growth of resident memory for each of many items.
fn memory() -> Vec<Row> {
    let source = Incarnation(1);
    let held = grown(|| {
        let mut held = HeldCharges::new(source);
        (1..=u64::from(ITEMS)).for_each(|seq| held.hold(charge(seq), Millis(0)));
        held
    });
    let kept = grown(|| {
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
        row("memory: kept answer with one unread token, bytes", kept),
        row(
            "memory: rating cell, bytes",
            float(size_of::<Cell>() as u64),
        ),
        row(
            "memory: bound of all explanation records at a gateway, MB",
            8.0,
        ),
    ]
}

/// Returns the growth of resident memory for each item of `make`.
fn grown<T>(make: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes("self");
    let items = make();
    let after = resident_bytes("self");
    drop(items);
    (after - before) / f64::from(ITEMS)
}

/// Bytes and reads of both directions of a link.
#[derive(Debug, Default)]
struct Counted {
    bytes: AtomicU64,
    reads: AtomicU64,
}

impl Counted {
    fn now(&self) -> [f64; 2] {
        [&self.bytes, &self.reads].map(|n| float(n.load(Ordering::Relaxed)))
    }
}

/// Forwards connections to an address and counts what passes.
fn forward(to: SocketAddr, counted: &Arc<Counted>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let addr = listener.local_addr().expect("the listener has an address");
    let counted = Arc::clone(counted);
    thread::spawn(move || {
        for from in listener.incoming().flatten() {
            let Ok(to) = TcpStream::connect(to) else {
                continue;
            };
            for (from, to) in [(&from, &to), (&to, &from)] {
                let from = from.try_clone().expect("the socket can be shared");
                let to = to.try_clone().expect("the socket can be shared");
                let counted = Arc::clone(&counted);
                thread::spawn(move || copy(from, to, &counted));
            }
        }
    });
    addr
}

fn copy(mut from: TcpStream, mut to: TcpStream, counted: &Counted) {
    use std::io::{Read as _, Write as _};

    let mut buf = vec![0; 64 << 10];
    while let Ok(read @ 1..) = from.read(&mut buf) {
        counted.bytes.fetch_add(read as u64, Ordering::Relaxed);
        counted.reads.fetch_add(1, Ordering::Relaxed);
        if to.write_all(&buf[..read]).is_err() {
            return;
        }
    }
}

/// Control traffic of one link, and the memory of a link.
fn traffic() -> Vec<Row> {
    let mut site = Site::start(1, 0);
    let agent = site.agents[0].addr;
    let counted = Arc::new(Counted::default());
    site.agents[0].addr = forward(site.agents[0].addr, &counted);
    site.apply(0, 30);
    thread::sleep(SETTLED);
    let [bytes, reads, seconds] = over(&counted, || thread::sleep(COUNTED));
    let rest = [bytes / seconds, reads / seconds];
    let [bytes, reads, seconds] = over(&counted, || {
        for change in 0..CHANGES {
            site.apply(0, 31 + change);
            thread::sleep(SETTLED);
        }
    });
    let changes = f64::from(CHANGES);
    let mut rows = vec![
        row("link at rest: bytes a second, both directions", rest[0]),
        row("link at rest: messages a second, both directions", rest[1]),
        row(
            "link: bytes for each configuration change",
            (bytes - rest[0] * seconds) / changes,
        ),
        row(
            "link: messages for each configuration change",
            (reads - rest[1] * seconds) / changes,
        ),
    ];
    rows.push(row(
        "explanation record of a cascade of 3 steps, bytes",
        record(&site),
    ));
    rows.extend(links(&site, agent));
    rows
}

fn over(counted: &Counted, act: impl FnOnce()) -> [f64; 3] {
    let (before, start) = (counted.now(), Instant::now());
    act();
    let after = counted.now();
    [
        after[0] - before[0],
        after[1] - before[1],
        start.elapsed().as_secs_f64(),
    ]
}

/// Returns the mean size of the records of a few requests.
fn record(site: &Site) -> f64 {
    let load = Load {
        tokens: 4,
        rate: 20,
        requests: 20,
    };
    actix_rt::System::new().block_on(load::run(load, site.gateway.addr, &[]));
    let admin = site.gateway.admin.expect("a gateway has an admin listener");
    let lines = site::get(admin, "/records");
    let records: Vec<_> = lines
        .split(|b| *b == b'\n')
        .filter(|line| !line.is_empty())
        .collect();
    let mut ring = Ring::new(1 << 20);
    let pushed: usize = records
        .iter()
        .map(|line| {
            ring.push(&serde_json::from_slice(line).expect("it is a record"))
                .len()
        })
        .sum();
    float(pushed as u64) / float(records.len().max(1) as u64)
}

/// Opens many links to the agent and returns what each takes at both ends.
fn links(site: &Site, addr: SocketAddr) -> [Row; 2] {
    let key = PeerKey::new(PEER_KEY.as_bytes()).expect("the key is long enough");
    let growth = actix_rt::System::new().block_on(async {
        let before = [resident_bytes("self"), site.agents[0].resident_bytes()];
        let mut links = Vec::new();
        for _ in 0..LINKS {
            let link = Link::connect(addr, &key, Millis(3_000)).await;
            links.push(link.expect("the agent takes the link"));
        }
        let after = [resident_bytes("self"), site.agents[0].resident_bytes()];
        drop(links);
        [0, 1].map(|at| (after[at] - before[at]) / f64::from(LINKS))
    });
    [
        row("memory: link at the gateway's end, bytes", growth[0]),
        row("memory: link at the agent's end, bytes", growth[1]),
    ]
}

/// Slopes of a site at rest over its number of agents.
fn rest() -> Vec<Row> {
    let [few, many] = AGENTS.map(at_rest);
    let added = float((AGENTS[1] - AGENTS[0]) as u64);
    let slope = |at: usize| (many[at] - few[at]) / added;
    let fixed = |at: usize| few[at] - slope(at) * float(AGENTS[0] as u64);
    vec![
        row(
            "gateway at rest: time of itself, microseconds a second",
            fixed(0) * 1e6,
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
            fixed(2) / 1e6,
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
            fixed(4),
        ),
        row(
            "key-value service at rest: calls a second of an agent",
            slope(4),
        ),
    ]
}

/// Returns processor time of the gateway and of one agent, their memory, and calls a second.
fn at_rest(agents: usize) -> [f64; 5] {
    let site = Site::start(agents, 0);
    site.apply(0, 30);
    thread::sleep(SETTLED);
    let now = || {
        let (gateway, agent) = (&site.gateway, &site.agents[0]);
        [
            gateway.processor_time(),
            agent.processor_time(),
            site.calls(),
        ]
    };
    let (before, start) = (now(), Instant::now());
    thread::sleep(COUNTED);
    let (after, seconds) = (now(), start.elapsed().as_secs_f64());
    let [gateway, agent, calls] = [0, 1, 2].map(|at| (after[at] - before[at]) / seconds);
    let resident = [&site.gateway, &site.agents[0]].map(Process::resident_bytes);
    [gateway, agent, resident[0], resident[1], calls]
}
