//! The HTTP server that all stand-ins use.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::{BodyStream, BoxBody, MessageBody as _};
use actix_http::header::{CONTENT_TYPE, HeaderMap};
use actix_http::{HttpMessage as _, HttpService, Method, Request, Response, StatusCode};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::task::JoinHandle;
use actix_rt::time::Instant;
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt as _, future::pending};
use futures_util::{Stream, StreamExt as _, select};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::Notify;

use crate::kv::LocalFuture;
use crate::units::Millis;

/// Largest body that a stand-in accepts, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A request with its complete body.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The path with the query.
    pub target: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Closes the server's connections on demand.
    pub control: Control,
}

impl Call {
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// The reply to send if the body is something else.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Reply::text(StatusCode::BAD_REQUEST, &error.to_string()))
    }

    /// Returns the method and the path for a `match`.
    #[must_use]
    pub fn route(&self) -> (&str, &str) {
        (self.method.as_str(), &self.path)
    }
}

/// A handler's reply to a call.
#[derive(Debug)]
pub enum Reply {
    /// A response.
    Answer(Response<BoxBody>),
    /// The connection closes without a response.
    HangUp,
}

impl Reply {
    /// Replies with JSON.
    ///
    /// # Panics
    /// Panics if the value has no JSON form, which would be a bug of the stand-in.
    #[must_use]
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("the value has a JSON form");
        let mut response = Response::build(status);
        response.insert_header((CONTENT_TYPE, "application/json"));
        Self::Answer(response.body(body).map_into_boxed_body())
    }

    /// Replies with an error in the format of OpenAI's API.
    #[must_use]
    pub fn text(status: StatusCode, message: &str) -> Self {
        Self::json(status, &serde_json::json!({"error": {"message": message}}))
    }

    /// Replies with a body that is sent as the stream yields it; an error closes the connection.
    ///
    /// # Panics
    /// Panics if the content type is not a valid header value.
    #[must_use]
    pub fn stream<S>(content_type: &'static str, stream: S) -> Self
    where
        S: Stream<Item = io::Result<Bytes>> + 'static,
    {
        let mut response = Response::build(StatusCode::OK);
        response.insert_header((CONTENT_TYPE, content_type));
        let body = BodyStream::new(stream.boxed_local()).boxed();
        let response = response.message_body(body);
        Self::Answer(response.expect("the content type is a valid header"))
    }
}

/// A handler of calls.
pub type Handler = Rc<dyn Fn(Call) -> LocalFuture<'static, Reply>>;

#[derive(Default)]
struct Shared {
    connections: RefCell<Vec<JoinHandle<()>>>,
    down_until: Cell<Option<Instant>>,
}

/// Closes a server's connections on demand.
#[derive(Clone, Default)]
pub struct Control {
    shared: Rc<Shared>,
}

impl fmt::Debug for Control {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Control")
            .field("connections", &self.shared.connections.borrow().len())
            .finish()
    }
}

impl Control {
    /// Closes all connections, and each new one at once until the downtime has passed.
    pub fn restart(&self, downtime: Millis) {
        let end = Instant::now() + downtime.duration();
        self.shared.down_until.set(Some(end));
        self.close_all();
    }

    fn close_all(&self) {
        for task in self.shared.connections.borrow_mut().drain(..) {
            task.abort();
        }
    }

    fn is_down(&self) -> bool {
        let until = self.shared.down_until.get();
        until.is_some_and(|end| Instant::now() < end)
    }

    fn track(&self, task: JoinHandle<()>) {
        let mut connections = self.shared.connections.borrow_mut();
        connections.retain(|task| !task.is_finished());
        connections.push(task);
    }
}

/// A running stand-in; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Running {
    addr: SocketAddr,
    control: Control,
    accept: Option<JoinHandle<()>>,
}

impl Running {
    /// Returns the address that the stand-in listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the handle that closes its connections.
    #[must_use]
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Closes the listener and all connections; new connections are refused afterwards.
    pub async fn stop(mut self) {
        self.shut_down();
        if let Some(accept) = self.accept.take() {
            // The task was aborted, so the result is always a cancellation error.
            let _ = accept.await;
        }
    }

    fn shut_down(&self) {
        if let Some(accept) = &self.accept {
            accept.abort();
        }
        self.control.close_all();
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// Starts a server on the current arbiter.
///
/// # Errors
/// An error of the operating system if the address cannot be bound.
pub fn bind(addr: SocketAddr, handler: Handler) -> io::Result<Running> {
    let listener = std::net::TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let addr = listener.local_addr()?;
    let control = Control::default();
    let accept = actix_rt::spawn(accept(listener, handler, control.clone()));
    Ok(Running {
        addr,
        control,
        accept: Some(accept),
    })
}

async fn accept(listener: TcpListener, handler: Handler, control: Control) {
    loop {
        let Ok((io, _peer)) = listener.accept().await else {
            continue;
        };
        if control.is_down() {
            continue;
        }
        let task = serve(io, Rc::clone(&handler), control.clone());
        control.track(actix_rt::spawn(task));
    }
}

async fn serve(io: TcpStream, handler: Handler, control: Control) {
    let hang_up = Rc::new(Notify::new());
    let handler_hang_up = Rc::clone(&hang_up);
    let answer = move |req: Request| {
        let handler = Rc::clone(&handler);
        let control = control.clone();
        let hang_up = Rc::clone(&handler_hang_up);
        async move { Ok::<_, Infallible>(respond(req, &handler, control, &hang_up).await) }
    };
    let factory = HttpService::build()
        // Detects a caller that closes its connection while the answer is streamed.
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .finish(fn_service(answer))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    select! {
        // A connection that ends with an error has no other effect.
        _ = service.call(io).fuse() => {}
        () = hang_up.notified().fuse() => {}
    }
}

async fn respond(
    mut req: Request,
    handler: &Handler,
    control: Control,
    hang_up: &Notify,
) -> Response<BoxBody> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
        if body.len() > MAX_BODY_BYTES {
            return Response::new(StatusCode::PAYLOAD_TOO_LARGE);
        }
    }
    let target = req.uri().path_and_query();
    let call = Call {
        method: req.method().clone(),
        path: req.path().to_owned(),
        target: target.map_or("/", |target| target.as_str()).to_owned(),
        headers: req.headers().clone(),
        body: body.freeze(),
        control,
    };
    match handler(call).await {
        Reply::Answer(response) => response,
        Reply::HangUp => {
            hang_up.notify_one();
            pending().await
        }
    }
}
