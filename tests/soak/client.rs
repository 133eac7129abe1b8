//! A client that sends one request after another and checks the answers.

use std::fmt::Write as _;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::checker::{Checker, EVENTS_PER_STREAM, Kind, SentRequest};
use crate::http::{Connection, Message};
use crate::rng::Rng;
use crate::upstream::{CRASHING_PART, event, full_body};
use crate::world::{self, ROTATED_ACCOUNT, Shared};

/// Time that a client waits for the next bytes; longer than the timeout of every route.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// Deadline that a client sets for a request.
const DEADLINE_MS: u64 = 4_000;

/// Number of the client that also sends requests that crash upstreams.
const CRASHING_CLIENT: u64 = 0;

/// Probability, in percent, that a client disconnects before the end of its answer.
const DISCONNECT_PERCENT: u64 = 3;

/// Sends requests until the end of the test.
pub fn run(shared: &Arc<Shared>, number: u64) {
    let mut rng = Rng::new(shared.seed, 1_000 + number);
    let mut reusable: Option<(SocketAddr, Connection)> = None;
    let mut count = 0;
    while !shared.is_finished() {
        count += 1;
        let id = format!("{:016x}", rng.next());
        let (key, account) = shared.key(&mut rng);
        // Apart from this random close, a connection is reused until the gateway closes it, also by a gateway that
        // is being stopped.
        if rng.percent_chance(10) {
            reusable = None;
        }
        if reusable.is_none() {
            let Some(addr) = shared.gateway(&mut rng) else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            reusable = connect(addr).ok().map(|connection| (addr, connection));
        }
        let Some((addr, mut connection)) = reusable.take() else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let kind = *rng.choose(&[Kind::Order, Kind::Lookup, Kind::Generation]);
        let is_crashing = number == CRASHING_CLIENT && rng.percent_chance(50);
        let is_reusable = exchange(
            &shared.checker,
            (&mut connection, addr),
            &mut rng,
            (
                &id,
                if is_crashing { Kind::Generation } else { kind },
                is_crashing,
            ),
            (key, account),
        );
        if is_reusable.unwrap_or(false) {
            reusable = Some((addr, connection));
        }
        if count % 4 == 0 {
            std::thread::sleep(rng.duration_ms(1, 20));
        }
    }
}

fn connect(addr: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(Connection::new(stream))
}

/// Sends one request and reads its answer; returns whether the connection can be reused.
fn exchange(
    checker: &Checker,
    (connection, gateway): (&mut Connection, SocketAddr),
    rng: &mut Rng,
    (id, kind, is_crashing): (&str, Kind, bool),
    (key, account): (String, String),
) -> io::Result<bool> {
    let may_use_revoked_key = account == world::account(ROTATED_ACCOUNT);
    let method = if kind == Kind::Lookup { "GET" } else { "POST" };
    let path = format!(
        "{}{:x}?q={:x}",
        kind.prefix(),
        rng.below(1_000),
        rng.below(50)
    );
    let body = if kind == Kind::Lookup {
        Vec::new()
    } else {
        format!("body of {id}")
            .repeat(1 + usize::try_from(rng.below(60)).unwrap_or(0))
            .into_bytes()
    };
    let sent = SentRequest {
        kind,
        is_crashing,
        target: format!("{method} {path}"),
        body,
        key,
        account,
        at: Instant::now(),
        gateway,
    };
    let request = encode(id, &sent, rng);
    checker.record_request(id, sent);
    let (head, body) = request;
    connection.write(&head)?;
    if rng.percent_chance(5) {
        std::thread::sleep(rng.duration_ms(1, 60));
    }
    connection.write(&body)?;
    let disconnects = rng.percent_chance(DISCONNECT_PERCENT);
    if disconnects && rng.percent_chance(50) {
        std::thread::sleep(rng.duration_ms(1, 60));
        return Ok(false);
    }
    let mut answer = connection.read_head()?;
    let status = answer.start_line_part(1).parse().unwrap_or(0);
    let is_own = answer.field("x-fireflywind-server-stamp").is_none();
    checker.record_answer(id, status, is_own);
    if answer.field("server-leaving") == Some("1")
        && let Some(stamp) = answer.field("x-fireflywind-server-stamp")
    {
        let upstream = stamp.split('.').next().unwrap_or_default();
        checker.record_leaving(gateway, upstream);
    }
    let mut events = 0;
    let is_read = connection.read_body(&mut answer, |_| {
        events += 1;
        !(disconnects && events > 3)
    });
    check(checker, id, kind, status, &answer);
    let is_denied = matches!(status, 401 | 403 | 404) && is_own;
    if is_denied && !may_use_revoked_key {
        checker.add_finding(format!("{id}: {status} for a permitted request"));
    }
    is_read?;
    if answer.is_complete && connection.has_more() {
        checker.add_finding(format!("{id}: extra bytes after the answer"));
    }
    Ok(answer.is_complete && answer.field("connection") != Some("close"))
}

fn encode(id: &str, sent: &SentRequest, rng: &mut Rng) -> (Vec<u8>, Vec<u8>) {
    let (target, key) = (&sent.target, &sent.key);
    let is_chunked = !sent.body.is_empty() && rng.percent_chance(30);
    let framing = if is_chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {}", sent.body.len())
    };
    let mut head = format!(
        "{target} HTTP/1.1\r\nHost: soak.example\r\nX-Fireflywind-Request-Id: {id}\r\nAuthorization: Token {key}\r\n\
        X-Fireflywind-Tenant: intruder\r\nX-Fireflywind-Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n"
    );
    if sent.kind == Kind::Generation {
        head += "X-Fireflywind-Model: *\r\nX-Fireflywind-Tokens: 400,80\r\n";
        let topic = if sent.is_crashing {
            CRASHING_PART.to_owned()
        } else {
            format!("70p1c{}", rng.below(8))
        };
        // Writing to a string cannot fail.
        let _ = write!(
            head,
            "X-Fireflywind-Prefix-Hash: 5c1e07a2:300,{topic}:60,{id}:40\r\n"
        );
    }
    head += "\r\n";
    let body = if is_chunked {
        let mut body = format!("{:x}\r\n", sent.body.len()).into_bytes();
        body.extend_from_slice(&sent.body);
        body.extend_from_slice(b"\r\n0\r\n\r\n");
        body
    } else {
        sent.body.clone()
    };
    (head.into_bytes(), body)
}

/// Checks an answer, which may be truncated.
fn check(checker: &Checker, id: &str, kind: Kind, status: u16, answer: &Message) {
    if answer
        .field("x-fireflywind-request-id")
        .is_some_and(|echoed| echoed != id)
    {
        checker.add_finding(format!("{id}: received the answer to another request"));
        return;
    }
    if !(200..300).contains(&status) {
        return;
    }
    let stamp = answer.field("x-fireflywind-server-stamp");
    if !stamp.is_some_and(|s| s.ends_with(&format!(".{id}"))) {
        checker.add_finding(format!(
            "{id}: {status} with the wrong server stamp {stamp:?}"
        ));
        return;
    }
    let expected = if kind == Kind::Generation {
        (1..=EVENTS_PER_STREAM)
            .map(|number| event(id, number))
            .collect()
    } else {
        full_body(id)
    };
    let is_correct = if answer.is_complete {
        answer.body == expected.as_bytes()
    } else {
        expected.as_bytes().starts_with(&answer.body)
    };
    if !is_correct {
        let body = String::from_utf8_lossy(&answer.body);
        checker.add_finding(format!(
            "{id}: wrong body (complete: {}): {body:?}",
            answer.is_complete
        ));
    } else if answer.is_complete {
        checker.record_delivery();
    }
}
