//! A stand-in for an upstream that records the requests it runs and can misbehave.

use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use fireflywind::router::hash;
use serde_json::{Value, json};

use crate::ledger::{EVENTS, Kind, Ledger};
use crate::proxy::Proxy;
use crate::wire::{Channel, Message};

/// How an upstream behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mood {
    /// Answers every request correctly.
    #[default]
    Sound,
    /// Answers half of the requests with status 500.
    Failing,
    /// Refuses every request with status 503 and a header that says it was not run.
    Full,
    /// Truncates a third of its answers.
    Cutting,
    /// Runs requests and does not answer.
    Mute,
    /// Closes every connection, as if its process had ended.
    Dead,
}

const WORK: Duration = Duration::from_millis(10);
const EVENT_PAUSE: Duration = Duration::from_millis(15);

/// Time after which an upstream that does not answer closes the connection.
const MUTE: Duration = Duration::from_secs(3);

/// A running upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// ID in the store.
    pub id: Arc<str>,
    /// Proxy between the gateways and this upstream.
    pub proxy: Proxy,
    mood: Arc<Mutex<Mood>>,
    ledger: Arc<Ledger>,
}

impl Upstream {
    /// Starts an upstream.
    pub fn start(id: &str, ledger: Arc<Ledger>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let addr = listener.local_addr().expect("the listener is bound");
        let upstream = Self {
            id: Arc::from(id),
            proxy: Proxy::start(addr),
            mood: Arc::default(),
            ledger,
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
    pub fn set(&self, mood: Mood) {
        *(self.mood.lock()).expect("the mutex is not poisoned") = mood;
    }

    /// Returns the upstream's entry in the store.
    pub fn entry(&self, state: &str, seq: u64) -> Value {
        json!({"service": "s", "addr": self.proxy.addr.to_string(), "zone": "a", "version": "v1", "slots": 64,
            "state": state, "coldLeftMs": 0, "seq": seq, "born": 1})
    }

    fn mood(&self) -> Mood {
        *(self.mood.lock()).expect("the mutex is not poisoned")
    }

    fn serve(&self, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        while let Ok(mut message) = channel.read_head() {
            let is_read = channel.read_body(&mut message, |_| true).is_ok();
            if !is_read || self.mood() == Mood::Dead || !self.answer(&mut channel, &message) {
                return;
            }
        }
    }

    /// Answers a request; returns `false` if the connection is to be closed.
    fn answer(&self, channel: &mut Channel, message: &Message) -> bool {
        let id = message
            .field("x-fireflywind-request-id")
            .unwrap_or("-")
            .to_owned();
        let refuse = |channel: &mut Channel, status: u16| {
            let text = format!(
                "HTTP/1.1 {status} X\r\nX-Fireflywind-Request-Id: {id}\r\nX-Fireflywind-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
            channel.write(text.as_bytes()).is_ok()
        };
        if message.field("x-fireflywind-expect-instance") != Some(&*self.id) {
            return refuse(channel, 421);
        }
        if self.mood() == Mood::Full {
            return refuse(channel, 503);
        }
        self.ledger.run(&self.id, message);
        let luck = hash(format!("{id}{}", self.id).as_bytes()) % 6;
        match self.mood() {
            Mood::Dead => return false,
            Mood::Mute => {
                thread::sleep(MUTE);
                return false;
            }
            Mood::Failing if luck < 3 => {
                let head = self.head(500, &id);
                let text = format!("{head}Content-Length: 5\r\n\r\nerror");
                return channel.write(text.as_bytes()).is_ok();
            }
            Mood::Sound | Mood::Failing | Mood::Full | Mood::Cutting => {}
        }
        thread::sleep(WORK);
        let is_cut = self.mood() == Mood::Cutting && luck < 2;
        if message.word(1).starts_with(Kind::Generation.prefix()) {
            return self.stream(channel, message, &id, is_cut);
        }
        let body = whole_body(&id);
        let head = self.head(200, &id);
        let mut text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        if is_cut {
            text.truncate(text.len() - body.len() / 2);
        }
        channel.write(text.as_bytes()).is_ok() && !is_cut
    }

    fn stream(&self, channel: &mut Channel, message: &Message, id: &str, is_cut: bool) -> bool {
        let after = message.field("last-event-id").and_then(|t| t.parse().ok());
        let confidence = hash(id.as_bytes()) % 100;
        let head = self.head(200, id);
        let text = format!(
            "{head}X-Fireflywind-Confidence: {confidence}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if channel.write(text.as_bytes()).is_err() {
            return false;
        }
        for number in after.unwrap_or(0) + 1..=EVENTS {
            let event = event(id, number);
            if is_cut && number == EVENTS / 2 || self.mood() == Mood::Dead {
                // Truncates the stream in the middle of an event.
                let text = format!("{:x}\r\n{}", event.len(), &event[..event.len() / 2]);
                let _ = channel.write(text.as_bytes());
                return false;
            }
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if channel.write(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(EVENT_PAUSE);
        }
        channel.write(b"0\r\n\r\n").is_ok()
    }

    fn head(&self, status: u16, id: &str) -> String {
        format!(
            "HTTP/1.1 {status} X\r\nX-Fireflywind-Request-Id: {id}\r\nX-Fireflywind-Server-Stamp: {}.{id}\r\n",
            self.id
        )
    }
}

/// Returns the body of an answer that is not a stream.
pub fn whole_body(id: &str) -> String {
    id.repeat(20)
}

/// Returns one event of a stream.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}
