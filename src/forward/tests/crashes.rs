//! Requests that crash the upstreams that run them, through a gateway on loopback.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::time::sleep;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::fixture::{
    self, FixedStore, field, gateway_ready, message, read_message, registered, serve, status, table,
};
use crate::forward::follow::StoreEvent;
use crate::forward::gateway::Gateway;
use crate::forward::shared::Shared;
use crate::suspect::Evidence;
use crate::units::Millis;

/// Part of a prompt that crashes the upstreams of these tests.
const CRASHING_PART: &str = "bad1";

/// Upstreams of a test; more than its requests could crash if nothing stopped them would be left over.
const UPSTREAMS: usize = 24;

/// How the answer of an upstream looks that crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashPoint {
    BeforeHead,
    AfterHead,
    BetweenEvents,
    InsideEvent,
    /// Between two events of an answer without length and chunks, which looks like its end.
    AtTheEndOfUnframed,
}

/// What happened at all upstreams of a test.
#[derive(Debug, Default)]
struct Engines {
    crashed: Cell<usize>,
    /// Request targets with the crashing part that reached an upstream.
    crashing: RefCell<Vec<String>>,
}

/// Starts an upstream that ends as a process does when it answers a request with the crashing part: all of its
/// connections and its listener are closed.
async fn engine(engines: &Rc<Engines>, point: CrashPoint) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback can be bound");
    let addr = listener.local_addr().expect("the listener is bound");
    let (crash, crashed) = watch::channel(false);
    let crash = Rc::new(crash);
    let engines = Rc::clone(engines);
    actix_rt::spawn(async move {
        let mut ended = crashed.clone();
        loop {
            tokio::select! {
                _ = ended.changed() => return,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    let (engines, crash) = (Rc::clone(&engines), Rc::clone(&crash));
                    let mut ended = crashed.clone();
                    actix_rt::spawn(async move {
                        tokio::select! {
                            _ = ended.changed() => {}
                            () = answer_all(stream, engines, crash, point) => {}
                        }
                    });
                }
            }
        }
    });
    addr
}

async fn answer_all(
    mut stream: TcpStream,
    engines: Rc<Engines>,
    crash: Rc<watch::Sender<bool>>,
    point: CrashPoint,
) {
    while let Some(text) = read_message(&mut stream).await {
        let id = field(&text, "X-Fireflywind-Request-Id").unwrap_or_default();
        let parts = field(&text, "X-Fireflywind-Prefix-Hash").unwrap_or_default();
        let is_crashing = parts.contains(CRASHING_PART);
        let framing = match point {
            CrashPoint::AtTheEndOfUnframed if is_crashing => "",
            _ => "Transfer-Encoding: chunked\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Fireflywind-Request-Id: {id}\r\nX-Fireflywind-Server-Stamp: s1\r\n\
             X-Fireflywind-Confidence: 90\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
        );
        let chunk = |event: &str| format!("{:x}\r\n{event}\r\n", event.len());
        let event = "id: 1\ndata: a\n\n";
        if !is_crashing {
            let answer = format!("{head}{}0\r\n\r\n", chunk(event));
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        (engines.crashing.borrow_mut()).push(text.lines().next().unwrap_or_default().to_owned());
        let written = match point {
            CrashPoint::BeforeHead => String::new(),
            CrashPoint::AfterHead => head,
            CrashPoint::BetweenEvents => format!("{head}{}", chunk(event)),
            CrashPoint::InsideEvent => format!("{head}{}9\r\nid: 2\nda", chunk(event)),
            CrashPoint::AtTheEndOfUnframed => format!("{head}{event}"),
        };
        // The gateway may have left in order to ask a larger model; the upstream crashes all the same.
        let _ = stream.write_all(written.as_bytes()).await;
        sleep(Millis(20).duration()).await;
        engines.crashed.update(|n| n + 1);
        // The listener's task ends with the value.
        let _ = crash.send(true);
        return;
    }
}

/// Starts a gateway with [`UPSTREAMS`] upstreams.
async fn fleet(engines: &Rc<Engines>, point: CrashPoint) -> (Gateway, Rc<Shared>) {
    let mut events = vec![StoreEvent::Table(Rc::new(table()), 1)];
    for n in 0..UPSTREAMS {
        let addr = engine(engines, point).await;
        events.push(StoreEvent::Upstream(registered(n, addr)));
    }
    let shared = Shared::open(fixture::policy(), Box::new(FixedStore::open(events)));
    age(&shared);
    let gateway = serve(Rc::clone(&shared));
    gateway_ready(&gateway).await;
    (gateway, shared)
}

/// Lets the evidence be that of a gateway that has been running for as long as rules with a time bound require.
fn age(shared: &Shared) {
    let now = shared.clock.unix();
    let started = now.since(fixture::policy().catch_up);
    let mut evidence = Evidence::new("gateway".into(), started);
    evidence.expire(now);
    shared.evidence.replace(evidence);
}

/// Sends one stream request with these parts of a prompt and returns the answer.
async fn stream(gateway: &Gateway, path: &str, parts: &str) -> String {
    let fields = format!(
        "X-Fireflywind-Model: *\r\nX-Fireflywind-Tokens: 400,80\r\nX-Fireflywind-Prefix-Hash: {parts}\r\n"
    );
    let mut conn = fixture::connect(gateway.addresses().listen).await;
    let text = message("POST", path, &fields);
    conn.write_all(text.as_bytes())
        .await
        .expect("the gateway reads");
    read_message(&mut conn).await.unwrap_or_default()
}

/// Sends requests with the crashing part, no two alike, among sound ones that share their other parts; returns how many
/// sends reached an upstream after its fifth crash, and how many sound requests were not answered after it.
async fn sends_after_the_fifth_crash(point: CrashPoint) -> (usize, usize) {
    let engines: Rc<Engines> = Rc::default();
    let (gateway, _shared) = fleet(&engines, point).await;
    let mut sent_at_fifth = None;
    let mut unanswered = 0;
    for n in 0..12 {
        let parts = format!("common:100,{CRASHING_PART}:50,own{n}:20");
        let _ = stream(&gateway, &format!("/model/{n}"), &parts).await;
        // Requests arrive apart from one another, so that crashes do not look like the loss of a rack.
        sleep(Millis(120).duration()).await;
        let parts = format!("common:100,sound{}:50,other{n}:20", n % 2);
        let answer = stream(&gateway, &format!("/model/s{n}"), &parts).await;
        if engines.crashed.get() >= 5 {
            sent_at_fifth.get_or_insert(engines.crashing.borrow().len());
            unanswered += usize::from(status(&answer) != 200);
        }
    }
    let sent = engines.crashing.borrow().len();
    (sent - sent_at_fifth.unwrap_or(sent), unanswered)
}

// Guards against requests with a part that crashes upstreams being sent to one upstream after another.
#[test]
fn a_part_that_crashes_upstreams_is_contained_wherever_the_answer_breaks_off() {
    let points = [
        CrashPoint::BeforeHead,
        CrashPoint::AfterHead,
        CrashPoint::BetweenEvents,
        CrashPoint::InsideEvent,
        CrashPoint::AtTheEndOfUnframed,
    ];
    for point in points {
        let (sends, unanswered) = fixture::run(sends_after_the_fifth_crash(point));

        assert!(sends <= 3, "{point:?}: {sends} sends after the fifth crash");
        assert_eq!(unanswered, 0, "{point:?}: sound requests were not answered");
    }
}
