//! What all gateways together send to cold upstreams, by load and by what gateways know.
//!
//! The fleet is a loop in memory: gateways that always have a request, beacons that hand out leases, and upstreams whose
//! requests are counted in each sliding second.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::router::cold::{BeaconWord, ColdCause, ColdTerms, ColdUpstreams, View};
use crate::router::mix;
use crate::router::turns::Places;
use crate::units::Millis;

const TERMS: ColdTerms = ColdTerms {
    cold: Millis(3_000),
    allowed_per_s: 18.4,
};

/// Unix time at the start of a test.
const UNIX: u64 = 1_700_000_000_000;

/// How often gateways subscribe and beacons answer while an upstream is cold.
const SUBSCRIBE: u64 = 250;
const POLL: u64 = 150;

struct Gateway {
    cold: ColdUpstreams,
    addr: SocketAddr,
    /// How much its clock is ahead.
    skew: u64,
    /// When it sends its subscriptions, within the interval.
    phase: u64,
    starts: u64,
    frozen: std::ops::Range<u64>,
    /// How long a datagram from the beacon takes.
    delay: u64,
}

impl Gateway {
    fn now(&self, time: u64) -> Millis {
        Millis(time + self.skew)
    }

    fn runs(&self, time: u64) -> bool {
        time >= self.starts && !self.frozen.contains(&time)
    }

    fn view(&self, time: u64) -> View {
        View {
            now: self.now(time),
            unix: Millis(UNIX + time),
            store_age: Millis(300),
        }
    }
}

struct Beacon {
    id: Rc<str>,
    places: Places,
    /// Each subscriber with the time that it named last.
    subscribers: Vec<(usize, Millis)>,
    answering_since: u64,
    skew: u64,
    /// Times of the requests at the upstream.
    sent: Vec<u64>,
}

struct Fleet {
    gateways: Vec<Gateway>,
    beacons: Vec<Beacon>,
    /// Datagrams on their way: when they arrive, the gateway, the upstream and the word.
    words: Vec<(u64, usize, usize, BeaconWord)>,
    rng: u64,
}

impl Fleet {
    fn new(gateways: usize, upstreams: usize, seed: u64) -> Self {
        let mut fleet = Self {
            gateways: Vec::new(),
            beacons: Vec::new(),
            words: Vec::new(),
            rng: mix(seed),
        };
        for number in 0..gateways {
            let port = u16::try_from(number).expect("the number is small");
            let gateway = Gateway {
                cold: ColdUpstreams::default(),
                addr: SocketAddr::from(([10, 0, 0, 1], port)),
                skew: 5_000 + fleet.draw(3_000),
                phase: fleet.draw(SUBSCRIBE),
                starts: 0,
                frozen: 0..0,
                delay: 1 + fleet.draw(5),
            };
            fleet.gateways.push(gateway);
        }
        for number in 0..upstreams {
            let beacon = Beacon {
                id: format!("i-{number:04}").into(),
                places: Places::new(),
                subscribers: Vec::new(),
                answering_since: 0,
                skew: fleet.draw(2_000),
                sent: Vec::new(),
            };
            fleet.beacons.push(beacon);
        }
        fleet
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng = mix(self.rng);
        self.rng % below
    }

    /// Runs all until `end`; at each step, each gateway has a request for each upstream with a chance of `permille`.
    fn run(&mut self, from: u64, end: u64, permille: u64) {
        for time in (from..end).step_by(5) {
            self.deliver(time);
            self.poll(time);
            for number in 0..self.gateways.len() {
                if !self.gateways[number].runs(time) {
                    continue;
                }
                let is_due = time % SUBSCRIBE / 5 == self.gateways[number].phase / 5;
                for upstream in 0..self.beacons.len() {
                    if is_due {
                        self.subscribe(number, upstream, time);
                    }
                    if self.draw(1_000) < permille {
                        self.send(number, upstream, time);
                    }
                }
            }
        }
    }

    fn subscribe(&mut self, number: usize, upstream: usize, time: u64) {
        let asked_at = self.gateways[number].now(time);
        let subscribers = &mut self.beacons[upstream].subscribers;
        match subscribers.binary_search_by_key(&number, |(n, _)| *n) {
            Ok(at) => subscribers[at].1 = asked_at,
            Err(at) => subscribers.insert(at, (number, asked_at)),
        }
    }

    fn poll(&mut self, time: u64) {
        if time % POLL >= 5 {
            return;
        }
        for (upstream, beacon) in self.beacons.iter_mut().enumerate() {
            for (number, _) in &beacon.subscribers {
                beacon.places.reserve(self.gateways[*number].addr);
            }
            for (number, asked_at) in &beacon.subscribers {
                let gateway = &self.gateways[*number];
                let word = BeaconWord {
                    boot: Some(1),
                    cold_left: Millis(0),
                    answering_for: Millis(time - beacon.answering_since),
                    asked_at: *asked_at,
                    sent_at: Millis(UNIX + time + beacon.skew),
                    lease: beacon.places.lease(gateway.addr, Millis(time)),
                };
                // A frozen gateway reads what has arrived when it wakes.
                let arrives = (time + gateway.delay).max(if gateway.runs(time) {
                    0
                } else {
                    gateway.frozen.end
                });
                self.words.push((arrives, *number, upstream, word));
            }
        }
    }

    fn deliver(&mut self, time: u64) {
        let due = self.words.extract_if(.., |(arrives, ..)| *arrives <= time);
        for (_, number, upstream, word) in due.collect::<Vec<_>>() {
            let gateway = &mut self.gateways[number];
            let now = gateway.now(time);
            let id = &self.beacons[upstream].id;
            gateway.cold.observe_beacon(id, 1, word, now);
        }
    }

    fn send(&mut self, number: usize, upstream: usize, time: u64) {
        let gateway = &mut self.gateways[number];
        let view = gateway.view(time);
        let beacon = &mut self.beacons[upstream];
        gateway.cold.tick(view.now);
        if gateway.cold.cold(&beacon.id, 1, TERMS, view).is_none() {
            gateway.cold.take(&beacon.id, 1, TERMS, view);
            beacon.sent.push(time);
        }
    }

    /// Records entries of the store that say that all upstreams are cold until `until`.
    fn tell_cold(&mut self, time: u64, until: u64) {
        for gateway in &mut self.gateways {
            let now = gateway.now(time);
            for beacon in &self.beacons {
                gateway
                    .cold
                    .observe(&beacon.id, 1, Millis(until - time), now);
            }
        }
    }

    /// Returns the most requests in any second that begins from `from` on, at any upstream.
    fn most(&self, from: u64, end: u64) -> usize {
        let most = |beacon: &Beacon| {
            let sent = beacon.sent.iter().filter(|at| (from..end).contains(*at));
            let sent: Vec<_> = sent.copied().collect();
            let in_second = |at: usize| sent[at..].partition_point(|t| *t < sent[at] + 1_000);
            (0..sent.len()).map(in_second).max().unwrap_or(0)
        };
        self.beacons.iter().map(most).max().unwrap_or(0)
    }

    /// Returns the share of the allowed requests that the first upstream gets.
    fn used(&self, from: u64, end: u64) -> f64 {
        let sent = self.beacons[0].sent.iter();
        let sent = sent.filter(|at| (from..end).contains(*at)).count();
        let seconds = f64::from(u32::try_from(end - from).expect("the time is short")) / 1_000.0;
        f64::from(u32::try_from(sent).expect("the number is small")) / seconds / TERMS.allowed_per_s
    }
}

// Load: all gateways restart at once, know nothing of each other, and each has a request for each cold upstream at all times.
#[test]
fn gateways_that_restart_together_use_what_a_cold_upstream_bears_and_no_more() {
    for (gateways, seed) in [(1, 1), (3, 2), (31, 3), (48, 4), (410, 5)] {
        let mut fleet = Fleet::new(gateways, 1, seed);
        fleet.tell_cold(0, 6_000);

        fleet.run(0, 6_000, 1_000);

        let (most, used) = (fleet.most(0, 6_000), fleet.used(2_000, 6_000));
        assert!(most <= 18, "{gateways} gateways: {most}");
        assert!(used > 0.85, "{gateways} gateways: {used}");
    }
}

// Load: a steady load on warm upstreams that turn cold together, as when a data centre comes back.
#[test]
fn a_data_centre_that_comes_back_cold_is_not_flooded() {
    let mut fleet = Fleet::new(31, 8, 7);
    fleet.tell_cold(0, 1);
    fleet.run(0, 6_000, 20);
    fleet.tell_cold(6_000, 9_000);

    fleet.run(6_000, 9_000, 1_000);

    assert!(fleet.most(0, 3_000) <= 18, "{}", fleet.most(0, 3_000));
    assert!(
        fleet.most(6_000, 9_000) <= 18,
        "{}",
        fleet.most(6_000, 9_000)
    );
    let warm = fleet.beacons[0]
        .sent
        .iter()
        .filter(|t| (3_500..6_000).contains(*t));
    assert!(warm.count() > 100, "warm upstreams are not bounded");
}

// Load: bursts at gateways that come later, while others hold leases of all turns.
#[test]
fn gateways_that_join_in_a_burst_wait_for_turns_of_their_own() {
    let mut fleet = Fleet::new(100, 1, 8);
    for number in 10..100 {
        fleet.gateways[number].starts = 2_000 + fleet.draw(1_500);
    }
    fleet.tell_cold(0, 8_000);

    fleet.run(0, 8_000, 1_000);

    assert!(fleet.most(0, 8_000) <= 18, "{}", fleet.most(0, 8_000));
}

// Guards against a gateway that was suspended while an upstream turned cold, and reads old datagrams when it wakes.
#[test]
fn a_gateway_that_was_frozen_trusts_nothing_from_before() {
    for frozen_at in [3_500, 5_000, 5_400] {
        let mut fleet = Fleet::new(31, 4, 9);
        fleet.tell_cold(0, 1);
        for number in 0..25 {
            fleet.gateways[number].frozen = frozen_at..8_000 + 10 * number as u64;
        }
        fleet.run(0, 6_000, 20);
        // The others learn it from the store; the frozen ones read that later.
        for gateway in 25..31 {
            let now = fleet.gateways[gateway].now(6_000);
            for beacon in &fleet.beacons {
                let cold = &mut fleet.gateways[gateway].cold;
                cold.observe(&beacon.id, 1, Millis(3_000), now);
            }
        }
        for beacon in &mut fleet.beacons {
            beacon.answering_since = 6_000;
        }

        fleet.run(6_000, 9_000, 1_000);

        let most = fleet.most(6_000, 9_000);
        assert!(most <= 18, "frozen at {frozen_at} ms: {most}");
    }
}

// Guards against clocks that differ by minutes, and by a step of one of them; the beacon's clock counts.
#[test]
fn the_clocks_of_gateways_do_not_matter() {
    let mut fleet = Fleet::new(31, 1, 10);
    for number in 0..31 {
        fleet.gateways[number].skew = 60_000 * number as u64;
        fleet.gateways[number].delay = 1 + fleet.draw(40);
    }
    fleet.tell_cold(0, 6_000);

    fleet.run(0, 6_000, 1_000);

    assert!(fleet.most(0, 6_000) <= 18, "{}", fleet.most(0, 6_000));
}

fn view(now: u64, store_age: u64) -> View {
    View {
        now: Millis(now),
        unix: Millis(UNIX + now),
        store_age: Millis(store_age),
    }
}

fn word(asked_at: u64, answering_for: u64) -> BeaconWord {
    BeaconWord {
        boot: Some(1),
        cold_left: Millis(0),
        answering_for: Millis(answering_for),
        asked_at: Millis(asked_at),
        sent_at: Millis(UNIX),
        lease: None,
    }
}

fn cause(cold: &ColdUpstreams, boot: u64, view: View) -> Option<ColdCause> {
    cold.cold("i", boot, TERMS, view).map(|c| c.cause)
}

// Guards against an upstream that is taken for warm because nobody has said otherwise.
#[test]
fn an_upstream_counts_as_cold_until_somebody_vouches_for_it() {
    let id: Rc<str> = "i".into();
    let mut cold = ColdUpstreams::default();
    cold.tick(Millis(1_000));
    cold.observe(&id, 1, Millis(0), Millis(1_000));

    let joined = cause(&cold, 1, view(1_100, 100));
    // The beacon had asked before: its word is older than the doubt.
    cold.observe_beacon(&id, 1, word(900, 9_000), Millis(1_100));
    let old_word = cause(&cold, 1, view(1_100, 100));
    cold.observe_beacon(&id, 1, word(1_050, 2_000), Millis(1_200));
    let answers_since_lately = cause(&cold, 1, view(1_200, 100));
    cold.observe_beacon(&id, 1, word(1_150, 9_000), Millis(1_300));
    let vouched = cause(&cold, 1, view(1_300, 100));
    let unheard = cause(&cold, 1, view(4_000, 4_000));
    let store_heard = cause(&cold, 1, view(4_000, 100));
    cold.observe_silence(&id, 1, Millis(1_400));
    let silent = cause(&cold, 1, view(1_500, 100));
    let later = cause(&cold, 1, view(4_400, 100));

    let unvouched = Some(ColdCause::Unvouched);
    assert_eq!([joined, old_word, answers_since_lately], [unvouched; 3]);
    assert_eq!(vouched, None);
    assert_eq!(unheard, Some(ColdCause::Unheard));
    assert_eq!(store_heard, None);
    assert_eq!(silent, unvouched);
    assert_eq!(later, None);
}

// Guards against the word of a process that counts for its successor, or the other way round.
#[test]
fn the_newest_process_decides() {
    let id: Rc<str> = "i".into();
    let (old, new) = (UNIX - 60_000, UNIX + 8_000);
    let mut cold = ColdUpstreams::default();
    cold.tick(Millis(5_000));
    cold.observe(&id, old, Millis(0), Millis(1_000));
    let newer = BeaconWord {
        boot: Some(new),
        ..word(5_000, 90_000)
    };

    let warm = cause(&cold, old, view(5_000, 100));
    cold.observe_beacon(&id, old, newer, Millis(5_000));
    let replaced = cause(&cold, old, view(5_100, 100));
    cold.observe(&id, new, Millis(0), Millis(9_000));
    cold.observe(&id, old, Millis(9_000), Millis(9_000));
    cold.observe_beacon(&id, new, newer, Millis(9_100));
    let started = cause(&cold, new, view(9_100, 100));
    let told = {
        cold.observe(&id, new, Millis(2_000), Millis(20_000));
        cause(&cold, new, view(20_500, 100))
    };

    assert_eq!(warm, None);
    assert_eq!(replaced, Some(ColdCause::Unvouched));
    assert_eq!(started, Some(ColdCause::Started));
    assert_eq!(told, Some(ColdCause::Told));
    assert_eq!(cause(&cold, new, view(22_000, 100)), None);
}
