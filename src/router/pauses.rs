//! Pauses that upstreams ask for when they refuse a request: for so long they want no other one from this gateway.
//!
//! A pause belongs to a process and is counted from the arrival of the refusal. After it the requests that waited, here and at
//! other gateways, would all be sent at once, so an upstream gets its share back step by step.

use std::rc::Rc;

use crate::units::Millis;

/// Longest pause that is kept to; a wrong value must not take an upstream away for good.
pub const MAX_PAUSE: Millis = Millis::from_secs(300);

/// Part of a pause in which the upstream gets its share back after it, and bounds of that time.
const RAMP_DIVISOR: u64 = 4;
const MIN_RAMP: Millis = Millis(100);
const MAX_RAMP: Millis = Millis(1_000);

/// Mean time after which a request that was not let through within a ramp is tried again.
const RAMP_RETRY: Millis = Millis(50);

/// Range of the random numbers that decide within a ramp.
const DRAW_RANGE: u64 = 1_000;

/// How an upstream asks for a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseRequest {
    /// It wants no request for this time.
    For(Millis),
    /// It asks for more than [`MAX_PAUSE`], which is kept to.
    TooLong,
    /// The value is not a time in seconds, or is negative.
    Invalid,
}

impl PauseRequest {
    /// Reads a number of seconds, which may have a fraction.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let seconds = match text.trim().parse::<f64>() {
            Ok(seconds) if seconds >= 0.0 => seconds,
            _ => return Self::Invalid,
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the number is positive, and a float cast saturates at the limits"
        )]
        let pause = Millis((seconds * 1_000.0).ceil() as u64);
        if pause > MAX_PAUSE {
            Self::TooLong
        } else {
            Self::For(pause)
        }
    }

    /// Returns the time that is kept to.
    #[must_use]
    pub const fn time(self) -> Millis {
        match self {
            Self::For(pause) => pause,
            Self::TooLong => MAX_PAUSE,
            Self::Invalid => Millis(0),
        }
    }
}

/// Why an upstream gets no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Paused {
    /// Time until it may get one.
    pub wait: Millis,
    /// Time since it asked for the pause.
    pub age: Millis,
}

#[derive(Debug, Clone)]
struct Pause {
    upstream: Rc<str>,
    boot: u64,
    /// When the refusal that ends last arrived.
    asked_at: Millis,
    until: Millis,
}

impl Pause {
    fn ramp(&self) -> Millis {
        let part = self.until.since(self.asked_at).0 / RAMP_DIVISOR;
        Millis(part.clamp(MIN_RAMP.0, MAX_RAMP.0))
    }

    /// Returns until when the upstream does not get its whole share.
    fn ends_at(&self) -> Millis {
        self.until + self.ramp()
    }
}

/// Pauses by upstream, sorted by id.
#[derive(Debug, Default)]
pub struct Pauses {
    pauses: Vec<Pause>,
}

impl Pauses {
    /// Records a refusal that asks for a pause; returns whether it ends later than what is known.
    pub fn observe(&mut self, upstream: &Rc<str>, boot: u64, pause: Millis, now: Millis) -> bool {
        let asked = Pause {
            upstream: Rc::clone(upstream),
            boot,
            asked_at: now,
            until: now + pause,
        };
        if pause == Millis(0) {
            return false;
        }
        match self.position(upstream) {
            Ok(at) => {
                let known = &self.pauses[at];
                // Each refusal asks for its own time; none shortens that of another.
                if (known.boot, known.until) >= (boot, asked.until) {
                    return false;
                }
                self.pauses[at] = asked;
            }
            Err(at) => self.pauses.insert(at, asked),
        }
        true
    }

    /// Returns why an upstream gets no request now, if it does not; `draw` is a random number.
    #[must_use]
    pub fn paused(&self, upstream: &str, boot: u64, now: Millis, draw: u64) -> Option<Paused> {
        let pause = &self.pauses[self.position(upstream).ok()?];
        if pause.boot != boot || now >= pause.ends_at() {
            return None;
        }
        let age = now.since(pause.asked_at);
        if now < pause.until {
            let wait = pause.until.since(now);
            return Some(Paused { wait, age });
        }
        let share = now.since(pause.until).0 * DRAW_RANGE / pause.ramp().0;
        if draw % DRAW_RANGE < share {
            return None;
        }
        let wait = Millis(1 + draw % (2 * RAMP_RETRY.0));
        Some(Paused { wait, age })
    }

    /// Returns whether an upstream wants no request now.
    #[must_use]
    pub fn is_paused(&self, upstream: &str, boot: u64, now: Millis) -> bool {
        let at = self.position(upstream);
        at.is_ok_and(|at| self.pauses[at].boot == boot && now < self.pauses[at].until)
    }

    /// Returns whether no upstream has asked for a pause that is not over.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.pauses.is_empty()
    }

    /// Returns the number of upstreams that want no request now.
    #[must_use]
    pub fn len(&self, now: Millis) -> usize {
        let paused = self.pauses.iter().filter(|p| now < p.until);
        paused.count()
    }

    /// Removes pauses that are over.
    pub fn expire(&mut self, now: Millis) {
        self.pauses.retain(|p| now < p.ends_at());
    }

    fn position(&self, upstream: &str) -> Result<usize, usize> {
        (self.pauses).binary_search_by(|p| p.upstream.as_ref().cmp(upstream))
    }
}
