//! Tests of the protocol between gateways and agents, over loopback sockets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::*;
use crate::fixtures::check_property;
use crate::ids::{Incarnation, RequestId, VersionRef};
use crate::kv::LocalFuture;
use crate::refusal::{Code, Refusal};
use crate::units::Millis;

const DEADLINE: Millis = Millis::from_secs(20);

/// Echoes its input, so that a test covers both directions of the codec.
#[derive(Debug, Default)]
struct Echo {
    runs: RefCell<Vec<RunRequest>>,
    reply: RefCell<Option<RunReply>>,
}

impl PeerCalls for Echo {
    fn run(&self, req: RunRequest) -> LocalFuture<'_, RunReply> {
        Box::pin(async move {
            if req.path == "/never" {
                std::future::pending::<()>().await;
            }
            self.runs.borrow_mut().push(req);
            self.reply.borrow().clone().unwrap_or(RunReply::Accepted(7))
        })
    }

    fn read(&self, req: ReadRequest) -> LocalFuture<'_, ReadReply> {
        let ReadRequest {
            answer,
            offset,
            max,
            linger,
        } = req;
        let bytes = Bytes::from(vec![b'x'; usize::try_from(max).unwrap_or_default()]);
        let head = Head {
            status: 200,
            content_type: "text/plain".to_owned(),
        };
        let body = match answer {
            0 => ReadBody::Pending,
            1 => ReadBody::Chunk { offset, bytes },
            2 => ReadBody::End {
                length: offset,
                digest: [9; 32],
                charge: Bytes::from_static(b"{}"),
                replayed: true,
            },
            3 => ReadBody::Failed(Failure {
                refusal: refusal(),
                crashed: true,
                offset,
            }),
            _ => ReadBody::Gone,
        };
        Box::pin(async move {
            ReadReply {
                head,
                attempt: 9,
                running: u32::try_from(linger.0).unwrap_or_default(),
                body,
            }
        })
    }

    fn ack(&self, _answer: u64) {}

    fn cancel(&self, _answer: u64) {}

    fn status(&self, gateway: Status) -> Status {
        gateway
    }

    fn exchange(&self, messages: Bytes) -> Bytes {
        messages
    }

    fn suspects(&self, _reports: Bytes) {}

    fn order(&self, _fence: u64, order: Bytes) -> LocalFuture<'_, Bytes> {
        Box::pin(async move { order })
    }
}

fn key() -> PeerKey {
    PeerKey::new(&[7; 32]).expect("the key is long enough")
}

fn refusal() -> Refusal {
    Refusal::not_run(Code::Overloaded, "full").retry_after(Millis(250))
}

fn request(body: Vec<u8>, seq: u64) -> RunRequest {
    RunRequest {
        request: RequestId {
            gateway: Incarnation(u128::MAX - 5),
            seq,
        },
        step: 1,
        attempt: 2,
        account: "shop".into(),
        class: "tags".into(),
        target: Target::Version(VersionRef::new("small", "v1")),
        pinned: true,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        content_type: "application/json".to_owned(),
        body: body.into(),
        idempotency_key: Some("k".to_owned()),
        idempotent: true,
        wait: true,
        deadline: Millis(30_000),
        revision: 3,
    }
}

async fn server(calls: Rc<Echo>) -> Server {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Server::bind(any, key(), calls)
        .await
        .expect("loopback has a free port")
}

async fn link(server: &Server) -> Link {
    Link::connect(server.addr(), &key(), DEADLINE)
        .await
        .expect("both ends have the key")
}

fn run<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}

// Guards against a field that the codec drops or confuses with another.
#[test]
fn messages_arrive_as_they_were_sent() {
    fn property(body: Vec<u8>, seq: u64, service: bool) -> bool {
        run(async {
            let calls = Rc::new(Echo::default());
            let server = server(Rc::clone(&calls)).await;
            let link = link(&server).await;
            let mut req = request(body, seq);
            if service {
                req.target = Target::Service("orders".into());
                req.idempotency_key = None;
            }

            let reply = link.run(&req, DEADLINE).await;

            reply == Ok(RunReply::Accepted(7)) && *calls.runs.borrow() == [req]
        })
    }
    check_property(1, property as fn(Vec<u8>, u64, bool) -> bool);
}

// Guards against a reply whose kind or contents change in transit.
#[test]
fn every_kind_of_reply_arrives() {
    run(async {
        let calls = Rc::new(Echo::default());
        let server = server(Rc::clone(&calls)).await;
        let link = link(&server).await;

        for reply in [
            RunReply::Refused(refusal()),
            RunReply::Older(4),
            RunReply::Newer(6),
            RunReply::Busy(9),
        ] {
            *calls.reply.borrow_mut() = Some(reply.clone());
            assert_eq!(link.run(&request(vec![], 1), DEADLINE).await, Ok(reply));
        }
        for answer in 0..5 {
            let req = ReadRequest {
                answer,
                offset: 11,
                max: 3,
                linger: Millis(40),
            };
            let expected = calls.read(req).await;
            assert_eq!(link.read(req, DEADLINE).await, Ok(expected));
        }
        let echoed = link.exchange(b"messages", DEADLINE).await;
        assert_eq!(echoed, Ok(Bytes::from_static(b"messages")));
    });
}

// Guards against a link between processes with different peer keys.
#[test]
fn a_link_without_the_key_is_rejected() {
    run(async {
        let server = server(Rc::default()).await;
        let other_key = PeerKey::new(&[8; 32]).expect("the key is long enough");

        let link = Link::connect(server.addr(), &other_key, DEADLINE).await;

        assert!(matches!(link, Err(LinkError::Rejected(_))));
    });
}

// Guards against a call that waits for ever on a connection whose other end stopped answering.
#[test]
fn a_silent_agent_ends_the_call_at_its_deadline() {
    run(async {
        let server = server(Rc::default()).await;
        let link = link(&server).await;
        let mut req = request(vec![], 1);
        req.path = "/never".to_owned();

        assert_eq!(link.run(&req, Millis(50)).await, Err(LinkError::Timeout));
        assert_eq!(
            link.run(&request(vec![], 2), DEADLINE).await,
            Ok(RunReply::Accepted(7))
        );
    });
}

// Guards against an agent that stops on bytes from a foreign client.
#[test]
fn arbitrary_bytes_do_not_stop_the_server() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(bytes: Vec<u8>) -> bool {
        run(async {
            let server = server(Rc::default()).await;
            let mut foreign_client = TcpStream::connect(server.addr())
                .await
                .expect("the server listens");
            foreign_client
                .write_all(&bytes)
                .await
                .expect("the socket takes the bytes");

            let link = link(&server).await;

            link.run(&request(vec![], 1), DEADLINE).await.is_ok()
        })
    }
    check_property(2, property as fn(Vec<u8>) -> bool);
}
