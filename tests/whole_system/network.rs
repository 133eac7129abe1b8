//! A simulated network between gateways and agents, with faults.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use actix_rt::time::{sleep, timeout};
use fireflywind::peer::LinkError;
use fireflywind::units::Millis;
use tokio::sync::oneshot;

use super::agent::Agent;
use super::world::{Env, Proc};

/// Time for which a lost message stays pending; longer than every timeout.
const LOST_MESSAGE_TIME: Millis = Millis::from_secs(30);

/// Faults of the network.
#[derive(Debug, Default)]
pub struct Faults {
    /// Percentage of messages that are lost.
    pub loss: Cell<u64>,
    /// Maximum additional latency in milliseconds; also reorders messages.
    pub delay: Cell<u64>,
    /// Percentage of repeatable calls that are delivered twice.
    pub repeats: Cell<u64>,
    /// Data centres that are partitioned from the others and from the key-value service.
    pub partitioned: RefCell<[bool; 3]>,
}

impl Faults {
    pub fn clear(&self) {
        self.loss.set(0);
        self.delay.set(0);
        self.repeats.set(0);
        *self.partitioned.borrow_mut() = [false; 3];
    }

    fn separates(&self, a: usize, b: usize) -> bool {
        let partitioned = self.partitioned.borrow();
        a != b && (partitioned[a] || partitioned[b])
    }
}

/// A connection of a gateway to an agent.
#[derive(Debug)]
pub struct Conn {
    pub agent: Rc<Agent>,
    from: Rc<Proc>,
    /// Whether all messages are lost although neither end has closed the connection.
    pub silent: Cell<bool>,
}

/// How often a call may be delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// At most once, as over a connection.
    Once,
    /// Up to twice, as a message that is resent.
    Repeated,
}

/// Connects to the agent in a slot.
pub async fn connect(
    from: &Rc<Proc>,
    slot: usize,
    time_limit: Millis,
) -> Result<Rc<Conn>, LinkError> {
    let env = &from.env;
    from.sleep(env.latency()).await;
    let refused = || LinkError::Unreachable("connection refused".to_owned());
    let to = env.agents.borrow()[slot].clone();
    let blocked = env
        .faults
        .separates(from.data_centre, super::world::AGENT_DATA_CENTRES[slot]);
    if blocked || env.rng.percent_chance(env.faults.loss.get()) {
        from.sleep(time_limit).await;
        return Err(refused());
    }
    let agent = to.filter(|a| a.proc.is_alive()).ok_or_else(refused)?;
    let conn = Rc::new(Conn {
        agent,
        from: Rc::clone(from),
        silent: Cell::new(false),
    });
    env.conns.borrow_mut().push(Rc::downgrade(&conn));
    Ok(conn)
}

impl Conn {
    fn is_blocked(&self) -> bool {
        let faults = &self.from.env.faults;
        self.silent.get() || faults.separates(self.from.data_centre, self.agent.proc.data_centre)
    }

    /// Makes a call; it may still be delivered after the timeout.
    pub async fn call<T: 'static, F>(
        self: &Rc<Self>,
        delivery: Delivery,
        time_limit: Millis,
        op: impl Fn(Rc<Agent>) -> F + 'static,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = T> + 'static,
    {
        let env = &self.from.env;
        let (tx, rx) = oneshot::channel();
        let tx = Rc::new(RefCell::new(Some(tx)));
        let op = Rc::new(op);
        let twice =
            delivery == Delivery::Repeated && env.rng.percent_chance(env.faults.repeats.get());
        for _ in 0..=usize::from(twice) {
            let (conn, tx, op) = (Rc::clone(self), Rc::clone(&tx), Rc::clone(&op));
            tokio::task::spawn_local(async move {
                let reply = conn.deliver(&*op).await;
                if let (Some(reply), Some(tx)) = (reply, tx.borrow_mut().take()) {
                    // The caller may have timed out.
                    let _ = tx.send(reply);
                }
            });
        }
        drop(tx);
        let reply = timeout(time_limit.duration(), rx).await;
        self.from.wait_while_suspended().await;
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_closed)) => Err(LinkError::Broken("agent is gone".to_owned())),
            Err(_elapsed) => Err(LinkError::Timeout),
        }
    }

    /// Delivers a call to the agent and returns its reply; `None` if a message is lost or the agent ends before.
    async fn deliver<T, F: Future<Output = T>>(&self, op: &impl Fn(Rc<Agent>) -> F) -> Option<T> {
        self.transit().await?;
        let agent = &self.agent;
        let killed = agent.proc.killed.notified();
        if !agent.proc.is_alive() || agent.proc.has_no_periodic_work() {
            return None;
        }
        let served = async {
            agent.proc.wait_while_suspended().await;
            op(Rc::clone(agent)).await
        };
        let reply = tokio::select! {
            biased;
            () = killed => return None,
            reply = served => reply,
        };
        self.transit().await?;
        Some(reply)
    }

    /// Transmits a message; returns `None` if it is lost, but only after every timeout of the sender.
    async fn transit(&self) -> Option<()> {
        let env: &Env = &self.from.env;
        sleep(env.latency().duration()).await;
        if !self.is_blocked() && !env.rng.percent_chance(env.faults.loss.get()) {
            return Some(());
        }
        sleep(LOST_MESSAGE_TIME.duration()).await;
        None
    }
}
