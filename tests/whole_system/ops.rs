//! The calls and faults of random sequences.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use actix_rt::time::sleep;
use fireflywind::ids::VersionRef;
use fireflywind::record::RequestedTarget;
use fireflywind::sheet::{Sheet, VersionState};
use fireflywind::units::Millis;
use quickcheck::{Arbitrary, Gen};

use super::callers::Transcript;
use super::jobs::CallerRequest;
use super::runs::CRASH;
use super::store::WriteFault;
use super::world::{AGENTS, GATEWAY_DATA_CENTRES, World};

/// One call or fault.
#[derive(Debug, Clone, Copy)]
pub enum Op {
    Chat {
        gateway: u8,
        kind: u8,
        streamed: bool,
        session: bool,
    },
    /// A request that crashes the engine on which it runs.
    Crash {
        gateway: u8,
        body: u8,
    },
    /// An order with an idempotency key, sent once or through two gateways at once; the key may be an earlier one.
    Order {
        gateway: u8,
        key: u8,
        body: bool,
        twice: bool,
    },
    /// An order whose key has expired or has a time in the future.
    BadKey {
        gateway: u8,
        future: bool,
    },
    Apply {
        change: u8,
        twice: bool,
    },
    RepeatApply,
    EngineOrder {
        gateway: u8,
    },
    Wait(u16),
    StopGateway(u8),
    StopAgent(u8),
    Leave(u8),
    Network {
        loss: u8,
        delay: u16,
        repeats: u8,
    },
    SilenceConnection(u8),
    KillGateway(u8),
    KillAgent(u8),
    Suspend {
        process: u8,
        time: u16,
    },
    Outage(bool),
    WriteFault(u8),
    Partition {
        data_centre: u8,
        cut: bool,
    },
    BreakCall(u8),
}

impl Op {
    /// Generates a call of a caller or an operator, a planned stop or a wait.
    fn call(g: &mut Gen) -> Self {
        let gateway = u8::arbitrary(g);
        match u8::arbitrary(g) % 13 {
            0..3 => Self::Chat {
                gateway,
                kind: u8::arbitrary(g),
                streamed: bool::arbitrary(g),
                session: bool::arbitrary(g),
            },
            3..6 => Self::Order {
                gateway,
                key: u8::arbitrary(g) % 4,
                body: u8::arbitrary(g).is_multiple_of(8),
                twice: bool::arbitrary(g),
            },
            6..9 => Self::Wait(u16::arbitrary(g) % 1_500),
            9 => Self::EngineOrder { gateway },
            10 => Self::Apply {
                change: u8::arbitrary(g),
                twice: u8::arbitrary(g).is_multiple_of(4),
            },
            11 => match u8::arbitrary(g) % 3 {
                0 => Self::RepeatApply,
                1 => Self::Wait(4_000),
                _ => Self::BadKey {
                    gateway,
                    future: bool::arbitrary(g),
                },
            },
            _ => match u8::arbitrary(g) % 3 {
                0 => Self::StopGateway(gateway),
                1 => Self::StopAgent(gateway),
                _ => Self::Leave(gateway),
            },
        }
    }

    fn fault(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        match u8::arbitrary(g) % 14 {
            0 | 1 => Self::Network {
                loss: u8::arbitrary(g) % 3 * 10,
                delay: u16::arbitrary(g) % 3 * 400,
                repeats: u8::arbitrary(g) % 3 * 20,
            },
            2 => Self::SilenceConnection(pick),
            3 => Self::KillGateway(pick),
            4 | 5 => Self::KillAgent(pick),
            6 => Self::Suspend {
                process: pick,
                time: u16::arbitrary(g) % 15_000,
            },
            7 => Self::Outage(bool::arbitrary(g)),
            8 | 9 => Self::WriteFault(pick),
            10 => Self::Partition {
                data_centre: pick,
                cut: bool::arbitrary(g),
            },
            11 => Self::BreakCall(pick),
            12 => Self::Crash {
                gateway: pick,
                body: u8::arbitrary(g) % 2,
            },
            // Longer than `MAX_STALENESS`.
            _ => Self::Wait(25_000),
        }
    }
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        if u8::arbitrary(g).is_multiple_of(4) {
            Self::fault(g)
        } else {
            Self::call(g)
        }
    }
}

/// An operation that is not a fault.
#[derive(Debug, Clone, Copy)]
pub struct FaultFree(pub Op);

impl Arbitrary for FaultFree {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(Op::call(g))
    }
}

fn slot(pick: u8, len: usize) -> usize {
    usize::from(pick) % len
}

/// Idempotency keys that callers have used.
#[derive(Debug, Default)]
pub struct Keys(RefCell<Vec<String>>);

impl World {
    pub async fn perform(&self, op: Op, keys: &Keys) {
        let env = &self.env;
        self.record_fault(op);
        match op {
            Op::Chat {
                gateway,
                kind,
                streamed,
                session,
            } => {
                self.chat(
                    slot(gateway, GATEWAY_DATA_CENTRES.len()),
                    kind,
                    streamed,
                    session,
                );
            }
            Op::Crash { gateway, body } => {
                let asked = RequestedTarget::Class("tags".into());
                let body = format!("{CRASH}{body}");
                self.send(
                    slot(gateway, GATEWAY_DATA_CENTRES.len()),
                    caller_request("shop", asked, body),
                    None,
                );
            }
            Op::Order {
                gateway,
                key,
                body,
                twice,
            } => {
                let key = self.key(key, keys);
                let gateway = slot(gateway, GATEWAY_DATA_CENTRES.len());
                self.order(gateway, key.clone(), body);
                if twice {
                    self.order((gateway + 1) % GATEWAY_DATA_CENTRES.len(), key, body);
                }
            }
            Op::BadKey { gateway, future } => {
                let now = env.clock.unix();
                let day = Millis::from_secs(90_000);
                let time = if future { now + day } else { now.since(day) };
                self.order(
                    slot(gateway, GATEWAY_DATA_CENTRES.len()),
                    new_key(time, env.rng.draw()),
                    false,
                );
            }
            Op::Apply { change, twice } => {
                let Some((base, sheet)) = env.oracle.newest() else {
                    return;
                };
                for shift in 0..=u8::from(twice) {
                    self.apply(
                        changed(sheet.clone(), change.wrapping_add(shift)),
                        Some(base),
                    );
                }
            }
            Op::RepeatApply => {
                let last = self.last_apply.borrow().clone();
                if let Some((sheet, base, id)) = last {
                    self.run_apply(sheet, base, id);
                }
            }
            Op::EngineOrder { gateway } => {
                if let Some(gateway) = self.gateway(slot(gateway, GATEWAY_DATA_CENTRES.len())) {
                    gateway.proc.spawn(Rc::clone(&gateway).send_engine_order());
                }
            }
            Op::Wait(time) => sleep(Millis(time.into()).duration()).await,
            Op::StopGateway(pick) => {
                if let Some(gateway) = self.gateway(slot(pick, GATEWAY_DATA_CENTRES.len())) {
                    gateway
                        .proc
                        .spawn(Rc::clone(&gateway).stop(Millis::from_secs(30)));
                }
            }
            Op::StopAgent(pick) => {
                if let Some(agent) = self.agent(slot(pick, AGENTS.len())) {
                    agent
                        .proc
                        .spawn(Rc::clone(&agent).stop(Millis::from_secs(30)));
                }
            }
            Op::Leave(pick) => {
                if let Some(agent) = self.agent(slot(pick, AGENTS.len())) {
                    agent.leave();
                }
            }
            fault => self.inject(fault),
        }
    }

    fn record_fault(&self, op: Op) {
        let is_fault_free = matches!(
            op,
            Op::Chat { .. }
                | Op::Order { .. }
                | Op::BadKey { .. }
                | Op::Apply { .. }
                | Op::RepeatApply
                | Op::EngineOrder { .. }
                | Op::Wait(0..=4_000)
                | Op::StopGateway(_)
                | Op::StopAgent(_)
                | Op::Leave(_)
        );
        if !is_fault_free {
            self.env.oracle.record_fault();
        }
    }

    fn inject(&self, op: Op) {
        let env = &self.env;
        match op {
            Op::Network {
                loss,
                delay,
                repeats,
            } => {
                env.faults.loss.set(loss.into());
                env.faults.delay.set(delay.into());
                env.faults.repeats.set(repeats.into());
            }
            Op::SilenceConnection(pick) => {
                let conns: Vec<_> = env
                    .conns
                    .borrow()
                    .iter()
                    .filter_map(Weak::upgrade)
                    .collect();
                if !conns.is_empty() {
                    conns[usize::from(pick) % conns.len()].silent.set(true);
                }
            }
            Op::KillGateway(gateway) => {
                if let Some(gateway) = self.gateway(slot(gateway, GATEWAY_DATA_CENTRES.len())) {
                    gateway.proc.kill();
                    gateway.end_follower();
                }
            }
            Op::KillAgent(agent) => {
                if let Some(agent) = self.agent(slot(agent, AGENTS.len())) {
                    agent.proc.kill();
                    agent.end_follower();
                }
            }
            Op::Suspend { process, time } => {
                let until = env.now() + Millis(time.into());
                let process = slot(process, AGENTS.len() + GATEWAY_DATA_CENTRES.len());
                if process < AGENTS.len() {
                    self.agent(process).inspect(|a| a.proc.suspend_until(until));
                } else {
                    self.gateway(process - AGENTS.len())
                        .inspect(|g| g.proc.suspend_until(until));
                }
            }
            Op::Outage(out) => env.store_faults.is_out.set(out),
            Op::WriteFault(kind) => {
                let fault = match kind % 3 {
                    0 => WriteFault::AnswerLost,
                    1 => WriteFault::Lost,
                    _ => WriteFault::Late(Millis(u64::from(kind) * 20)),
                };
                env.store_faults.write_faults.borrow_mut().push_back(fault);
            }
            Op::Partition { data_centre, cut } => {
                env.faults.partitioned.borrow_mut()[slot(data_centre, 3)] = cut;
            }
            Op::BreakCall(pick) => env.upstreams[3 + slot(pick, 2)].breaks_next.set(true),
            _ => {}
        }
        env.changed.notify_waiters();
    }

    /// Restarts the process that this operation killed or stopped.
    pub fn restart(&self, op: Op) {
        match op {
            Op::KillGateway(gateway) | Op::StopGateway(gateway) => {
                self.start_gateway(slot(gateway, GATEWAY_DATA_CENTRES.len()));
            }
            Op::KillAgent(agent) | Op::StopAgent(agent) => {
                self.start_agent(slot(agent, AGENTS.len()));
            }
            _ => {}
        }
    }

    fn send(&self, gateway: usize, caller_request: CallerRequest, pinned: Option<VersionRef>) {
        let Some(gateway) = self.gateway(gateway) else {
            return;
        };
        let transcript = Transcript::open(caller_request.clone(), pinned, &gateway.proc);
        self.env.oracle.add_transcript(Rc::clone(&transcript));
        gateway.serve(caller_request, &transcript);
    }

    fn chat(&self, gateway: usize, kind: u8, streamed: bool, session: bool) {
        let account = if kind & 1 == 0 { "shop" } else { "school" };
        let asked = match kind >> 1 & 3 {
            0 => RequestedTarget::Class("tags".into()),
            1 => RequestedTarget::Class("summary".into()),
            2 => RequestedTarget::Version(VersionRef::new("small", "v1")),
            _ => RequestedTarget::Version(VersionRef::new("large", "v1")),
        };
        let body = format!("chat {kind}");
        let mut caller_request = caller_request(account, asked, body);
        caller_request.streamed = streamed;
        let token = self
            .env
            .oracle
            .session_token(usize::from(kind >> 4))
            .filter(|_| session);
        let pinned = token.map(|(account, token, version)| {
            caller_request.account = account;
            caller_request.session = Some(token);
            // The session determines the version, so the request names a class.
            caller_request.asked = RequestedTarget::Class("tags".into());
            version
        });
        self.send(gateway, caller_request, pinned);
    }

    /// Returns one of the most recent keys, or a new one.
    fn key(&self, pick: u8, keys: &Keys) -> String {
        let mut keys = keys.0.borrow_mut();
        if pick > 0
            && let Some(key) = keys.iter().rev().nth(usize::from(pick - 1))
        {
            return key.clone();
        }
        let key = new_key(self.env.clock.unix(), self.env.rng.draw());
        keys.push(key.clone());
        key
    }

    fn order(&self, gateway: usize, key: String, other_body: bool) {
        let body = if other_body {
            "two pallets"
        } else {
            "one pallet"
        };
        let mut caller_request = caller_request(
            "shop",
            RequestedTarget::Service("orders".into()),
            body.to_owned(),
        );
        caller_request.key = Some(key);
        self.send(gateway, caller_request, None);
    }
}

fn caller_request(account: &str, asked: RequestedTarget, body: String) -> CallerRequest {
    CallerRequest {
        account: account.into(),
        asked,
        streamed: false,
        body: body.into(),
        key: None,
        session: None,
    }
}

fn new_key(time: Millis, draw: u64) -> String {
    let random = u128::from(draw) & ((1 << 62) - 1);
    let bits = u128::from(time.0) << 80 | 0x7 << 76 | 0b10 << 62 | random;
    uuid::Uuid::from_u128(bits).hyphenated().to_string()
}

/// Returns the sheet with one change, as an operator makes it.
fn changed(mut sheet: Sheet, change: u8) -> Sheet {
    let model = usize::from(change & 1);
    let versions = sheet.models[model].versions.len();
    let version = &mut sheet.models[model].versions[usize::from(change >> 1 & 1) % versions];
    match change >> 2 & 7 {
        0 | 1 => version.state = VersionState::Withdrawn,
        2 => version.state = VersionState::Draining,
        3..=5 => version.state = VersionState::Serving,
        6 => {
            let allow = &mut sheet
                .accounts
                .iter_mut()
                .find(|a| a.id.as_str() == "school");
            if let Some(account) = allow {
                let large = VersionRef::new("large", "v1");
                match account.allow.binary_search(&large) {
                    Ok(at) => drop(account.allow.remove(at)),
                    Err(at) => account.allow.insert(at, large),
                }
            }
        }
        _ => {
            let small = sheet.models.iter_mut().find(|m| m.id.as_str() == "small");
            let v2 = small.and_then(|m| m.versions.iter_mut().find(|v| v.id.as_str() == "v2"));
            if let Some(rollout) = v2.and_then(|v| v.rollout.as_mut()) {
                rollout.max_share.0 = (rollout.max_share.0 + 250) % 1_001;
            }
        }
    }
    sheet.sort();
    sheet
}
