//! Exchanged counts against an oracle that has all counts in one place.

use crate::fixtures;
use crate::router::comparison::{AnswerReport, Comparison};
use crate::router::mix;
use crate::router::rollout::{Answer, AnswerGrade};
use crate::units::Millis;

const GATEWAYS: usize = 5;
const ROUTES: u64 = 4;

struct Gateway {
    comparison: Comparison,
    boot: u64,
    seq: u64,
}

impl Gateway {
    fn report(&mut self, at: usize) -> AnswerReport {
        self.seq += 1;
        AnswerReport {
            service: "s".into(),
            to: "v2".into(),
            gateway: at.to_string().into(),
            boot: self.boot,
            seq: self.seq,
            routes: self.comparison.own().to_vec(),
        }
    }
}

/// Reports are lost, repeated and reordered, and gateways start anew. Once the latest report of each process has arrived, the sums,
/// the findings and the proof must be those of one place that has seen all answers.
#[test]
fn exchanged_counts_lead_to_the_verdict_of_one_place_that_has_seen_all() {
    fn property(seed: u64, steps: Vec<u8>) {
        let mut state = mix(seed);
        let mut draw = |below: u64| {
            state = mix(state);
            state % below
        };
        let new = || Gateway {
            comparison: Comparison::default(),
            boot: 1,
            seq: 0,
        };
        let mut gateways: Vec<_> = (0..GATEWAYS).map(|_| new()).collect();
        let (mut oracle, mut judge) = (Comparison::default(), Comparison::default());
        let mut late = Vec::new();
        let failing = [draw(100), draw(100)];
        for step in steps {
            let at = usize::from(step) % GATEWAYS;
            let gateway = &mut gateways[at];
            match step / 32 {
                0 => late.push(gateway.report(at)),
                1 => judge.merge(gateway.report(at), Millis(0)),
                2 if draw(4) == 0 => {
                    // What a process has reported last stays known after it has ended.
                    judge.merge(gateway.report(at), Millis(0));
                    *gateway = Gateway {
                        boot: gateway.boot + 1,
                        ..new()
                    };
                }
                _ => {
                    for _ in 0..draw(20) {
                        let (route, is_new) = (draw(ROUTES), draw(3) == 0);
                        let is_failed = draw(100) < failing[usize::from(is_new)];
                        let (answer, grade) = if is_failed {
                            (Answer::Failed, AnswerGrade::Failed)
                        } else {
                            (Answer::Good(Millis(20)), AnswerGrade::Normal)
                        };
                        gateway.comparison.count(route, is_new, answer, grade);
                        oracle.count(route, is_new, answer, grade);
                    }
                }
            }
        }
        for (at, gateway) in gateways.iter_mut().enumerate() {
            late.push(gateway.report(at));
        }
        while !late.is_empty() {
            let next = usize::try_from(draw(late.len() as u64)).expect("a small number");
            let report = late.swap_remove(next);
            judge.merge(report.clone(), Millis(0));
            judge.merge(report, Millis(0));
        }

        for comparison in [&mut judge, &mut oracle] {
            comparison.update(false, Millis(0));
        }

        assert_eq!(judge.sums(), oracle.sums());
        assert_eq!(judge.finding(), oracle.finding());
        assert_eq!(judge.proof(), oracle.proof());
    }
    fixtures::check_property(11, property as fn(u64, Vec<u8>));
}
