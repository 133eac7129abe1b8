//! The time for which a VM was suspended counts.

use std::time::Duration;

use super::{Clock, since_start};
use crate::router::freshness::Freshness;
use crate::units::Millis;

const HOUR: Duration = Duration::from_hours(1);

#[test]
fn the_time_of_a_suspension_counts() {
    let running = Duration::from_secs(20);

    let never = since_start(running, HOUR, HOUR);
    let read_late = since_start(running, HOUR, HOUR + Duration::from_micros(300));
    let suspended = since_start(running, HOUR, HOUR + Duration::from_secs(7));

    assert_eq!(never, Millis(20_000));
    assert_eq!(read_late, Millis(20_000));
    assert_eq!(suspended, Millis(27_000));
}

/// A VM that was suspended for longer than a revoked key may work does not accept keys from before.
#[test]
fn keys_from_before_a_suspension_are_not_trusted() {
    let mut freshness = Freshness::new(Some(Millis(5_000)), Millis(3_000));
    let confirmed = since_start(Duration::from_secs(20), HOUR, HOUR);
    freshness.confirm(confirmed);

    let running = Duration::from_millis(20_100);
    let awake = since_start(running, HOUR, HOUR);
    let resumed = since_start(running, HOUR, HOUR + Duration::from_secs(7));

    assert!(freshness.is_trusted(awake));
    assert!(!freshness.is_trusted(resumed));
}

#[test]
fn the_clock_does_not_go_back() {
    let clock = Clock::start();

    let times: Vec<_> = (0..1_000).map(|_| clock.now()).collect();

    assert!(times.is_sorted(), "{times:?}");
}
