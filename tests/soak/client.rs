//! A client that sends one request after another and checks the answers.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::draw::Draw;
use crate::ledger::{EVENTS, Kind, Ledger, Sent};
use crate::upstream::{event, whole_body};
use crate::wire::{Channel, Message};
use crate::world::{self, CHANGING, Shared};

/// Time that a client waits for the next bytes; longer than the timeout of every route.
const PATIENCE: Duration = Duration::from_secs(8);

/// Deadline that a client sets for a request.
const DEADLINE_MS: u64 = 4_000;

/// Probability, in percent, that a client disconnects before the end of its answer.
const LEAVES: u64 = 3;

/// Sends requests until the end of the test.
pub fn run(shared: &Arc<Shared>, number: u64) {
    let mut draw = Draw::new(shared.seed, 1_000 + number);
    let mut kept: Option<(SocketAddr, Channel)> = None;
    let mut count = 0;
    while !shared.is_over() {
        count += 1;
        let id = format!("{:016x}", draw.next());
        let (key, account) = shared.key(&mut draw);
        // Apart from this random close, a connection is reused until the gateway closes it, also by a gateway that
        // is being stopped.
        if draw.chance(10) {
            kept = None;
        }
        if kept.is_none() {
            let Some(addr) = shared.gateway(&mut draw) else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            kept = connect(addr).ok().map(|channel| (addr, channel));
        }
        let Some((addr, mut channel)) = kept.take() else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let kind = *draw.pick(&[Kind::Order, Kind::Lookup, Kind::Generation]);
        let is_alive = exchange(
            &shared.ledger,
            &mut channel,
            &mut draw,
            (&id, kind),
            (key, account),
        );
        if is_alive.unwrap_or(false) {
            kept = Some((addr, channel));
        }
        if count % 4 == 0 {
            std::thread::sleep(draw.millis(1, 20));
        }
    }
}

fn connect(addr: SocketAddr) -> io::Result<Channel> {
    let stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(Channel::new(stream))
}

/// Sends one request and reads its answer; returns whether the connection can be reused.
fn exchange(
    ledger: &Ledger,
    channel: &mut Channel,
    draw: &mut Draw,
    (id, kind): (&str, Kind),
    (key, account): (String, String),
) -> io::Result<bool> {
    let may_be_denied = account == world::account(CHANGING);
    let method = if kind == Kind::Lookup { "GET" } else { "POST" };
    let path = format!(
        "{}{:x}?q={:x}",
        kind.prefix(),
        draw.below(1_000),
        draw.below(50)
    );
    let body = if kind == Kind::Lookup {
        Vec::new()
    } else {
        format!("body of {id}")
            .repeat(1 + usize::try_from(draw.below(60)).unwrap_or(0))
            .into_bytes()
    };
    let sent = Sent {
        kind,
        target: format!("{method} {path}"),
        body,
        key,
        account,
        at: Instant::now(),
    };
    let request = encode(id, &sent, draw);
    ledger.send(id, sent);
    let (head, body) = request;
    channel.write(&head)?;
    if draw.chance(5) {
        std::thread::sleep(draw.millis(1, 60));
    }
    channel.write(&body)?;
    let leaves = draw.chance(LEAVES);
    if leaves && draw.chance(50) {
        std::thread::sleep(draw.millis(1, 60));
        return Ok(false);
    }
    let mut answer = channel.read_head()?;
    let status = answer.word(1).parse().unwrap_or(0);
    let is_own = answer.field("x-fireflywind-server-stamp").is_none();
    ledger.answer(id, status, is_own);
    let mut events = 0;
    let is_read = channel.read_body(&mut answer, |_| {
        events += 1;
        !(leaves && events > 3)
    });
    check(ledger, id, kind, status, &answer);
    let is_denied = matches!(status, 401 | 403 | 404) && is_own;
    if is_denied && !may_be_denied {
        ledger.find(format!("{id}: {status} for a permitted request"));
    }
    is_read?;
    if answer.is_whole && channel.has_more() {
        ledger.find(format!("{id}: extra bytes after the answer"));
    }
    Ok(answer.is_whole && answer.field("connection") != Some("close"))
}

fn encode(id: &str, sent: &Sent, draw: &mut Draw) -> (Vec<u8>, Vec<u8>) {
    let (target, key) = (&sent.target, &sent.key);
    let is_chunked = !sent.body.is_empty() && draw.chance(30);
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
        head += "X-Fireflywind-Prefix-Hash: 5c1e07a2:300,91bd3f06:100\r\n";
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
fn check(ledger: &Ledger, id: &str, kind: Kind, status: u16, answer: &Message) {
    if answer
        .field("x-fireflywind-request-id")
        .is_some_and(|echoed| echoed != id)
    {
        ledger.find(format!("{id}: received the answer to another request"));
        return;
    }
    if !(200..300).contains(&status) {
        return;
    }
    let stamp = answer.field("x-fireflywind-server-stamp");
    if !stamp.is_some_and(|s| s.ends_with(&format!(".{id}"))) {
        ledger.find(format!(
            "{id}: {status} with the wrong server stamp {stamp:?}"
        ));
        return;
    }
    let whole = if kind == Kind::Generation {
        (1..=EVENTS).map(|number| event(id, number)).collect()
    } else {
        whole_body(id)
    };
    let is_right = if answer.is_whole {
        answer.body == whole.as_bytes()
    } else {
        whole.as_bytes().starts_with(&answer.body)
    };
    if !is_right {
        let body = String::from_utf8_lossy(&answer.body);
        ledger.find(format!(
            "{id}: wrong body (complete: {}): {body:?}",
            answer.is_whole
        ));
    } else if answer.is_whole {
        ledger.deliver();
    }
}
