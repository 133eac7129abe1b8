//! Tests of limits, admission, retries and circuit breakers, partly against naive reference models.

use super::bucket::{Bucket, BucketConfig};
use super::*;
use crate::fixtures::check_property;
use crate::ids::{AccountId, ClassId, UpstreamId, VersionRef};
use crate::sheet::{Limit, Priority};
use crate::units::Tokens;

fn limit(requests_per_s: u32, concurrency: u32) -> Limit {
    Limit {
        class: ClassId::from("tags"),
        requests_per_s,
        tokens_per_min: Tokens(60_000),
        concurrency,
    }
}

// Guards against a bucket that allows more or less than its rate, and against a wrong Retry-After.
#[test]
fn buckets_agree_with_a_naive_float_model() {
    fn property(rate: u16, gateways: u8, steps: Vec<(u8, u8)>) -> bool {
        let gateways = u32::from(gateways) + 1;
        let config = BucketConfig::new(u64::from(rate), 1_000, gateways, 1);
        let per_ms = f64::from(rate) / f64::from(gateways) / 1_000.0;
        let capacity = (per_ms * 1_000.0).max(1.0);
        let mut bucket = Bucket::new_full(config, Millis(0));
        let (mut level, mut now) = (capacity, Millis(0));
        steps.into_iter().all(|(elapsed, amount)| {
            now = now + Millis(u64::from(elapsed));
            level = (level + f64::from(elapsed) * per_ms).min(capacity);
            let deficit = f64::from(amount).min(capacity) - level;
            let wait = bucket.time_until_available(config, u64::from(amount), now);
            // At the limit itself the result depends on rounding.
            let agrees = deficit.abs() < 1e-3 || (wait.0 == 0) == (deficit < 0.0);
            let waited = bucket
                .clone()
                .time_until_available(config, u64::from(amount), now + wait);
            if wait.0 == 0 {
                bucket.take(u64::from(amount));
                level -= f64::from(amount);
            }
            agrees && (rate == 0 || waited.0 == 0)
        })
    }
    check_property(61, property as fn(u16, u8, Vec<(u8, u8)>) -> bool);
}

// Guards against leaked concurrency, tokens that are not corrected to the actual use, and limits that are
// multiplied by the number of gateways.
#[test]
fn limits_are_divided_among_gateways_and_charge_the_actual_use() {
    let (shop, limit) = (AccountId::from("shop"), limit(1_000, 8));
    let mut table = LimitTable::new(4);
    let admit = |table: &mut LimitTable, now| table.admit(&shop, &limit, Tokens(10), now);

    assert_eq!(admit(&mut table, Millis(0)), Ok(()));
    assert_eq!(admit(&mut table, Millis(0)), Ok(()));
    let refused = admit(&mut table, Millis(0)).expect_err("8 in flight over 4 gateways are 2 here");
    assert_eq!(refused.kind, LimitKind::Concurrency);
    // This gateway allows 250 tokens per second; 1,000 tokens more than expected leave a negative level that
    // takes over three seconds to refill.
    table.finish(&shop, &limit.class, Tokens(10), Tokens(1_010));
    let refused = admit(&mut table, Millis(0)).expect_err("the tokens are used up");
    assert_eq!(
        (refused.kind, retry_after_secs(refused.retry_after)),
        (LimitKind::Tokens, 4)
    );
    assert_eq!(admit(&mut table, refused.retry_after), Ok(()));
}

/// Reference model of the queue: one list that is searched from the front for the highest priority.
#[derive(Default)]
struct NaiveQueue {
    waiting: Vec<AdmissionRequest>,
    in_flight: u32,
}

impl NaiveQueue {
    fn pop(&mut self) -> Option<AdmissionRequest> {
        let highest = self.waiting.iter().map(|o| o.priority).max()?;
        let at = self.waiting.iter().position(|o| o.priority == highest)?;
        Some(self.waiting.remove(at))
    }
}

// Guards against lost, reordered or late requests, and against more requests in flight than slots.
#[test]
fn the_admission_queue_agrees_with_a_naive_list() {
    fn property(slots: u8, steps: Vec<(u8, u8, u16, u8)>) -> bool {
        let slots = u32::from(slots % 4) + 1;
        let mut queue = AdmissionQueue::new(slots);
        let mut naive = NaiveQueue::default();
        let mut now = Millis(0);
        (0_u64..)
            .zip(steps)
            .all(|(id, (kind, service, spare, elapsed))| {
                now = now + Millis(u64::from(elapsed));
                if kind % 3 == 0 && naive.in_flight > 0 {
                    let mut late = Vec::new();
                    let next = queue.release(now, &mut late);
                    naive.in_flight -= 1;
                    let mut popped = naive.pop();
                    let mut naive_late = Vec::new();
                    while let Some(offer) =
                        popped.filter(|o| now + o.expected_run_time > o.deadline)
                    {
                        naive_late.push(offer);
                        popped = naive.pop();
                    }
                    naive.in_flight += u32::from(popped.is_some());
                    return next == popped && late == naive_late;
                }
                let service = Millis(u64::from(service) + 1);
                let offer = AdmissionRequest {
                    id,
                    priority: [Priority::Low, Priority::Normal, Priority::High]
                        [usize::from(kind) % 3],
                    deadline: now + service + Millis(u64::from(spare % 1_000)),
                    expected_run_time: service,
                };
                let ahead = naive
                    .waiting
                    .iter()
                    .filter(|o| o.priority >= offer.priority);
                let work = ahead.map(|o| o.expected_run_time.0).sum::<u64>() + service.0;
                match queue.submit(offer, now) {
                    Admission::Run => {
                        naive.in_flight += 1;
                        naive.in_flight <= slots
                    }
                    Admission::Queued(delay) => {
                        naive.waiting.push(offer);
                        let in_time = now + delay + service <= offer.deadline;
                        delay.0 == work / u64::from(slots) && in_time && naive.in_flight == slots
                    }
                    Admission::Shed(refused) => match refused.reason {
                        Shed::DeadlineTooShort => spare % 1_000 == 0,
                        Shed::QueueDelay => work / u64::from(slots) * 4 >= u64::from(spare % 1_000),
                        Shed::QueueFull => false,
                    },
                }
            })
    }
    check_property(62, property as fn(u8, Vec<(u8, u8, u16, u8)>) -> bool);
}

// Guards against retry storms: more further sends than a tenth of the requests.
#[test]
fn retries_stay_within_a_tenth_of_requests() {
    fn property(steps: Vec<bool>) -> bool {
        let mut budget = RetryBudget::default();
        let (mut requests, mut sends) = (0, 0);
        steps.into_iter().all(|is_request| {
            if is_request {
                budget.record_request();
                requests += 1;
            } else {
                sends += u32::from(budget.take());
            }
            sends * 10 <= requests
        })
    }
    check_property(63, property as fn(Vec<bool>) -> bool);
    for (attempt, longest) in [(1, 50), (2, 100), (5, 800), (200, 5_000)] {
        assert_eq!(backoff(attempt, longest), Millis(longest));
        assert_eq!(backoff(attempt, longest + 1), Millis(0));
    }
}

// Guards against a non-idempotent request that runs twice (P7).
#[test]
fn only_idempotent_requests_without_an_answer_are_hedged() {
    let input = HedgeInput {
        idempotent: true,
        progress: Progress::Sent,
        alternative: true,
        budget: true,
        waited: Millis(500),
        usual: Millis(500),
    };
    let refused = |input| matches!(hedge(&input), Hedge::Never(_));
    let early = HedgeInput {
        waited: Millis(200),
        ..input
    };

    assert_eq!(hedge(&input), Hedge::Send);
    assert_eq!(hedge(&early), Hedge::Wait(Millis(300)));
    for progress in [Progress::Hedged, Progress::Answering] {
        assert!(refused(HedgeInput { progress, ..input }));
    }
    assert!(refused(HedgeInput {
        idempotent: false,
        ..input
    }));
    assert!(refused(HedgeInput {
        budget: false,
        ..input
    }));
    assert!(refused(HedgeInput {
        alternative: false,
        ..input
    }));
}

// Guards against circuits that open without a cause, allow several probes at once, or never close.
#[test]
fn circuits_open_probe_one_at_a_time_and_close() {
    fn property(steps: Vec<(u8, u16)>) -> bool {
        let (upstream, version) = (UpstreamId::from("a"), VersionRef::new("small", "v1"));
        let mut circuits = Circuits::default();
        let mut now = Millis(0);
        let mut probe: Option<Millis> = None;
        let mut failures = 0;
        steps.into_iter().all(|(kind, elapsed)| {
            now = now + Millis(u64::from(elapsed % 4_000));
            let succeeded = kind % 3 == 0;
            match circuits.admit(&upstream, &version, now) {
                // Some probes get no result.
                CircuitDecision::Probe(_) if kind > 200 => {
                    let alone = probe.is_none_or(|sent| now.since(sent) >= Millis(10_000));
                    probe = Some(now);
                    alone
                }
                CircuitDecision::Denied(wait) => {
                    let mut later = circuits.clone();
                    let decision = later.admit(&upstream, &version, now + wait);
                    let opens = matches!(decision, CircuitDecision::Probe(_)) || probe.is_some();
                    failures >= 3 && wait <= Millis(30_000) && opens
                }
                decision => {
                    probe = None;
                    failures += u32::from(!succeeded);
                    circuits.record_result(&upstream, &version, decision, succeeded, now);
                    true
                }
            }
        })
    }
    check_property(64, property as fn(Vec<(u8, u16)>) -> bool);

    let (upstream, version) = (UpstreamId::from("a"), VersionRef::new("small", "v1"));
    let mut circuits = Circuits::default();
    for _ in 0..5 {
        circuits.record_result(
            &upstream,
            &version,
            CircuitDecision::Allowed,
            false,
            Millis(0),
        );
    }
    let blocked = circuits.admit(&upstream, &version, Millis(0));
    assert_eq!(blocked, CircuitDecision::Denied(Millis(1_000)));
    // A probe that times out after ten seconds opens the circuit for two; its late result is ignored.
    let timed_out_probe = circuits.admit(&upstream, &version, Millis(1_000));
    let blocked = circuits.admit(&upstream, &version, Millis(11_000));
    assert_eq!(blocked, CircuitDecision::Denied(Millis(2_000)));
    for _ in 0..3 {
        let probe = circuits.admit(&upstream, &version, Millis(13_000));
        assert_eq!(probe, CircuitDecision::Probe(Millis(13_000)));
        circuits.record_result(&upstream, &version, timed_out_probe, true, Millis(13_000));
        let blocked = circuits.admit(&upstream, &version, Millis(13_000));
        assert_eq!(blocked, CircuitDecision::Denied(Millis(10_000)));
        circuits.record_result(&upstream, &version, probe, true, Millis(13_000));
    }
    assert_eq!(circuits, Circuits::default());
}

// Guards against lost goodput and slow top-priority requests under overload (D12). At a fixed load of twice
// the capacity, the slots must do useful work all the time, and the 95th percentile of the wait at the top
// priority must be at most a fifth of the service time.
#[test]
fn twice_the_capacity_keeps_goodput_and_the_top_priority_fast() {
    const SLOTS: u64 = 20;
    const SERVICE: u64 = 1_000;
    // Service times differ, since equal ones would free all slots at the same time.
    let ends_at = |start: u64, id: u64| start + SERVICE / 2 + id * 617 % (SERVICE + 1);
    let mut queue = AdmissionQueue::new(20);
    let mut running: Vec<(u64, AdmissionRequest)> = Vec::new();
    let (mut answered, mut top_waits) = (0, Vec::new());
    // One request arrives every 25 ms; the slots complete one every 50 ms.
    for (id, now) in (0..).zip((0..60_000).step_by(25)) {
        while let Some(at) = (0..running.len()).min_by_key(|&at| running[at].0)
            && running[at].0 <= now
        {
            let (end, offer) = running.remove(at);
            answered += u64::from(end <= offer.deadline.0);
            if let Some(next) = queue.release(Millis(end), &mut Vec::new()) {
                running.push((ends_at(end, next.id), next));
                if next.priority == Priority::High {
                    top_waits.push(end + 5_000 - next.deadline.0);
                }
            }
        }
        let offer = AdmissionRequest {
            id,
            priority: [
                Priority::High,
                Priority::Normal,
                Priority::Low,
                Priority::Low,
            ][usize::try_from(id % 4).unwrap_or(0)],
            deadline: Millis(now + 5_000),
            expected_run_time: Millis(SERVICE),
        };
        if queue.submit(offer, Millis(now)) == Admission::Run {
            running.push((ends_at(now, id), offer));
        }
    }

    top_waits.sort_unstable();
    let p95 = top_waits[top_waits.len() * 95 / 100];
    assert!(
        answered * 100 >= 95 * 60 * SLOTS,
        "{answered} answers in time"
    );
    assert!(p95 <= SERVICE / 5, "the top priority waits {p95} ms");
}
