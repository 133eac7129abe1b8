//! A roll-out of a plain service, which has no beacons: a bad version must never be completed, and each roll-out must end.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use fireflywind::router::hash;
use serde_json::{Value, json};

use crate::http::{Connection, Message};
use crate::store::Store;
use crate::world::Shared;

/// Name of the service.
pub const SERVICE: &str = "p";

/// Version that is rolled out.
const NEW_VERSION: &str = "v2";

/// Time that the roll-out may take.
pub const RAMP: Duration = Duration::from_secs(7);

/// Interval between two requests of one sender, and the number of senders.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
const SENDERS: u64 = 4;

/// Upstreams of each version.
const UPSTREAMS: usize = 2;

/// Time after the deadline within which the outcome must be recorded; a busy machine needs longer than a deployment.
const OUTCOME_TIMEOUT: Duration = Duration::from_mins(1);

const TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the route of the service.
pub fn route() -> Value {
    json!({"name": "plain", "host": "soak.example", "prefix": "/plain/", "type": "safe", "timeoutMs": 2_000, "goalMs": 500,
        "priority": 1, "service": SERVICE, "attempts": 1, "public": true, "sticky": false, "resumable": false,
        "gapAimMs": 1_000, "sizes": []})
}

/// Starts the upstreams of both versions, orders the roll-out, and sends requests until the run is finished.
pub fn start(store: &Store, shared: &Arc<Shared>, is_bad: bool) {
    for (version, fails) in [("v1", false), (NEW_VERSION, is_bad)] {
        for at in 0..UPSTREAMS {
            let id = format!("p-{version}-{at}");
            let addr = serve(&id, fails);
            let entry = json!({"service": SERVICE, "addr": addr.to_string(), "zone": "c", "version": version, "slots": 64,
                "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1});
            store.put(&format!("servers/{id}"), &entry);
        }
    }
    let order = json!({"service": SERVICE, "to": NEW_VERSION, "rampS": RAMP.as_secs_f64()});
    store.put(&format!("op/rollout/{SERVICE}"), &order);
    for sender in 0..SENDERS {
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            for n in 0.. {
                if shared.is_finished() {
                    return;
                }
                if let Some(gateway) = shared.gateway_at(sender + n) {
                    // Whether it is answered is seen by the gateway; the outcome of the roll-out is checked.
                    let _ = send(gateway, &format!("p-{sender}-{n}"));
                }
                thread::sleep(REQUEST_INTERVAL);
            }
        });
    }
}

/// Waits for the recorded outcome of the roll-out; returns what is wrong with it, if anything is.
///
/// A good version may be given up: a busy machine can see too few of its answers.
pub fn finding(store: &Store, is_bad: bool) -> Option<String> {
    let started = Instant::now();
    loop {
        let state = store.get(&format!("status/rollout/{SERVICE}"));
        let state = state.and_then(|status| status["state"].as_str().map(str::to_owned));
        match state.as_deref() {
            Some("complete") if is_bad => {
                return Some("EXPOSURE: a bad version of a plain service is complete".to_owned());
            }
            Some("complete" | "reverted") => return None,
            _ if started.elapsed() < OUTCOME_TIMEOUT => thread::sleep(REQUEST_INTERVAL),
            _ => {
                return Some(format!(
                    "the roll-out of a plain service is {state:?} for good"
                ));
            }
        }
    }
}

fn send(gateway: SocketAddr, id: &str) -> std::io::Result<()> {
    let stream = TcpStream::connect_timeout(&gateway, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut connection = Connection::new(stream);
    let request = format!(
        "GET /plain/ HTTP/1.1\r\nHost: soak.example\r\nX-Fireflywind-Request-Id: {id}\r\n\
         X-Fireflywind-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"
    );
    connection.write(request.as_bytes())?;
    let mut head = connection.read_head()?;
    connection.read_body(&mut head, |_| true)
}

/// Starts an upstream that fails half of its answers or none.
fn serve(id: &str, fails: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let addr = listener.local_addr().expect("the listener is bound");
    let id: Arc<str> = Arc::from(id);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let id = Arc::clone(&id);
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(mut message) = connection.read_head() {
                    let is_read = connection.read_body(&mut message, |_| true).is_ok();
                    let text = answer(&message, &id, fails);
                    if !is_read || connection.write(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn answer(message: &Message, id: &str, fails: bool) -> String {
    let request = message.field("x-fireflywind-request-id").unwrap_or("-");
    let status = if fails && hash(request.as_bytes()).is_multiple_of(2) {
        500
    } else {
        200
    };
    format!(
        "HTTP/1.1 {status} X\r\nX-Fireflywind-Request-Id: {request}\r\nX-Fireflywind-Server-Stamp: {id}\r\n\
         Content-Length: 2\r\n\r\nok"
    )
}
