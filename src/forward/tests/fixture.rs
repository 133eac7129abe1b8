//! A gateway on loopback with a store in memory and scripted upstreams.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::forward::follow::{
    ControlPlane, ControlPlaneError, Listing, RolloutWrite, StoreAnswer, StoreEvent,
};
use crate::forward::gateway::{Addresses, Gateway};
use crate::forward::shared::{Policy, Shared};
use crate::kv::LocalFuture;
use crate::router::comparison::AnswerReport;
use crate::router::fleet::{Upstream, UpstreamState};
use crate::router::history::Era;
use crate::router::homes::Regions;
use crate::router::retry::RetryBounds;
use crate::router::table::{
    Account, ClientLimits, RequestKind, Route, RouteTable, ServiceSettings, Target,
};
use crate::suspect::EvidenceWrite;
use crate::units::Millis;

/// A store that lists the given events once and has no changes after them.
pub(super) struct FixedStore {
    events: RefCell<Vec<StoreEvent>>,
}

impl FixedStore {
    pub(super) const fn open(events: Vec<StoreEvent>) -> Self {
        Self {
            events: RefCell::new(events),
        }
    }
}

impl ControlPlane for FixedStore {
    fn list(&self) -> LocalFuture<'_, StoreAnswer<Listing>> {
        let events = self.events.take();
        Box::pin(async {
            let listing = Listing {
                events,
                revision: 1,
            };
            StoreAnswer::of(Ok(listing), Era::UNNAMED)
        })
    }

    fn watch(&self, after: u64, wait: Millis) -> LocalFuture<'_, StoreAnswer<Listing>> {
        Box::pin(async move {
            actix_rt::time::sleep(wait.duration()).await;
            let listing = Listing {
                events: Vec::new(),
                revision: after,
            };
            StoreAnswer::of(Ok(listing), Era::UNNAMED)
        })
    }

    fn write_rollout(&self, _write: RolloutWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_settled(&self, _settled: Era) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_answers(&self, _report: AnswerReport) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }

    fn write_evidence(&self, _write: EvidenceWrite) -> LocalFuture<'_, StoreAnswer<u64>> {
        Box::pin(async { StoreAnswer::of(Err(ControlPlaneError::Conflict), Era::UNNAMED) })
    }
}

/// What a scripted upstream does with one request.
#[derive(Debug, Clone)]
pub(super) enum Action {
    /// Writes these bytes, with `ID` replaced by the request's id, and keeps the connection open.
    Write(&'static str),
    /// Writes these bytes in the same way and closes the connection.
    WriteAndClose(&'static str),
    /// Closes the connection without an answer.
    Close,
    /// Does not answer and keeps the connection open.
    Hang,
}

/// An upstream that answers by a script and records its requests.
pub(super) struct ScriptedUpstream {
    pub(super) addr: SocketAddr,
    pub(super) requests: Rc<RefCell<Vec<String>>>,
    /// Number of connections that the gateway closed while a request hung.
    pub(super) disconnects: Rc<RefCell<usize>>,
}

/// Starts an upstream that answers by a script; the last action is repeated.
pub(super) async fn scripted_upstream(actions: Vec<Action>) -> ScriptedUpstream {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback can be bound");
    let addr = listener.local_addr().expect("the listener is bound");
    let requests: Rc<RefCell<Vec<String>>> = Rc::default();
    let disconnects: Rc<RefCell<usize>> = Rc::default();
    let (received, closed) = (Rc::clone(&requests), Rc::clone(&disconnects));
    actix_rt::spawn(async move {
        let actions = Rc::new(actions);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let (actions, received, closed) = (
                Rc::clone(&actions),
                Rc::clone(&received),
                Rc::clone(&closed),
            );
            actix_rt::spawn(follow_script(stream, actions, received, closed));
        }
    });
    ScriptedUpstream {
        addr,
        requests,
        disconnects,
    }
}

async fn follow_script(
    mut stream: TcpStream,
    actions: Rc<Vec<Action>>,
    received: Rc<RefCell<Vec<String>>>,
    closed: Rc<RefCell<usize>>,
) {
    while let Some(text) = read_message(&mut stream).await {
        let id = field(&text, "X-Fireflywind-Request-Id")
            .unwrap_or_default()
            .to_owned();
        let at = received.borrow().len();
        received.borrow_mut().push(text);
        let action = actions
            .get(at)
            .or(actions.last())
            .cloned()
            .expect("the script is not empty");
        match action {
            Action::Write(bytes) => {
                if stream
                    .write_all(bytes.replace("ID", &id).as_bytes())
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Action::WriteAndClose(bytes) => {
                // The gateway may have closed the connection already.
                let _ = stream.write_all(bytes.replace("ID", &id).as_bytes()).await;
                return;
            }
            Action::Close => return,
            Action::Hang => {
                let mut rest = Vec::new();
                // Ends when the gateway closes the connection.
                let _ = stream.read_to_end(&mut rest).await;
                *closed.borrow_mut() += 1;
                return;
            }
        }
    }
}

/// Reads a head and its body, or what has arrived at the end of the connection; `None` if that is nothing.
pub(super) async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let whole = String::from_utf8_lossy(&text).into_owned();
        if let Some(end) = whole.find("\r\n\r\n") {
            let length: usize = field(&whole, "Content-Length")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            let is_chunked = field(&whole, "Transfer-Encoding").is_some();
            let is_whole = if is_chunked {
                whole.ends_with("0\r\n\r\n")
            } else {
                whole.len() >= end + 4 + length
            };
            if is_whole {
                return Some(whole);
            }
        }
        let mut buf = [0; 4_096];
        match stream.read(&mut buf).await {
            Ok(length) if length > 0 => text.extend_from_slice(&buf[..length]),
            _ if text.is_empty() => return None,
            _ => return Some(String::from_utf8_lossy(&text).into_owned()),
        }
    }
}

/// Returns the value of a header field.
pub(super) fn field<'a>(message: &'a str, name: &str) -> Option<&'a str> {
    let head = message.split("\r\n\r\n").next()?;
    head.split("\r\n").skip(1).find_map(|line| {
        let (field_name, value) = line.split_once(':')?;
        field_name.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Returns the status of a response, or 0.
pub(super) fn status(response: &str) -> u16 {
    let code = response.split(' ').nth(1);
    code.and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Starts a gateway for these upstreams and waits until it is ready. The routes are `/safe/`, `/open/`, `/once/`,
/// `/stream/` and `/model/`.
pub(super) async fn gateway(upstreams: &[&ScriptedUpstream]) -> Gateway {
    let gateway = start(FixedStore::open(events(upstreams)));
    gateway_ready(&gateway).await;
    gateway
}

/// Waits until a gateway is ready.
pub(super) async fn gateway_ready(gateway: &Gateway) {
    while !is_ready(gateway).await {
        actix_rt::time::sleep(Millis(5).duration()).await;
    }
}

/// Returns the events of a listing with the configuration and these upstreams, named `u0`, `u1` and so on.
pub(super) fn events(upstreams: &[&ScriptedUpstream]) -> Vec<StoreEvent> {
    let upstreams = upstreams.iter().enumerate();
    let upstreams =
        upstreams.map(|(n, upstream)| StoreEvent::Upstream(registered(n, upstream.addr)));
    let table = StoreEvent::Table(Rc::new(table()), 1);
    std::iter::once(table).chain(upstreams).collect()
}

/// Returns the registration of an upstream that takes requests.
pub(super) fn registered(n: usize, addr: SocketAddr) -> Upstream {
    Upstream {
        id: format!("u{n}").into(),
        addr,
        service: "pool".into(),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: 8,
        state: UpstreamState::Ready,
        boot: 1,
        seq: 1,
        warm_up: Millis(0),
    }
}

/// Starts a gateway that follows a store.
pub(super) fn start(control: impl ControlPlane + 'static) -> Gateway {
    serve(Shared::open(policy(), Box::new(control)))
}

/// Starts a gateway with a state that the test can inspect.
pub(super) fn serve(shared: Rc<Shared>) -> Gateway {
    let any = "127.0.0.1:0".parse().expect("the address is valid");
    let addresses = Addresses {
        listen: any,
        ready: any,
        admin: any,
    };
    Gateway::bind(shared, addresses).expect("loopback can be bound")
}

/// Returns the settings of a gateway in a small deployment.
pub(super) fn policy() -> Policy {
    Policy {
        name: "gateway".into(),
        data_centre: "a".into(),
        memory: 260_000_000,
        retries: RetryBounds {
            ratio: 1.0,
            window: Millis::from_secs(10),
            slack: 3_200.0,
        },
        key_revocation: Some(Millis::from_secs(5)),
        exposure_permille: 100,
        session_idle_timeout: Millis::from_secs(5),
        stop_grace: Millis::from_secs(8),
        catch_up: Millis(3_000),
        change_bound: Millis(2_000),
        heartbeat: Millis(1_200),
        startup_wait: Millis::from_secs(60),
        cold: None,
        regions: Rc::new(regions()),
        orders_under_shortage: false,
    }
}

/// Returns the regions of the data centres: `a` and `b` are in the first, `c` is in the second.
fn regions() -> Regions {
    let regions = [("a", "first"), ("b", "first"), ("c", "second")];
    Regions::new(
        regions
            .map(|(name, region)| (name.into(), region.into()))
            .to_vec(),
    )
}

/// Requests the readiness of the gateway.
pub(super) async fn is_ready(gateway: &Gateway) -> bool {
    let mut stream = connect(gateway.addresses().ready).await;
    let question = b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n";
    stream.write_all(question).await.expect("the gateway reads");
    let answer = read_message(&mut stream).await;
    answer.is_some_and(|answer| status(&answer) == 200)
}

pub(super) async fn connect(addr: SocketAddr) -> TcpStream {
    TcpStream::connect(addr)
        .await
        .expect("the address accepts connections")
}

/// Sends a request on a connection of its own and returns the answer.
pub(super) async fn send(gateway: &Gateway, method: &str, path: &str, fields: &str) -> String {
    let mut stream = connect(gateway.addresses().listen).await;
    let message = message(method, path, fields);
    stream
        .write_all(message.as_bytes())
        .await
        .expect("the gateway reads");
    read_message(&mut stream).await.unwrap_or_default()
}

/// Returns a request with an id, a valid key and a deadline.
pub(super) fn message(method: &str, path: &str, fields: &str) -> String {
    let body = if method == "POST" { "hello" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Fireflywind-Request-Id: r1\r\n\
         Authorization: Token key-1\r\nX-Fireflywind-Deadline-Ms: 3000\r\n{fields}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub(super) fn table() -> RouteTable {
    let route = |name: &str, kind, models: &[&str]| {
        Rc::new(Route {
            name: name.into(),
            host: "h.example".into(),
            prefix: format!("/{name}/").into(),
            kind,
            timeout: Millis(3_000),
            latency_target: Millis(400),
            priority: 2,
            attempts: 3,
            is_public: name == "open",
            has_prompts: !models.is_empty(),
            max_event_gap: Millis(400),
            models: models.iter().map(|m| Rc::from(*m)).collect(),
            targets: vec![Target {
                service: "pool".into(),
                weight: 1,
            }],
            homes: Vec::new(),
        })
    };
    let routes = vec![
        route("safe", RequestKind::Idempotent, &[]),
        route("open", RequestKind::Idempotent, &[]),
        route("once", RequestKind::AtMostOnce, &[]),
        route("stream", RequestKind::ResumableStream, &[]),
        route("model", RequestKind::ResumableStream, &["s", "m", "l"]),
    ];
    let services = vec![ServiceSettings {
        name: "pool".into(),
        max_connections: 100,
        is_engine: false,
        // Without a bound in the settings this has no effect.
        cold: Millis::from_secs(60),
        cold_per_s: 1.0,
        model_prices: Vec::new(),
    }];
    let account = Rc::new(Account {
        name: "shop".into(),
        priority: None,
        homes: Vec::new(),
    });
    let keys = vec![(Rc::from("key-1"), account)];
    RouteTable::new(1, routes, services, Some(keys), ClientLimits::default())
}

/// Returns the route `/safe/` with home regions.
pub(super) fn route_with_homes(homes: &[&str]) -> Route {
    let table = table();
    let route = table.route("h.example", "/safe/");
    Route {
        homes: homes.iter().map(|region| Rc::from(*region)).collect(),
        ..Route::clone(route.expect("the table has the route"))
    }
}

/// Returns an account with home regions.
pub(super) fn account_with_homes(homes: &[&str]) -> Account {
    Account {
        name: "shop".into(),
        priority: None,
        homes: homes.iter().map(|region| Rc::from(*region)).collect(),
    }
}

/// Starts an upstream that writes the same answer after some time.
pub(super) async fn slow_upstream(answer: &'static str, delay: Millis) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback can be bound");
    let addr = listener.local_addr().expect("the listener is bound");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                while let Some(text) = read_message(&mut stream).await {
                    let id = field(&text, "X-Fireflywind-Request-Id").unwrap_or_default();
                    actix_rt::time::sleep(delay.duration()).await;
                    let written = stream.write_all(answer.replace("ID", id).as_bytes()).await;
                    if written.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Runs a test on its own runtime; the sockets are real, so the clock is not paused.
pub(super) fn run<F: Future>(test: F) -> F::Output {
    actix_rt::System::new().block_on(test)
}
