//! An in-memory network between gateways and agents, with faults.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use actix_rt::time::{sleep, timeout};
use fireflywind::peer::LinkError;
use fireflywind::units::Millis;
use tokio::sync::oneshot;

use super::agent::Agent;
use super::world::{Env, Proc};

/// Time for which the network holds a call that it lost; longer than every timeout.
const LOST: Millis = Millis::from_secs(30);

/// Faults of the network.
#[derive(Debug, Default)]
pub struct Faults {
    /// Lost messages in a hundred.
    pub loss: Cell<u64>,
    /// Longest additional time in transit; also reorders messages.
    pub delay: Cell<u64>,
    /// Repeated messages in a hundred.
    pub repeats: Cell<u64>,
    /// Data centres that are cut off from the others and from the key-value service.
    pub cut: RefCell<[bool; 3]>,
}

impl Faults {
    pub fn end(&self) {
        self.loss.set(0);
        self.delay.set(0);
        self.repeats.set(0);
        *self.cut.borrow_mut() = [false; 3];
    }

    fn separates(&self, a: usize, b: usize) -> bool {
        let cut = self.cut.borrow();
        a != b && (cut[a] || cut[b])
    }
}

/// A connection of a gateway to an agent.
#[derive(Debug)]
pub struct Conn {
    pub agent: Rc<Agent>,
    from: Rc<Proc>,
    /// Whether nothing passes any more although neither end closed the connection.
    pub silent: Cell<bool>,
}

/// What happens to a call on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// At most one delivery, as over a connection.
    Once,
    /// Perhaps two deliveries, as of a message that is sent again.
    Repeated,
}

/// Connects to the agent in a slot.
pub async fn connect(from: &Rc<Proc>, slot: usize, within: Millis) -> Result<Rc<Conn>, LinkError> {
    let env = &from.env;
    from.sleep(env.latency()).await;
    let refused = || LinkError::Unreachable("connection refused".to_owned());
    let to = env.agents.borrow()[slot].clone();
    let blocked = env.faults.separates(from.dc, super::world::AGENT_DC[slot]);
    if blocked || env.rng.chance(env.faults.loss.get()) {
        from.sleep(within).await;
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
        self.silent.get() || faults.separates(self.from.dc, self.agent.proc.dc)
    }

    /// Makes a call; it may still arrive after the deadline.
    pub async fn call<T: 'static, F>(
        self: &Rc<Self>,
        delivery: Delivery,
        within: Millis,
        op: impl Fn(Rc<Agent>) -> F + 'static,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = T> + 'static,
    {
        let env = &self.from.env;
        let (tx, rx) = oneshot::channel();
        let tx = Rc::new(RefCell::new(Some(tx)));
        let op = Rc::new(op);
        let twice = delivery == Delivery::Repeated && env.rng.chance(env.faults.repeats.get());
        for _ in 0..=usize::from(twice) {
            let (conn, tx, op) = (Rc::clone(self), Rc::clone(&tx), Rc::clone(&op));
            tokio::task::spawn_local(async move {
                let reply = conn.deliver(&*op).await;
                if let (Some(reply), Some(tx)) = (reply, tx.borrow_mut().take()) {
                    // The caller may have given up.
                    let _ = tx.send(reply);
                }
            });
        }
        drop(tx);
        let reply = timeout(within.duration(), rx).await;
        self.from.thaw().await;
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_closed)) => Err(LinkError::Broken("agent is gone".to_owned())),
            Err(_elapsed) => Err(LinkError::Timeout),
        }
    }

    /// Carries a call to the agent and its reply back; `None` if the agent ends before.
    async fn deliver<T, F: Future<Output = T>>(&self, op: &impl Fn(Rc<Agent>) -> F) -> Option<T> {
        self.transit().await?;
        let agent = &self.agent;
        let died = agent.proc.died.notified();
        if !agent.proc.is_alive() || agent.proc.is_quiet() {
            return None;
        }
        let served = async {
            agent.proc.thaw().await;
            op(Rc::clone(agent)).await
        };
        let reply = tokio::select! {
            biased;
            () = died => return None,
            reply = served => reply,
        };
        self.transit().await?;
        Some(reply)
    }

    /// Carries a message; `None` if it is lost, which the sender does not notice before its deadline.
    async fn transit(&self) -> Option<()> {
        let env: &Env = &self.from.env;
        sleep(env.latency().duration()).await;
        if !self.is_blocked() && !env.rng.chance(env.faults.loss.get()) {
            return Some(());
        }
        sleep(LOST.duration()).await;
        None
    }
}
