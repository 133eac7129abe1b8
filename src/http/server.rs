//! Accepts connections and limits the size and the duration of requests.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage as _, HttpService, Request, Response};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::task::JoinHandle;
use actix_rt::time::{sleep, timeout};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use tokio::sync::Notify;

use super::{Handler, Incoming, Outgoing};
use crate::refusal::{Code, Refusal};
use crate::units::Millis;

/// Pause after a failed accept, such as one for lack of file descriptors, and while all connections are in use.
const ACCEPT_PAUSE: Millis = Millis(50);

/// Limits on connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Largest sum of header names and values in bytes.
    pub header_bytes: usize,
    /// Time limit for receiving the head of a request, and again for its body.
    pub receive_timeout: Millis,
    /// Connections at one time; further ones wait in the listener's backlog.
    pub connections: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body_bytes: 8 << 20,
            header_bytes: 32 << 10,
            receive_timeout: Millis::from_secs(10),
            connections: 10_000,
        }
    }
}

#[derive(Debug, Default)]
struct Shared {
    connections: RefCell<Vec<JoinHandle<()>>>,
    /// Requests whose handler or response body is not finished.
    open_requests: Cell<usize>,
    request_closed: Notify,
    stopping: Cell<bool>,
}

/// A running listener; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Running {
    addr: SocketAddr,
    accept: JoinHandle<()>,
    shared: Rc<Shared>,
}

impl Running {
    /// Returns the bound address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections and waits until no request is open.
    ///
    /// Returns whether all requests ended before the deadline.
    pub async fn drain(&self, deadline: Millis) -> bool {
        self.accept.abort();
        self.shared.stopping.set(true);
        let all_closed = async {
            while self.shared.open_requests.get() > 0 {
                self.shared.request_closed.notified().await;
            }
        };
        timeout(deadline.duration(), all_closed).await.is_ok()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.accept.abort();
        for task in self.shared.connections.borrow().iter() {
            task.abort();
        }
    }
}

/// Counts a request as open until it is dropped.
struct OpenRequest(Rc<Shared>);

impl OpenRequest {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.open_requests.set(shared.open_requests.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
        self.0.request_closed.notify_waiters();
    }
}

/// Binds an address and serves it on the current arbiter until the handle is dropped.
///
/// # Errors
/// The error of the operating system if the address cannot be bound.
pub fn bind(addr: SocketAddr, bounds: Bounds, handler: Handler) -> io::Result<Running> {
    let listener = std::net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let addr = listener.local_addr()?;
    let shared = Rc::new(Shared::default());
    let accept = actix_rt::spawn(accept(listener, bounds, handler, Rc::clone(&shared)));
    Ok(Running {
        addr,
        accept,
        shared,
    })
}

async fn accept(listener: TcpListener, bounds: Bounds, handler: Handler, shared: Rc<Shared>) {
    loop {
        let full = shared.connections.borrow().len() >= bounds.connections;
        if full {
            shared
                .connections
                .borrow_mut()
                .retain(|task| !task.is_finished());
            if shared.connections.borrow().len() >= bounds.connections {
                sleep(ACCEPT_PAUSE.duration()).await;
                continue;
            }
        }
        match listener.accept().await {
            Ok((io, _)) => {
                let task = serve(io, bounds, Rc::clone(&handler), Rc::clone(&shared));
                shared.connections.borrow_mut().push(actix_rt::spawn(task));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "");
                sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
}

async fn serve(io: TcpStream, bounds: Bounds, handler: Handler, shared: Rc<Shared>) {
    let answer = move |req: Request| {
        let handler = Rc::clone(&handler);
        let shared = Rc::clone(&shared);
        async move { Ok::<_, Infallible>(respond(req, bounds, &handler, &shared).await) }
    };
    let factory = HttpService::build()
        .client_request_timeout(bounds.receive_timeout.duration())
        // Detects a caller that closes its connection while the answer is streamed.
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .finish(fn_service(answer))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    // A connection that ends with an error has no other effect.
    let _ = service.call(io).await;
}

async fn respond(
    mut req: Request,
    bounds: Bounds,
    handler: &Handler,
    shared: &Rc<Shared>,
) -> Response<BoxBody> {
    let open = OpenRequest::new(shared);
    let (outgoing, received) = match receive(&mut req, bounds).await {
        Err(refusal) => (Outgoing::refusal(&refusal), false),
        Ok(body) => (handler(incoming(&req, body)).await, true),
    };
    let mut response = outgoing.response;
    if shared.stopping.get() || !received {
        // No request is served after a stop, and the rest of a refused body is not read.
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response.map_body(|_, body| count_until_sent(body, open))
}

/// Counts a request as open until its response body has been sent or dropped.
fn count_until_sent(body: BoxBody, open: OpenRequest) -> BoxBody {
    use actix_http::body::{BodySize, MessageBody};
    use std::pin::Pin;
    use std::task::{Context, Poll};

    struct CountedBody {
        body: BoxBody,
        _open: OpenRequest,
    }

    impl MessageBody for CountedBody {
        type Error = Box<dyn std::error::Error>;

        fn size(&self) -> BodySize {
            self.body.size()
        }

        fn poll_next(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
        ) -> Poll<Option<Result<Bytes, Self::Error>>> {
            Pin::new(&mut self.body).poll_next(cx)
        }
    }

    BoxBody::new(CountedBody { body, _open: open })
}

async fn receive(req: &mut Request, bounds: Bounds) -> Result<Bytes, Refusal> {
    let header_bytes: usize = req
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if header_bytes > bounds.header_bytes {
        let message = format!("headers are over {} bytes", bounds.header_bytes);
        return Err(Refusal::not_run(Code::TooLarge, message));
    }
    let mut payload = req.take_payload();
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk
                .map_err(|error| Refusal::not_run(Code::BadRequest, format!("body: {error}")))?;
            if body.len() + chunk.len() > bounds.body_bytes {
                let message = format!("body is over {} bytes", bounds.body_bytes);
                return Err(Refusal::not_run(Code::TooLarge, message));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    match timeout(bounds.receive_timeout.duration(), read).await {
        Ok(outcome) => outcome,
        Err(_elapsed) => {
            let message = format!("body did not arrive within {}", bounds.receive_timeout);
            Err(Refusal::not_run(Code::SlowRequest, message))
        }
    }
}

fn incoming(req: &Request, body: Bytes) -> Incoming {
    let target = req.uri().path_and_query();
    Incoming {
        method: req.method().clone(),
        path: req.path().to_owned(),
        target: target.map_or("/", |target| target.as_str()).to_owned(),
        headers: req.headers().clone(),
        body,
    }
}
