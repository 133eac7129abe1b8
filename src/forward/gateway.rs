//! A running gateway: listeners, background tasks and the graceful stop.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use actix_rt::time::{sleep, timeout};
use bytes::{BufMut, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::units::Millis;

use super::shared::{Shared, Stop};
use super::{client, containment, follow, rollouts, settle};

/// Length of the queue of connections that wait to be accepted.
const ACCEPT_BACKLOG_CONNECTIONS: u32 = 1_024;

/// Time after the stop request for which new connections are still accepted: the load balancer checks the
/// readiness each second and removes a gateway after two failed checks.
const STOP_ACCEPT_PERIOD: Millis = Millis(2_600);

/// Longest time for which the queue of the listener is emptied before it is closed. With the time for which connections
/// are accepted and linger, it ends within three seconds of the stop request, so that later requests, which might be cut
/// off, are not taken.
const MAX_QUEUE_DRAIN: Millis = Millis(100);

/// Time before the process would be killed at which it ends even if requests are in flight.
const STOP_MARGIN: Millis = Millis(500);

/// Time before that end at which requests without an answer get one, so that it can be written.
const ANSWER_MARGIN: Millis = Millis(250);

/// Interval of the checks for requests in flight during a stop, and the delay after a failed accept.
const STOP_POLL_INTERVAL: Millis = Millis(50);

/// Interval of the removal of expired connections, upstreams and health records.
const MAINTENANCE_INTERVAL: Millis = Millis(1_000);

/// Lateness from which a timer is logged: a tenth of the shortest time in which a change must be in force.
const LATE_TIMER_THRESHOLD: Millis = Millis(200);

/// Time limit for a request on the readiness or metrics address, from the end of the last one, and for its answer.
const STATUS_TIMEOUT: Millis = Millis(2_000);

/// Largest head of such a request.
const MAX_STATUS_HEAD_BYTES: usize = 8 * 1024;

/// Connections to such an address at one time; further ones are closed at once. Only the platform and operators use them.
const MAX_STATUS_CONNECTIONS: usize = 64;

/// Addresses that a gateway listens on.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Accepts the connections of clients.
    pub listen: SocketAddr,
    /// Serves the readiness check.
    pub ready: SocketAddr,
    /// Serves metrics.
    pub admin: SocketAddr,
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    shared: Rc<Shared>,
    accepting: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    addresses: Addresses,
}

impl Gateway {
    /// Binds the addresses and starts to follow the store.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn bind(shared: Rc<Shared>, addresses: Addresses) -> io::Result<Self> {
        let listener = listen(addresses.listen)?;
        let ready = listen(addresses.ready)?;
        let admin = listen(addresses.admin)?;
        let addresses = Addresses {
            listen: listener.local_addr()?,
            ready: ready.local_addr()?,
            admin: admin.local_addr()?,
        };
        let accepting = actix_rt::spawn(accept(Rc::clone(&shared), listener));
        let tasks = vec![
            actix_rt::spawn(follow::run(Rc::clone(&shared))),
            actix_rt::spawn(rollouts::decide_rollouts(Rc::clone(&shared))),
            actix_rt::spawn(containment::run(Rc::clone(&shared))),
            actix_rt::spawn(settle::run(Rc::clone(&shared))),
            actix_rt::spawn(serve_status(Rc::clone(&shared), ready)),
            actix_rt::spawn(serve_status(Rc::clone(&shared), admin)),
            actix_rt::spawn(run_maintenance(Rc::clone(&shared))),
        ];
        Ok(Self {
            shared,
            accepting,
            tasks,
            addresses,
        })
    }

    /// Returns the bound addresses.
    #[must_use]
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Stops gracefully; returns `true` if all requests ended in time.
    pub async fn stop(self) -> bool {
        let shared = &self.shared;
        shared.is_stopping.set(true);
        let started = shared.clock.now();
        let deadline = started + shared.policy().stop_grace.since(STOP_MARGIN);
        shared.stop.set(Some(Stop {
            requested_at: started,
            answers_at: Millis(deadline.0.saturating_sub(ANSWER_MARGIN.0)).max(started),
        }));
        shared.stop_requested.notify_waiters();
        let accept_period = STOP_ACCEPT_PERIOD.min(deadline.since(started));
        sleep(accept_period.duration()).await;
        shared.stop_accepting.notify_one();
        if let Err(error) = self.accepting.await {
            log::warn!(event = "accept_task_failed", error:% = error; "");
        }
        shared.is_closing_idle.set(true);
        shared.close_idle.notify_waiters();
        sleep(client::CLOSE_LINGER.duration()).await;
        while shared.in_flight.get() > 0 && shared.clock.now() < deadline {
            sleep(STOP_POLL_INTERVAL.duration()).await;
        }
        let left = shared.in_flight.get();
        log::info!(event = "stopped", cut_off = left, connections = shared.open_connections.get(); "");
        for task in &self.tasks {
            task.abort();
        }
        left == 0
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(ACCEPT_BACKLOG_CONNECTIONS)
}

async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    // Until the first listing, connections wait in the accept queue rather than be refused.
    let startup_wait = shared.policy().startup_wait.duration();
    if timeout(startup_wait, shared.loaded.notified())
        .await
        .is_err()
    {
        log::warn!(event = "start_without_store"; "");
    }
    let serve = |stream: TcpStream| {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "client_socket", error:% = error; "");
        }
        client::serve(Rc::clone(&shared), stream)
    };
    tokio::select! {
        () = accept_each(&listener, serve) => {}
        () = shared.stop_accepting.notified() => {}
    }
    // Closing the listener would reset the connections in its queue.
    let stopped_at = shared.clock.now();
    while shared.clock.now().since(stopped_at) < MAX_QUEUE_DRAIN {
        match timeout(STOP_POLL_INTERVAL.duration(), listener.accept()).await {
            Ok(Ok((stream, _peer))) => {
                actix_rt::spawn(serve(stream));
            }
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

/// Serves requests for the readiness and the metrics, one or several on a connection.
async fn serve_status(shared: Rc<Shared>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    accept_each(&listener, |stream| {
        let (shared, open) = (Rc::clone(&shared), Rc::clone(&open));
        async move {
            if open.get() < MAX_STATUS_CONNECTIONS {
                open.update(|n| n + 1);
                serve_status_connection(shared, stream).await;
                open.update(|n| n - 1);
            }
        }
    })
    .await;
}

/// Accepts connections and starts a task for each.
async fn accept_each<F>(listener: &TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                actix_rt::spawn(serve(stream));
            }
            Err(error) => {
                // Usually there are too many open files; some are closed in the meantime.
                log::warn!(event = "accept_failed", error:% = error; "");
                sleep(STOP_POLL_INTERVAL.duration()).await;
            }
        }
    }
}

async fn serve_status_connection(shared: Rc<Shared>, mut stream: TcpStream) {
    let mut buf = BytesMut::new();
    loop {
        let read = timeout(
            STATUS_TIMEOUT.duration(),
            read_status_request(&mut stream, &mut buf),
        );
        let Ok(Some(request)) = read.await else {
            return;
        };
        let target = request[..].split(|b| *b == b' ').nth(1).unwrap_or_default();
        let (status, body) = if target.ends_with(b"metrics") {
            ("200 OK", metrics(&shared))
        } else if shared.is_ready() {
            ("200 OK", "ready\n".to_owned())
        } else {
            ("503 Service Unavailable", "not ready\n".to_owned())
        };
        let mut out = BytesMut::new();
        let length = body.len();
        out.put_slice(format!("HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n").as_bytes());
        out.put_slice(format!("Content-Length: {length}\r\n\r\n{body}").as_bytes());
        let write = timeout(STATUS_TIMEOUT.duration(), stream.write_all(&out));
        if !matches!(write.await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Reads the head of a request; returns `None` if the connection ends or the head is too large.
async fn read_status_request(stream: &mut TcpStream, buf: &mut BytesMut) -> Option<BytesMut> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            return Some(buf.split_to(end + 4));
        }
        let length = stream.read_buf(buf).await.ok()?;
        if length == 0 || buf.len() > MAX_STATUS_HEAD_BYTES {
            return None;
        }
    }
}

/// Records by how much a timer was late, which is the time that a request waits for the processor.
fn record_timer_lateness(shared: &Shared, late: Millis) {
    let value = i64::try_from(late.0).unwrap_or(i64::MAX);
    shared.metrics.set_gauge("timer_late_ms", value);
    if late >= LATE_TIMER_THRESHOLD {
        log::warn!(event = "timer_late", late_ms = late.0; "");
    }
}

fn metrics(shared: &Shared) -> String {
    let value = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    let metrics = &shared.metrics;
    metrics.set_gauge("in_flight", value(shared.in_flight.get()));
    metrics.set_gauge("held_request_bytes", value(shared.request_memory.held()));
    metrics.set_gauge("held_bytes", value(shared.answer_memory.held()));
    metrics.set_gauge("connections", value(shared.open_connections.get()));
    let version = shared.table.borrow().version;
    metrics.set_gauge(
        "configuration_version",
        i64::try_from(version).unwrap_or(i64::MAX),
    );
    let age = shared.freshness.borrow().age(shared.clock.now());
    let age = age.map_or(-1, |age| i64::try_from(age.0).unwrap_or(i64::MAX));
    metrics.set_gauge("configuration_age_ms", age);
    metrics.set_gauge("upstreams", value(shared.fleet.borrow().all().count()));
    let era = shared.history.borrow().era();
    let era = era.map_or(-1, |era| i64::try_from(era.0).unwrap_or(i64::MAX));
    metrics.set_gauge("store_era", era);
    let contained = shared.evidence.borrow().contained();
    metrics.set_gauge("containments", value(contained));
    let limited = shared.named_limits.borrow().len();
    metrics.set_gauge("limited_upstreams", value(limited));
    let paused = shared.pauses.borrow().len(shared.clock.now());
    metrics.set_gauge("paused_upstreams", value(paused));
    let evacuated = shared.evacuations.borrow().len();
    metrics.set_gauge("evacuated_data_centres", value(evacuated));
    let leaving = shared.fleet.borrow().leaving_count();
    metrics.set_gauge("leaving_upstreams", value(leaving));
    metrics.text()
}

async fn run_maintenance(shared: Rc<Shared>) {
    loop {
        let due = shared.clock.now() + MAINTENANCE_INTERVAL;
        sleep(MAINTENANCE_INTERVAL.duration()).await;
        let now = shared.clock.now();
        record_timer_lateness(&shared, now.since(due));
        for departure in shared.departures.borrow_mut().take_due(now) {
            let last_send = departure
                .last_send
                .map_or(-1, |at| i128::from(at.since(departure.recorded_at).0));
            log::info!(event = "departure", upstream:% = departure.upstream, boot = departure.boot,
                word = departure.kind.name(), word_age_ms = departure.max_notice_age.0, sends = departure.sends,
                last_send_ms = last_send; "");
        }
        follow::expire(&shared, now);
        shared.pool.borrow_mut().expire(now);
        shared.pauses.borrow_mut().expire(now);
        let fleet = shared.fleet.borrow();
        (shared.health.borrow_mut()).retain(|id, boot| fleet.is_present(id, boot));
        (shared.named_limits.borrow_mut()).retain(|id, boot| fleet.is_present(id, boot));
        (shared.paces.borrow_mut()).retain(|id, boot| fleet.is_present(id, boot));
        let mut cold = shared.cold.borrow_mut();
        cold.tick(now);
        cold.retain(|id| fleet.has(id));
    }
}
