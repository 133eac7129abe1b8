//! Stateful fuzzing of the transfer of an answer over a faulty network, and tests of its deadlines.

use sha2::{Digest, Sha256};

use super::*;
use crate::fixtures::check_property;
use crate::ids::Incarnation;

const BUFFER_BYTES: usize = 64;
const ATTEMPTS: u32 = 3;
const ANSWER_BYTES: usize = 600;

fn attempt_id(attempt: u32) -> AttemptId {
    let gateway = Incarnation(7);
    let request = RequestId { gateway, seq: 1 };
    AttemptId { request, attempt }
}

/// Returns the answer of an attempt; no two attempts give the same bytes.
fn expected_answer(attempt: u32) -> Vec<u8> {
    let byte = |at: u32| (at * 7 + attempt * 31).to_le_bytes()[0];
    (0..).map(byte).take(ANSWER_BYTES).collect()
}

/// A network that loses, delays, reorders and repeats messages between one gateway and its agents.
#[derive(Debug)]
struct Simulation {
    buffers: Vec<AnswerBuffer>,
    broken: [bool; ATTEMPTS as usize],
    assembly: Assembly,
    reads: Vec<(u32, u64, usize)>,
    replies: Vec<Reply>,
    delivered: Vec<u8>,
    end: Option<FeedResult>,
}

impl Simulation {
    fn open() -> Self {
        let open = |attempt| AnswerBuffer::open(attempt_id(attempt), BUFFER_BYTES, Millis(0));
        Self {
            buffers: (0..ATTEMPTS).map(open).collect(),
            broken: [false; ATTEMPTS as usize],
            assembly: Assembly::open(attempt_id(0)),
            reads: Vec::new(),
            replies: Vec::new(),
            delivered: Vec::new(),
            end: None,
        }
    }

    fn produce(&mut self, attempt: u32, len: usize, break_here: bool) {
        let buffer = &mut self.buffers[attempt as usize];
        let expected_answer = expected_answer(attempt);
        let from = usize::try_from(buffer.length()).expect("the answer is short");
        let to = expected_answer.len().min(from + len);
        let taken = buffer.append(&expected_answer[from..to]);
        if break_here {
            self.broken[attempt as usize] |= from + taken < ANSWER_BYTES;
            buffer.end(EndStatus::Broken, Millis(0));
        } else if from + taken == ANSWER_BYTES {
            buffer.end(EndStatus::Complete, Millis(0));
        }
        assert!(buffer.room() <= BUFFER_BYTES);
    }

    fn send_read(&mut self, max: usize) {
        let attempt = self.assembly.attempt_id().attempt;
        self.reads.push((attempt, self.assembly.offset(), max));
    }

    fn serve(&mut self, (attempt, offset, max): (u32, u64, usize)) {
        let reply = self.buffers[attempt as usize].read(offset, max, Millis(0));
        self.replies.push(reply);
    }

    fn deliver(&mut self, reply: Reply) {
        let result = self.assembly.feed(reply);
        let attempt = self.assembly.attempt_id().attempt;
        match result {
            FeedResult::Bytes(bytes) => self.delivered.extend_from_slice(&bytes),
            FeedResult::Whole => {
                assert_eq!(
                    self.delivered,
                    expected_answer(attempt),
                    "a partial answer was reported as complete"
                );
                self.end = Some(result);
            }
            FeedResult::Incomplete(reason) => {
                assert_eq!(reason, IncompleteReason::UpstreamFailed);
                assert!(self.broken[attempt as usize]);
                self.end = Some(result);
            }
            FeedResult::Waiting | FeedResult::ReadAgain(_) | FeedResult::Dropped => {}
        }
        assert!(
            expected_answer(attempt).starts_with(&self.delivered),
            "the delivered bytes are not a prefix of the answer"
        );
    }

    /// Delivers correct parts that no read requested, as an agent with several readers could send.
    fn deliver_ahead(&mut self, attempt: u32, offset: usize, len: usize) {
        let expected_answer = expected_answer(attempt);
        let part = if len < 40 {
            Part::End(End {
                status: EndStatus::Complete,
                length: ANSWER_BYTES as u64,
                digest: Sha256::digest(&expected_answer).into(),
            })
        } else {
            Part::Chunk {
                offset: offset as u64,
                bytes: expected_answer[offset..ANSWER_BYTES.min(offset + len)]
                    .to_vec()
                    .into(),
            }
        };
        let attempt_id = attempt_id(attempt);
        self.deliver(Reply { attempt_id, part });
    }

    fn apply(&mut self, (op, a, b): (u8, u8, u8)) {
        let attempt = u32::from(b) % ATTEMPTS;
        match op % 16 {
            0..=3 => self.produce(attempt, usize::from(a), op == 250),
            4..=7 => self.send_read(usize::from(a)),
            8 if !self.reads.is_empty() => {
                self.reads.swap_remove(usize::from(a) % self.reads.len());
            }
            8..=10 if !self.reads.is_empty() => {
                let read = self.reads[usize::from(a) % self.reads.len()];
                self.serve(read);
            }
            11..=13 if !self.replies.is_empty() => {
                let at = usize::from(a) % self.replies.len();
                // The reply stays in the network, so that it can arrive again later.
                let reply = self.replies[at].clone();
                self.deliver(reply);
            }
            14 if a > 200 => {
                let has_delivered = !self.delivered.is_empty();
                let switched = self.assembly.switch(attempt).is_ok();
                assert!(
                    !(switched && has_delivered),
                    "another attempt continued the answer"
                );
            }
            15 => self.deliver_ahead(attempt, usize::from(a) * 2, usize::from(b)),
            _ => {}
        }
    }

    /// Continues to read without faults until the answer ends.
    fn finish(&mut self) {
        let attempt = self.assembly.attempt_id().attempt;
        for _ in 0..4 * ANSWER_BYTES {
            self.produce(attempt, 50, false);
            self.serve((attempt, self.assembly.offset(), 40));
            let reply = self.replies.pop().expect("the read was just served");
            self.deliver(reply);
            if self.end.is_some() {
                return;
            }
        }
        panic!("the answer does not end");
    }
}

// Guards against bytes that are lost, repeated, out of order or of another attempt, against a partial answer
// that is reported as complete, and against an answer that never ends.
#[test]
fn delivered_bytes_are_a_prefix_of_one_attempt() {
    type Ops = Vec<(u8, u8, u8)>;
    fn property(first: Ops, second: Ops) -> bool {
        let mut simulation = Simulation::open();
        for op in [first, second].concat() {
            simulation.apply(op);
        }
        simulation.finish();
        true
    }
    check_property(1, property as fn(Ops, Ops) -> bool);
}

// Guards against damaged bytes, a wrong length and missing bytes in an answer that is reported as complete.
#[test]
fn damaged_answers_end_as_incomplete() {
    let mut buffer = AnswerBuffer::open(attempt_id(0), BUFFER_BYTES, Millis(0));
    assert_eq!(buffer.append(b"pearls"), 6);
    buffer.end(EndStatus::Complete, Millis(0));
    let end = buffer.read(6, 9, Millis(0));
    let early = Assembly::open(attempt_id(0)).feed(end.clone());
    assert_eq!(
        early,
        FeedResult::ReadAgain(0),
        "an end that arrives before the bytes"
    );
    let reply = |part| Reply {
        attempt_id: attempt_id(0),
        part,
    };
    let chunk = |bytes: &'static [u8]| {
        reply(Part::Chunk {
            offset: 0,
            bytes: Bytes::from_static(bytes),
        })
    };

    let cases = [
        (
            chunk(b"pearlS"),
            end.clone(),
            IncompleteReason::DigestMismatch,
        ),
        (chunk(b"pearls!"), end, IncompleteReason::LengthMismatch),
        (
            chunk(b"pea"),
            reply(Part::Gone { first: 6 }),
            IncompleteReason::BytesGone,
        ),
    ];
    for (first, second, reason) in cases {
        let mut assembly = Assembly::open(attempt_id(0));
        assembly.feed(first.clone());
        assert_eq!(assembly.feed(second), FeedResult::Incomplete(reason));
        assert_eq!(assembly.feed(first), FeedResult::Dropped);
        assert_eq!(assembly.switch(1), Err(SwitchError::Ended));
    }
}

// Guards against a run that continues without a reader, and against an answer that is dropped too early or
// never.
#[test]
fn an_answer_is_cancelled_and_dropped_in_time() {
    let mut buffer = AnswerBuffer::open(attempt_id(0), BUFFER_BYTES, Millis(0));
    assert_eq!(buffer.append(&[1; 100]), BUFFER_BYTES);
    assert_eq!(buffer.room(), 0);
    let before = Millis(READER_TIMEOUT.0 - 1);

    buffer.read(10, 1, before);

    assert_eq!(buffer.room(), 10);
    let cancel_at = before + READER_TIMEOUT;
    assert_eq!(
        buffer.next_action(READER_TIMEOUT),
        RetentionAction::KeepUntil(cancel_at)
    );
    assert_eq!(buffer.next_action(cancel_at), RetentionAction::Cancel);
    buffer.end(EndStatus::Broken, cancel_at);
    assert_eq!(buffer.append(b"late"), 0);
    let drop_at = cancel_at + ENDED_ANSWER_RETENTION;
    assert_eq!(
        buffer.next_action(cancel_at),
        RetentionAction::KeepUntil(drop_at)
    );
    assert_eq!(buffer.next_action(drop_at), RetentionAction::Drop);
    buffer.acknowledge();
    assert_eq!(buffer.next_action(cancel_at), RetentionAction::Drop);
}
