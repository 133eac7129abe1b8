//! Tests of the datagram encoding and of a sender beside a stand-in engine.

use std::num::NonZeroU64;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};

use super::receiver::{self, with_new_bad_answers};
use super::sender::{self, Sender};
use super::{Datagram, Load, MAX_DATAGRAM_BYTES, Subscription};
use crate::fixtures;
use crate::forward::{follow, rollouts};
use crate::router::named_limits::LimitWord;
use crate::router::rollout::Judged;
use crate::router::turns::Lease;
use crate::units::Millis;

const ANSWER_COUNTS: Judged = Judged {
    answers: 70_000,
    failed: 1,
    slow: 2,
    paces: 30,
    slow_paces: 4,
};

const WORD: LimitWord = LimitWord {
    per_1000_s: Some(3_500),
    age: Millis(40),
};

#[test]
fn datagrams_are_read_back_and_others_are_ignored() {
    let load = Load {
        seq: 7,
        waiting: 1,
        starting: 2,
        running: 300,
        gateways: 68,
        answer_counts: ANSWER_COUNTS,
        limit: Some(WORD),
        leaving_boot: NonZeroU64::new(1_700_000_000_123),
        boot: NonZeroU64::new(1_700_000_000_123),
        cold_left_ms: 2_900,
        answering_for_ms: 70_000,
        sent_at: Millis(1_700_000_001_000),
        asked_at_ms: u32::MAX,
        lease: Lease::new(31, 32),
    };
    let lifted = LimitWord {
        per_1000_s: None,
        ..WORD
    };

    for datagram in [
        Datagram::Subscribe(Subscription {
            answer_counts: ANSWER_COUNTS,
            is_urgent: true,
            ..Subscription::default()
        }),
        Datagram::Subscribe(Subscription {
            answer_counts: ANSWER_COUNTS,
            limit: Some(lifted),
            asked_at_ms: 7,
            is_urgent: false,
        }),
        Datagram::Load(load),
    ] {
        let mut bytes = datagram.encode();
        assert_eq!(Datagram::decode(&bytes), Some(datagram));
        bytes.push(0);
        assert_eq!(Datagram::decode(&bytes), None);
    }
}

#[test]
fn any_bytes_are_decoded_or_ignored() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its values by value"
    )]
    fn property(bytes: Vec<u8>) {
        if let Some(datagram) = Datagram::decode(&bytes) {
            assert_eq!(datagram.encode(), bytes);
        }
    }
    fixtures::check_property(4, property as fn(Vec<u8>));
}

/// A subscriber receives the load, the summed answer counts of all subscribers, the latest word of the limit, and whether the
/// engine leaves.
#[test]
fn a_subscriber_receives_the_load_of_the_engine() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback can be bound");
        let engine = listener.local_addr().expect("the listener is bound");
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the sender connects");
            let mut buf = [0; 1_024];
            while stream.read(&mut buf).await.is_ok_and(|length| length > 0) {
                let body =
                    r#"{"waiting":3,"running":2,"runs":[["a",9,0,5],["b",9,4,5]],"born":99}"#;
                let head = format!(
                    "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nX-Fireflywind-Cold-Ms: 1500\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let answer = format!("{head}{body}");
                stream
                    .write_all(answer.as_bytes())
                    .await
                    .expect("the sender reads");
            }
        });
        let any = "127.0.0.1:0".parse().expect("the text is an address");
        let sender = Sender::bind(any, engine)
            .await
            .expect("loopback can be bound");
        let other = UdpSocket::bind(any).await.expect("loopback can be bound");
        let gateway = UdpSocket::bind(any).await.expect("loopback can be bound");

        let older = LimitWord {
            per_1000_s: Some(9_000),
            age: Millis::from_secs(60),
        };
        for (socket, word) in [(&other, older), (&gateway, WORD)] {
            let subscription = Datagram::Subscribe(Subscription {
                answer_counts: ANSWER_COUNTS,
                limit: Some(word),
                asked_at_ms: 5,
                is_urgent: false,
            })
            .encode();
            let sent = socket.send_to(&subscription, sender.addr()).await;
            sent.expect("loopback accepts the datagram");
        }
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        let (length, _) = gateway.recv_from(&mut buf).await.expect("a load arrives");

        let expected = Load {
            seq: 1,
            waiting: 3,
            starting: 1,
            running: 2,
            gateways: 2,
            answer_counts: ANSWER_COUNTS.plus(ANSWER_COUNTS),
            limit: None,
            leaving_boot: NonZeroU64::new(99),
            boot: NonZeroU64::new(99),
            cold_left_ms: 1_500,
            answering_for_ms: 0,
            sent_at: Millis(0),
            asked_at_ms: 5,
            // A beacon that ran before may have leased the turns of a process that is older than this one.
            lease: None,
        };
        let Some(Datagram::Load(load)) = Datagram::decode(&buf[..length]) else {
            panic!("the datagram is not a load");
        };
        assert_eq!(load.limit.and_then(|l| l.per_1000_s), WORD.per_1000_s);
        assert_eq!(
            Load {
                limit: None,
                sent_at: Millis(0),
                ..load
            },
            expected
        );
        sender.stop();
    });
}

/// A bad answer must not wait for the next renewal of the subscription until other gateways count it.
#[test]
fn only_engines_with_new_bad_answers_are_reported_between_renewals() {
    let ip = |n: u8| std::net::IpAddr::from([10, 0, 0, n]);
    let counts = |answers, failed, slow, slow_paces| Judged {
        answers,
        failed,
        slow,
        slow_paces,
        ..Judged::default()
    };
    let reported = [
        (ip(1), counts(5, 0, 0, 0)),
        (ip(2), counts(5, 1, 0, 0)),
        (ip(3), counts(5, 0, 2, 1)),
    ];
    let engines = [
        (ip(1), counts(50, 0, 0, 0)),
        (ip(2), counts(6, 2, 0, 0)),
        (ip(3), counts(6, 0, 2, 2)),
        (ip(4), counts(1, 0, 1, 0)),
        (ip(5), counts(9, 0, 0, 0)),
    ];

    let due = with_new_bad_answers(&engines, &reported);

    assert_eq!(due, [engines[1], engines[2], engines[3]]);
}

/// From a bad answer to the last gateway that reads the recorded stop, each hop has its bound. With a write that the store
/// refuses once and a second for the calls to it, they add up to less than 4 s, so that 1 s is left of the five in which
/// a bad version must get its last request.
#[test]
fn the_hops_from_a_bad_answer_to_the_last_gateway_fit_the_rollback_bound() {
    let hops = [
        receiver::REPORT_INTERVAL,
        sender::POLL_PAUSE,
        sender::REPORT_TIMEOUT,
        rollouts::DECISION_INTERVAL,
        rollouts::MAX_WRITE_RETRY_PAUSE,
        Millis::from_secs(1),
        follow::MAX_ROLLOUT_BATCH_DELAY,
    ];

    let sum: u64 = hops.iter().map(|hop| hop.0).sum();

    assert!(sum <= 4_000, "{sum} ms");
}

/// One report that is lost or late must not make a warm upstream count as cold at all gateways; a silence or a new process must.
#[test]
fn an_upstream_answers_without_a_silence_although_a_report_is_lost() {
    let boot = NonZeroU64::new(7);
    let mut answering = sender::Answering::default();
    answering.observe(boot, Millis(0));

    let after_a_loss = answering.observe(boot, Millis(950));
    let after_a_silence = answering.observe(boot, Millis(2_000));
    let later = answering.observe(boot, Millis(2_400));
    let of_another_process = answering.observe(NonZeroU64::new(8), Millis(2_600));

    assert_eq!([after_a_loss, later], [Millis(950), Millis(400)]);
    assert_eq!([after_a_silence, of_another_process], [Millis(0); 2]);
}
