//! Tests of the membership against an oracle that has the state of all processes and every delivered message.

use super::*;
use crate::fixtures::check_property;

type Op = (u8, u8, u8);

const TICK: Millis = Millis(100);

/// The actual state of an upstream, and the evidence that was delivered about it.
#[derive(Debug)]
struct SimulatedUpstream {
    id: UpstreamId,
    incarnation: Incarnation,
    running: bool,
    hung: bool,
    leaving: bool,
    attempt: Attempt,
    /// Delivered evidence: the time of each incarnation's last message, and whether it sent a leaving notice.
    delivered: Vec<(Incarnation, Millis, bool)>,
    /// Incarnations that have been usable. One whose only answer was to an abandoned connection attempt is not
    /// known to the membership yet.
    used_incarnations: Vec<Incarnation>,
    /// Incarnations that had been usable when the list began to call the VM leaving; `None` while it does not.
    used_before_leaving: Option<Vec<Incarnation>>,
}

#[derive(Debug)]
struct Simulation {
    now: Millis,
    members: Members,
    upstreams: Vec<SimulatedUpstream>,
    /// Evidence that was sent and is not delivered yet.
    in_transit: Vec<(usize, Evidence)>,
    last_incarnation: u128,
    lossy: bool,
    partitioned: [bool; 3],
}

impl Simulation {
    fn start() -> Self {
        let upstreams: Vec<_> = (0..3)
            .map(|n| SimulatedUpstream {
                id: format!("u{n}").into(),
                incarnation: Incarnation(n),
                running: true,
                hung: false,
                leaving: false,
                attempt: Attempt(0),
                delivered: Vec::new(),
                used_incarnations: Vec::new(),
                used_before_leaving: None,
            })
            .collect();
        let wanted: Vec<_> = upstreams.iter().map(|t| t.id.clone()).collect();
        let mut members = Members::new();
        members.set_wanted(&wanted, Millis(0));
        Self {
            now: Millis(0),
            members,
            upstreams,
            in_transit: Vec::new(),
            last_incarnation: 10,
            lossy: false,
            partitioned: [false; 3],
        }
    }

    fn deliver(&mut self, at: usize, evidence: Evidence) {
        let now = self.now;
        let upstream = &mut self.upstreams[at];
        if let Evidence::Connected(_, p) | Evidence::MessageReceived(p) | Evidence::Leaving(p) =
            evidence
        {
            let is_notice = matches!(evidence, Evidence::Leaving(_));
            match upstream
                .delivered
                .iter_mut()
                .find(|(incarnation, ..)| *incarnation == p)
            {
                Some((_, last_message, has_left)) => {
                    *has_left |= is_notice;
                    *last_message = if is_notice { *last_message } else { now };
                }
                None => upstream.delivered.push((p, now, is_notice)),
            }
        }
        self.members.observe(&upstream.id, evidence, now);
    }

    fn send(&mut self, at: usize, evidence: Evidence) {
        if self.lossy {
            self.in_transit.push((at, evidence));
        } else {
            self.deliver(at, evidence);
        }
    }

    fn apply(&mut self, (kind, pick, arg): Op) {
        let at = usize::from(pick) % 3;
        match kind % 12 {
            0 => {
                self.last_incarnation += 1;
                let upstream = &mut self.upstreams[at];
                upstream.incarnation = Incarnation(self.last_incarnation);
                (upstream.running, upstream.hung, upstream.leaving) = (true, false, false);
            }
            1 => {
                self.upstreams[at].running = false;
                if !self.partitioned[at] {
                    let closed = Evidence::Closed(self.upstreams[at].attempt);
                    self.send(at, closed);
                }
            }
            2 => self.upstreams[at].hung ^= true,
            3 => self.partitioned[at] ^= true,
            4 if self.upstreams[at].running => {
                self.upstreams[at].leaving = true;
                let notice = Evidence::Leaving(self.upstreams[at].incarnation);
                self.send(at, notice);
            }
            5 => self.lossy ^= true,
            6 | 7 if !self.in_transit.is_empty() => {
                let (at, evidence) = self
                    .in_transit
                    .remove(usize::from(arg) % self.in_transit.len());
                self.deliver(at, evidence);
            }
            8 => {
                // The list may be wrong about each VM.
                let listing =
                    |n: usize| [VmListing::Live, VmListing::Leaving, VmListing::Absent][n % 3];
                let list: Vec<_> = (0..3)
                    .map(|n| {
                        (
                            self.upstreams[n].id.clone(),
                            listing(usize::from(arg) >> (2 * n)),
                        )
                    })
                    .collect();
                self.list(&list);
            }
            9 => {
                let wanted = self.upstreams.iter().enumerate().filter(|(n, _)| *n != at);
                let wanted: Vec<_> = wanted.map(|(_, t)| t.id.clone()).collect();
                self.members.set_wanted(&wanted, self.now);
            }
            _ => (0..arg % 64).for_each(|_| self.tick()),
        }
        self.verify();
    }

    fn list(&mut self, list: &[(UpstreamId, VmListing)]) {
        for (upstream, (_, listed)) in self.upstreams.iter_mut().zip(list) {
            upstream.used_before_leaving = match (*listed, upstream.used_before_leaving.take()) {
                (VmListing::Leaving, Some(earlier)) => Some(earlier),
                (VmListing::Leaving, None) => Some(upstream.used_incarnations.clone()),
                _ => None,
            };
        }
        self.members.apply_vm_list(list, self.now);
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        for effect in self.members.step(self.now) {
            let (Effect::Connect(id, _) | Effect::Ping(id)) = &effect else {
                continue;
            };
            let at = self
                .upstreams
                .iter()
                .position(|t| t.id == *id)
                .expect("the upstream is in the simulation");
            let partitioned = self.partitioned[at];
            let upstream = &mut self.upstreams[at];
            let incarnation = upstream.incarnation;
            let responsive = upstream.running && !upstream.hung && !partitioned;
            match effect {
                Effect::Connect(_, attempt) if responsive => {
                    upstream.attempt = attempt;
                    self.send(at, Evidence::Connected(attempt, incarnation));
                }
                Effect::Connect(_, attempt) if !upstream.running && !partitioned => {
                    self.send(at, Evidence::Refused(attempt));
                }
                Effect::Ping(_) if responsive => {
                    let leaving = upstream.leaving;
                    self.send(at, Evidence::MessageReceived(incarnation));
                    if leaving {
                        self.send(at, Evidence::Leaving(incarnation));
                    }
                }
                _ => {}
            }
        }
        self.verify();
    }

    fn verify(&mut self) {
        for upstream in &mut self.upstreams {
            // This must hold even if `step` is not called.
            let after = self
                .members
                .usable(&upstream.id, self.now + SILENCE_TIMEOUT);
            assert_eq!(after, None, "{} is usable after silence", upstream.id);
            let Some(usable) = self.members.usable(&upstream.id, self.now) else {
                continue;
            };
            let evidence = upstream
                .delivered
                .iter()
                .find(|(incarnation, ..)| *incarnation == usable);
            let (_, last_message, has_left) =
                evidence.expect("evidence of a usable upstream was delivered");
            assert!(
                !has_left,
                "{} is usable after its leaving notice",
                upstream.id
            );
            let used_before_leaving = upstream
                .used_before_leaving
                .as_ref()
                .is_some_and(|away| away.contains(&usable));
            assert!(
                !used_before_leaving,
                "{} is usable while the list calls it leaving",
                upstream.id
            );
            if !upstream.used_incarnations.contains(&usable) {
                upstream.used_incarnations.push(usable);
            }
            assert!(
                self.now.since(*last_message) < SILENCE_TIMEOUT,
                "{} is usable after the silence timeout",
                upstream.id
            );
        }
    }

    /// Ends all network faults, makes the VM list correct and checks which upstreams become usable.
    fn end_faults_and_verify(&mut self) {
        let listing = |upstream: &SimulatedUpstream| match (upstream.running, upstream.leaving) {
            (false, _) => VmListing::Absent,
            (true, true) => VmListing::Leaving,
            (true, false) => VmListing::Live,
        };
        let list: Vec<_> = self
            .upstreams
            .iter()
            .map(|t| (t.id.clone(), listing(t)))
            .collect();
        self.list(&list);
        self.lossy = false;
        self.in_transit.clear();
        let wanted: Vec<_> = self.upstreams.iter().map(|t| t.id.clone()).collect();
        self.members.set_wanted(&wanted, self.now);
        self.partitioned = [false; 3];
        let end = self.now + MAX_RECOVERY_TIME + TICK;
        while self.now < end {
            self.tick();
        }
        for upstream in &self.upstreams {
            let usable = self.members.usable(&upstream.id, self.now);
            let expected = upstream.running && !upstream.hung && !upstream.leaving;
            assert_eq!(
                usable,
                expected.then_some(upstream.incarnation),
                "{upstream:?}"
            );
        }
    }
}

// Guards against an upstream that is usable after its leaving notice, after the silence timeout or while the
// list calls it leaving, and against one that stays unusable after the VM list is correct again. Evidence
// arrives late and out of order.
#[test]
fn usable_upstreams_follow_direct_evidence() {
    fn property(ops: Vec<Op>, more: Vec<Op>) -> bool {
        let mut simulation = Simulation::start();
        ops.into_iter()
            .chain(more)
            .for_each(|op| simulation.apply(op));
        simulation.end_faults_and_verify();
        true
    }
    check_property(31, property as fn(Vec<Op>, Vec<Op>) -> bool);
}

fn fleet(count: usize) -> Vec<(UpstreamId, DataCentre)> {
    let upstream = |n: usize| (format!("u{n}").into(), ["a", "b", "c"][n % 3].into());
    (0..count).map(upstream).collect()
}

// Guards against the removal of one upstream that changes which others a gateway connects to.
#[test]
fn removing_one_upstream_removes_no_other_from_the_subset() {
    fn property(gateway: u16, count: u8, removed: u8, n: u8) -> bool {
        let all = fleet(usize::from(count) + 1);
        let mut rest = all.clone();
        let (gone, _) = rest.remove(usize::from(removed) % all.len());
        let (gateway, own, n) = (format!("gw{gateway}"), "b".into(), usize::from(n % 40));
        let before = subset(&gateway, &own, &all, n);
        let after = subset(&gateway, &own, &rest, n);
        let remaining: Vec<_> = before.iter().filter(|id| **id != gone).collect();
        let own_count = all.iter().filter(|(_, dc)| *dc == own).count();
        let is_own = |id: &UpstreamId| all.iter().any(|(u, dc)| u == id && *dc == own);
        before.len() == n.min(all.len())
            && before.iter().take(own_count).all(is_own)
            && after.iter().take(remaining.len()).eq(remaining)
            && after.len() == n.min(rest.len())
    }
    check_property(32, property as fn(u16, u8, u8, u8) -> bool);
}

// Guards against subsets that concentrate gateways on a few upstreams.
//
// The number of gateways of an upstream is binomial with mean m. By Chernoff's bound, the probability that it
// differs from m by more than sqrt(3 m ln(2 U / p)) at any of U upstreams is below p.
#[test]
fn subsets_are_balanced_across_gateways() {
    let (gateways, upstreams, p) = (410, 200, 1e-6_f64);
    let all: Vec<_> = fleet(upstreams)
        .into_iter()
        .map(|(id, _)| (id, "a".into()))
        .collect();
    let mut counts = vec![0_u32; upstreams];
    for gateway in 0..gateways {
        for id in subset(&format!("gw{gateway}"), &"a".into(), &all, SUBSET_SIZE) {
            let at = all
                .iter()
                .position(|(u, _)| *u == id)
                .expect("the upstream is in the input");
            counts[at] += 1;
        }
    }

    let mean = f64::from(gateways) * 24.0 / 200.0;
    let spread = (3.0 * mean * (2.0 * 200.0 / p).ln()).sqrt();
    let is_within_spread = |count: &u32| (f64::from(*count) - mean).abs() <= spread;
    assert!(counts.iter().all(is_within_spread), "{counts:?}");
}

// Guards against a gateway that keeps only the upstreams of a lost data centre, and against lost upstreams
// that are no longer retried.
#[test]
fn targets_add_replacements_and_keep_lost_upstreams() {
    let all = fleet(9);
    let own = "a".into();
    let mut members = Members::new();
    let first = members.targets("gw", &own, &all, 3, Millis(0));
    members.set_wanted(&first, Millis(0));
    for effect in members.step(Millis(0)) {
        let Effect::Connect(id, attempt) = effect else {
            panic!("{effect:?}");
        };
        members.observe(&id, Evidence::Refused(attempt), Millis(0));
    }

    let second = members.targets("gw", &own, &all, 3, Millis(0));

    assert_eq!(second.len(), 6);
    assert_eq!(second[..3], first);
}

/// Returns a membership with one connected upstream, and the id of that upstream.
fn connected_member() -> (Members, UpstreamId) {
    let id: UpstreamId = "u0".into();
    let mut members = Members::new();
    members.set_wanted(std::slice::from_ref(&id), Millis(0));
    members.step(Millis(0));
    members.observe(
        &id,
        Evidence::Connected(Attempt(1), Incarnation(1)),
        Millis(0),
    );
    (members, id)
}

// Guards against new work for an upstream whose VM the platform is about to stop without notice to its agent.
#[test]
fn an_upstream_that_the_list_calls_leaving_is_not_usable() {
    let (mut members, id) = connected_member();
    let now = Millis(2_000);
    members.observe(&id, Evidence::MessageReceived(Incarnation(1)), now);
    assert_eq!(members.usable(&id, now), Some(Incarnation(1)));

    members.apply_vm_list(&[(id.clone(), VmListing::Leaving)], now);

    assert_eq!(members.usable(&id, now), None);
    assert_eq!(members.state(&id, now), State::Leaving);
}

// Guards against an outdated list that keeps the replacement of a VM, which has the same name, unusable.
#[test]
fn a_replacement_is_used_while_the_list_still_shows_the_old_vm() {
    let (mut members, id) = connected_member();
    members.apply_vm_list(&[(id.clone(), VmListing::Leaving)], Millis(1_000));
    members.observe(&id, Evidence::Closed(Attempt(1)), Millis(2_000));
    members.step(Millis(4_000));
    members.observe(
        &id,
        Evidence::Connected(Attempt(2), Incarnation(2)),
        Millis(4_100),
    );

    assert_eq!(members.usable(&id, Millis(4_200)), Some(Incarnation(2)));

    // An entry that is still there after the maximum lag belongs to the replacement.
    let late = Millis(4_100) + MAX_VM_LIST_LAG;
    members.observe(&id, Evidence::MessageReceived(Incarnation(2)), late);
    assert_eq!(members.usable(&id, late), None);
}
