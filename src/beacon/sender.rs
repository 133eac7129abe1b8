//! The beacon's side: polls the upstream beside it and sends the load to subscribers.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use actix_rt::time::{sleep, timeout};
use tokio::net::UdpSocket;

use crate::clock::Clock;
use crate::forward::exchange;
use crate::forward::memory::Memory;
use crate::forward::pool::Conn;
use crate::router::named_limits::LimitWord;
use crate::router::rollout::Judged;
use crate::router::turns::{LEASE_LIFETIME, Places};
use crate::units::Millis;

use super::{Datagram, Load, MAX_DATAGRAM_BYTES, Subscription};

/// Pause between two polls of the upstream. Its queue changes within tens of milliseconds, but each load wakes up
/// every gateway.
pub(super) const POLL_PAUSE: Millis = Millis(150);

/// Time after which an unchanged load is sent again.
const RESEND_INTERVAL: Millis = Millis(450);

/// Time after which a subscription expires; gateways renew it every second.
const SUBSCRIPTION_LIFETIME: Millis = Millis(3_500);

/// Maximum number of subscribers; the target system has 410 gateways.
const MAX_SUBSCRIBERS: usize = 1_024;

/// Memory for what the upstream sends: a report of the largest size and its buffers.
const REPORT_MEMORY_BYTES: usize = 2 * 1024 * 1024;

/// Time limit for the upstream's load report.
pub(super) const REPORT_TIMEOUT: Millis = Millis(500);

/// Time without a report from which the upstream may have been away.
const MAX_SILENCE: Millis = Millis(1_000);

#[derive(Debug)]
struct Subscriber {
    addr: SocketAddr,
    until: Millis,
    answer_counts: Judged,
    limit: Option<Told>,
    asked_at_ms: u32,
    /// Whether it waits for a load.
    is_urgent: bool,
}

/// Age from which words are taken for equally old; words may be older than the process.
const OLDEST_WORD: Millis = Millis::from_secs(86_400);

/// What a gateway has been told of the upstream's limit, and when, in time since [`OLDEST_WORD`] before the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Told {
    at: Millis,
    per_1000_s: Option<u32>,
}

/// A running sender.
#[derive(Debug)]
pub struct Sender {
    tasks: [JoinHandle<()>; 2],
    addr: SocketAddr,
}

impl Sender {
    /// Binds `listen` and starts to poll the upstream.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn bind(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let socket = Rc::new(UdpSocket::bind(listen).await?);
        let addr = socket.local_addr()?;
        let clock = Clock::start();
        let subscribers: Rc<RefCell<Vec<Subscriber>>> = Rc::default();
        let receiving = receive_subscriptions(Rc::clone(&socket), Rc::clone(&subscribers), clock);
        let sending = send_loads(socket, subscribers, upstream, clock);
        Ok(Self {
            tasks: [actix_rt::spawn(receiving), actix_rt::spawn(sending)],
            addr,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the sender by aborting its tasks.
    pub fn stop(self) {
        for task in self.tasks {
            task.abort();
        }
    }
}

async fn receive_subscriptions(
    socket: Rc<UdpSocket>,
    subscribers: Rc<RefCell<Vec<Subscriber>>>,
    clock: Clock,
) {
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, addr) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                // The port of a subscriber is closed; its subscription will expire.
                log::debug!(event = "receive_failed", error:% = error; "");
                sleep(POLL_PAUSE.duration()).await;
                continue;
            }
        };
        let Some(Datagram::Subscribe(Subscription {
            answer_counts,
            limit: word,
            asked_at_ms,
            is_urgent,
        })) = Datagram::decode(&buf[..length])
        else {
            continue;
        };
        let now = clock.now();
        let until = now + SUBSCRIPTION_LIFETIME;
        let limit = word.map(|word| Told {
            at: (now + OLDEST_WORD).since(word.age),
            per_1000_s: word.per_1000_s,
        });
        let subscriber = Subscriber {
            addr,
            until,
            answer_counts,
            limit,
            asked_at_ms,
            is_urgent,
        };
        let mut subscribers = subscribers.borrow_mut();
        match subscribers.binary_search_by_key(&addr, |s| s.addr) {
            Ok(at) => subscribers[at] = subscriber,
            Err(at) if subscribers.len() < MAX_SUBSCRIBERS => {
                log::info!(event = "subscribed", gateway:% = addr; "");
                subscribers.insert(at, subscriber);
            }
            Err(_) => log::warn!(event = "too_many_subscribers", gateway:% = addr; ""),
        }
    }
}

async fn send_loads(
    socket: Rc<UdpSocket>,
    subscribers: Rc<RefCell<Vec<Subscriber>>>,
    upstream: SocketAddr,
    clock: Clock,
) {
    let (mut conn, mut last_sent, mut last_sent_at) = (None, None, Millis(0));
    let mut is_responding = true;
    let mut seq = 0;
    let (started_at, started_unix) = (clock.now(), clock.unix());
    let (mut places, mut answering) = (Places::default(), Answering::default());
    loop {
        sleep(POLL_PAUSE.duration()).await;
        let now = clock.now();
        subscribers.borrow_mut().retain(|s| s.until > now);
        if subscribers.borrow().is_empty() {
            continue;
        }
        let polled = timeout(REPORT_TIMEOUT.duration(), poll(&mut conn, upstream)).await;
        let load = polled.ok().flatten();
        if load.is_some() != is_responding {
            is_responding = load.is_some();
            log::info!(event = "upstream_state", is_known = is_responding; "");
        }
        let Some(load) = load else {
            conn = None;
            continue;
        };
        let answering_for = answering.observe(load.boot, now);
        places.retain(
            |addr| {
                let subscribers = subscribers.borrow();
                let found = subscribers.binary_search_by_key(&addr, |s| s.addr);
                found.is_ok()
            },
            now,
        );
        for subscriber in subscribers.borrow().iter() {
            places.reserve(subscriber.addr);
        }
        // A beacon that ran here before may have leased the turns of a process that is as old.
        let is_older = load.boot.is_none_or(|boot| boot.get() <= started_unix.0);
        let has_others = is_older && now.since(started_at) < LEASE_LIFETIME;
        let answer_counts = (subscribers.borrow().iter())
            .fold(Judged::default(), |sum, s| sum.plus(s.answer_counts));
        let told = (subscribers.borrow().iter())
            .filter_map(|s| s.limit)
            .max_by_key(|t| t.at);
        let state = Some((load, answer_counts.bad(), told.map(|t| t.per_1000_s)));
        let is_due = last_sent != state || now.since(last_sent_at) >= RESEND_INTERVAL;
        if is_due {
            (last_sent, last_sent_at) = (state, now);
        } else if !subscribers.borrow().iter().any(|s| s.is_urgent) {
            continue;
        }
        seq += 1;
        let gateways = u16::try_from(subscribers.borrow().len()).unwrap_or(u16::MAX);
        let load = Load {
            seq,
            gateways,
            answer_counts,
            limit: told.map(|t| LimitWord {
                per_1000_s: t.per_1000_s,
                age: (now + OLDEST_WORD).since(t.at),
            }),
            answering_for_ms: to_u32(answering_for),
            sent_at: clock.unix(),
            ..load
        };
        let mut due = Vec::new();
        for subscriber in subscribers.borrow_mut().iter_mut() {
            if is_due || std::mem::take(&mut subscriber.is_urgent) {
                due.push((subscriber.addr, subscriber.asked_at_ms));
            }
        }
        for (addr, asked_at_ms) in due {
            let lease = if has_others {
                None
            } else {
                places.lease(addr, now)
            };
            let bytes = Datagram::Load(Load {
                asked_at_ms,
                lease,
                ..load
            })
            .encode();
            if let Err(error) = socket.send_to(&bytes, addr).await {
                log::debug!(event = "send_failed", gateway:% = addr, error:% = error; "");
            }
        }
    }
}

/// Since when the upstream answers.
#[derive(Debug, Default)]
pub(super) struct Answering {
    since: Option<Millis>,
    last_at: Millis,
    boot: Option<NonZeroU64>,
}

impl Answering {
    /// Records an answer; returns for how long the process has answered without a silence. A single report may be lost on its
    /// way or come late.
    pub(super) fn observe(&mut self, boot: Option<NonZeroU64>, now: Millis) -> Millis {
        if now.since(self.last_at) > MAX_SILENCE || self.boot != boot {
            self.since = None;
        }
        (self.last_at, self.boot) = (now, boot);
        now.since(*self.since.get_or_insert(now))
    }
}

fn to_u32(time: Millis) -> u32 {
    u32::try_from(time.0).unwrap_or(u32::MAX)
}

/// Fetches the upstream's load report, over the connection of the previous poll if there is one.
async fn poll(idle_conn: &mut Option<Conn>, upstream: SocketAddr) -> Option<Load> {
    let mut conn = if let Some(conn) = idle_conn.take() {
        conn
    } else {
        let memory = Memory::open(REPORT_MEMORY_BYTES);
        exchange::connect(upstream, &memory).await.ok()?
    };
    let report = exchange::fetch_report(&mut conn, upstream, true).await?;
    *idle_conn = report.is_reusable.then_some(conn);
    let load = report.load;
    let count = |count: u64| u16::try_from(count).unwrap_or(u16::MAX);
    Some(Load {
        waiting: count(load.waiting),
        starting: count(load.starting),
        running: count(load.running),
        boot: load.boot.and_then(NonZeroU64::new),
        cold_left_ms: to_u32(report.cold_left),
        leaving_boot: (load.boot.filter(|_| report.is_leaving)).and_then(NonZeroU64::new),
        ..Load::default()
    })
}
