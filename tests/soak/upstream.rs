//! A stand-in for an upstream that records the requests it runs and can misbehave.

use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fireflywind::router::hash;
use serde_json::{Value, json};

use crate::checker::{Checker, EVENTS_PER_STREAM, Kind};
use crate::http::{Connection, Message};
use crate::proxy::Proxy;

/// How an upstream behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers every request correctly.
    #[default]
    Normal,
    /// Answers half of the requests with status 500.
    Failing,
    /// Refuses every request with status 503 and a header that says it was not run.
    Full,
    /// Truncates a third of its answers, and begins a sixth with a head that is none.
    Truncating,
    /// Runs requests and does not answer.
    Unresponsive,
    /// Names [`NAMED_LIMIT`] in its answers.
    Limited,
    /// Closes every connection, as if its process had ended.
    Dead,
}

/// Start lines and fields of heads that are none.
const INVALID_HEADS: [&str; 8] = [
    "HTTP/1.1 000 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/1.1 101 X",
    "HTTP/1.1 +200 X",
    "HTTP/1.1 200 X\r\nContent-Length: 1",
    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked",
];

/// Requests a second that an upstream in need takes from all gateways together.
pub const NAMED_LIMIT: usize = 2;

/// Part of a prompt that crashes each upstream that begins to answer it.
pub const CRASHING_PART: &str = "bad0bad0";

/// Time from the first byte of an answer to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);

const PROCESSING_TIME: Duration = Duration::from_millis(10);
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// Time after which an upstream that does not answer closes the connection.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(3);

/// A running upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// ID in the store.
    pub id: Arc<str>,
    /// Proxy between the gateways and this upstream.
    pub proxy: Proxy,
    behaviour: Arc<Mutex<Behaviour>>,
    is_leaving: Arc<AtomicBool>,
    /// Until when it turns requests away and asks for a pause.
    paused_until: Arc<Mutex<Option<Instant>>>,
    has_crashed: Arc<AtomicBool>,
    checker: Arc<Checker>,
}

impl Upstream {
    /// Starts an upstream.
    pub fn start(id: &str, checker: Arc<Checker>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let addr = listener.local_addr().expect("the listener is bound");
        let upstream = Self {
            id: Arc::from(id),
            proxy: Proxy::start(addr),
            behaviour: Arc::default(),
            is_leaving: Arc::default(),
            paused_until: Arc::default(),
            has_crashed: Arc::default(),
            checker,
        };
        let running = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let running = running.clone();
                thread::spawn(move || running.serve(stream));
            }
        });
        upstream
    }

    /// Sets how the upstream behaves from now on.
    pub fn set(&self, behaviour: Behaviour) {
        *(self.behaviour.lock()).expect("the mutex is not poisoned") = behaviour;
    }

    /// Says in all answers from now on that it leaves.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Turns requests away for a time and asks for a pause of what is left of it.
    pub fn pause(&self, time: Duration) {
        *(self.paused_until.lock()).expect("the mutex is not poisoned") =
            Some(Instant::now() + time);
    }

    fn pause_left(&self) -> Option<Duration> {
        let until = *(self.paused_until.lock()).expect("the mutex is not poisoned");
        until?.checked_duration_since(Instant::now())
    }

    /// Returns whether a request has crashed the upstream.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }

    /// Ends as a process does that crashes, shortly after it has begun to answer.
    fn crash(&self) {
        thread::sleep(CRASH_DELAY);
        if !self.has_crashed.swap(true, Ordering::SeqCst) {
            self.checker.record_crash();
            self.set(Behaviour::Dead);
            self.proxy.end();
        }
    }

    /// Returns the upstream's entry in the store.
    pub fn entry(&self, state: &str, seq: u64) -> Value {
        json!({"service": "s", "addr": self.proxy.addr.to_string(), "zone": data_centre(&self.id), "version": "v1", "slots": 64,
            "state": state, "coldLeftMs": 0, "seq": seq, "born": 1})
    }

    fn behaviour(&self) -> Behaviour {
        *(self.behaviour.lock()).expect("the mutex is not poisoned")
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(mut message) = connection.read_head() {
            let is_read = connection.read_body(&mut message, |_| true).is_ok();
            if !is_read
                || self.behaviour() == Behaviour::Dead
                || !self.answer(&mut connection, &message)
            {
                return;
            }
        }
    }

    /// Answers a request; returns `false` if the connection is to be closed.
    fn answer(&self, connection: &mut Connection, message: &Message) -> bool {
        let id = message
            .field("x-fireflywind-request-id")
            .unwrap_or("-")
            .to_owned();
        let leaving = self.leaving_field();
        let refuse = |connection: &mut Connection, status: u16, field: &str| {
            let text = format!(
                "HTTP/1.1 {status} X\r\nX-Fireflywind-Request-Id: {id}\r\nX-Fireflywind-Not-Run: 1\r\n{leaving}{field}Content-Length: 0\r\n\r\n"
            );
            connection.write(text.as_bytes()).is_ok()
        };
        self.checker.record_arrival(&self.id, &id);
        if message.field("x-fireflywind-expect-instance") != Some(&*self.id) {
            return refuse(connection, 421, "");
        }
        if let Some(left) = self.pause_left() {
            self.checker.record_pause(&self.id, &id, left);
            let field = format!("Retry-After: {:.3}\r\n", left.as_secs_f64());
            return refuse(connection, 503, &field);
        }
        if self.behaviour() == Behaviour::Full {
            return refuse(connection, 503, "");
        }
        self.checker.record_run(&self.id, message);
        let bucket = hash(format!("{id}{}", self.id).as_bytes()) % 6;
        match self.behaviour() {
            Behaviour::Dead => return false,
            Behaviour::Unresponsive => {
                thread::sleep(UNRESPONSIVE_TIME);
                return false;
            }
            Behaviour::Failing if bucket < 3 => {
                let head = self.head(500, &id);
                let text = format!("{head}Content-Length: 5\r\n\r\nerror");
                return connection.write(text.as_bytes()).is_ok();
            }
            Behaviour::Truncating if bucket == 2 => {
                let at = hash(id.as_bytes()) % INVALID_HEADS.len() as u64;
                let head = INVALID_HEADS[usize::try_from(at).expect("the index fits in usize")];
                let fields = self.head(200, &id).replacen("HTTP/1.1 200 X", head, 1);
                let text = format!("{fields}Content-Length: 5\r\n\r\nwrong");
                return connection.write(text.as_bytes()).is_ok();
            }
            Behaviour::Normal
            | Behaviour::Failing
            | Behaviour::Full
            | Behaviour::Truncating
            | Behaviour::Limited => {}
        }
        thread::sleep(PROCESSING_TIME);
        let is_truncated = self.behaviour() == Behaviour::Truncating && bucket < 2;
        if message
            .start_line_part(1)
            .starts_with(Kind::Generation.prefix())
        {
            return self.stream(connection, message, &id, is_truncated);
        }
        let body = full_body(&id);
        let head = self.head(200, &id);
        let mut text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        if is_truncated {
            text.truncate(text.len() - body.len() / 2);
        }
        connection.write(text.as_bytes()).is_ok() && !is_truncated
    }

    fn stream(
        &self,
        connection: &mut Connection,
        message: &Message,
        id: &str,
        is_truncated: bool,
    ) -> bool {
        let after = message.field("last-event-id").and_then(|t| t.parse().ok());
        let confidence = hash(id.as_bytes()) % 100;
        let head = self.head(200, id);
        let text = format!(
            "{head}X-Fireflywind-Confidence: {confidence}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if connection.write(text.as_bytes()).is_err() {
            return false;
        }
        let is_crashing = is_crashing(message);
        for number in after.unwrap_or(0) + 1..=EVENTS_PER_STREAM {
            let event = event(id, number);
            if is_crashing && number == 1 + hash(id.as_bytes()) % 2 {
                self.crash();
                return false;
            }
            if is_truncated && number == EVENTS_PER_STREAM / 2
                || self.behaviour() == Behaviour::Dead
            {
                // Truncates the stream in the middle of an event.
                let text = format!("{:x}\r\n{}", event.len(), &event[..event.len() / 2]);
                let _ = connection.write(text.as_bytes());
                return false;
            }
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if connection.write(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(EVENT_INTERVAL);
        }
        connection.write(b"0\r\n\r\n").is_ok()
    }

    fn head(&self, status: u16, id: &str) -> String {
        let limit = if self.behaviour() == Behaviour::Limited {
            format!("Server-Limit: {NAMED_LIMIT}\r\n")
        } else {
            String::new()
        };
        format!(
            "HTTP/1.1 {status} X\r\nX-Fireflywind-Request-Id: {id}\r\nX-Fireflywind-Server-Stamp: {}.{id}\r\n{limit}{}",
            self.id,
            self.leaving_field()
        )
    }

    fn leaving_field(&self) -> &'static str {
        if self.is_leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        }
    }
}

/// Returns the data centre of the upstream with this id.
pub fn data_centre(id: &str) -> &'static str {
    if hash(id.as_bytes()).is_multiple_of(2) {
        "a"
    } else {
        "b"
    }
}

/// Returns whether a request has the part that crashes upstreams.
pub fn is_crashing(message: &Message) -> bool {
    let parts = message.field("x-fireflywind-prefix-hash");
    parts.is_some_and(|parts| parts.contains(CRASHING_PART))
}

/// Returns the body of an answer that is not a stream.
pub fn full_body(id: &str) -> String {
    id.repeat(20)
}

/// Returns one event of a stream.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}
