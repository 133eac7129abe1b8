//! The agent's end of its links.

use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client};
use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};

use super::auth::{PeerKey, Role};
use super::message::{ReadReply, ReadRequest, RunReply, RunRequest, Status};
use super::peer_capnp::{bootstrap, peer};
use super::{SCHEMA_VERSION, codec, network};
use crate::kv::LocalFuture;
use crate::units::Millis;

/// Pause after a failed accept, for instance when no file descriptors are left.
const ACCEPT_PAUSE: Millis = Millis(50);

/// The calls that an agent handles for its gateways.
pub trait PeerCalls: fmt::Debug {
    /// Runs one attempt of a request.
    fn run(&self, req: RunRequest) -> LocalFuture<'_, RunReply>;
    /// Reads an answer from an offset; returns within a second.
    fn read(&self, req: ReadRequest) -> LocalFuture<'_, ReadReply>;
    /// Records that an answer has arrived completely.
    fn ack(&self, answer: u64);
    /// Cancels an answer that is no longer needed.
    fn cancel(&self, answer: u64);
    /// Exchanges status with a gateway.
    fn status(&self, gateway: Status) -> Status;
    /// Handles dissemination messages of the sheet and returns the replies.
    fn exchange(&self, messages: Bytes) -> Bytes;
    /// Handles crash reports from a gateway.
    fn suspects(&self, reports: Bytes);
    /// Sends a command to the engine.
    fn order(&self, fence: u64, order: Bytes) -> LocalFuture<'_, Bytes>;
}

/// A listener and its links; dropping it closes all of them.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    accept: JoinHandle<()>,
    links: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Server {
    /// Binds the address and serves links until the handle is dropped.
    ///
    /// # Errors
    /// The socket's error, for instance because another agent uses the address.
    pub async fn bind(
        addr: SocketAddr,
        key: PeerKey,
        calls: Rc<dyn PeerCalls>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let links = Rc::new(RefCell::new(Vec::new()));
        let accept = actix_rt::spawn(accept_links(listener, key, calls, Rc::clone(&links)));
        Ok(Self {
            addr,
            accept,
            links,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
        for link in self.links.borrow().iter() {
            link.abort();
        }
    }
}

async fn accept_links(
    listener: TcpListener,
    key: PeerKey,
    calls: Rc<dyn PeerCalls>,
    links: Rc<RefCell<Vec<JoinHandle<()>>>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let link = actix_rt::spawn(serve_link(stream, key.clone(), Rc::clone(&calls)));
                let mut links = links.borrow_mut();
                links.retain(|link| !link.is_finished());
                links.push(link);
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "");
                actix_rt::time::sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
}

async fn serve_link(stream: TcpStream, key: PeerKey, calls: Rc<dyn PeerCalls>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::warn!(event = "link_failed", error:% = error; "");
        return;
    }
    let network = network::open(stream, Side::Server);
    let handshake = Handshake {
        key,
        calls,
        nonces: RefCell::new(None),
    };
    let bootstrap: bootstrap::Client = new_client(handshake);
    RpcSystem::new(Box::new(network), Some(bootstrap.client))
        .map(drop)
        .await;
}

/// The nonces of a handshake, the client's first.
type Nonces = (Vec<u8>, [u8; 16]);

/// The bootstrap object of a new link; it returns the peer interface after authentication.
struct Handshake {
    key: PeerKey,
    calls: Rc<dyn PeerCalls>,
    nonces: RefCell<Option<Nonces>>,
}

impl bootstrap::Server for Handshake {
    async fn hello(
        self: Rc<Self>,
        params: bootstrap::HelloParams,
        mut results: bootstrap::HelloResults,
    ) -> Result<(), capnp::Error> {
        let client = params.get()?.get_nonce()?.to_vec();
        let server = *uuid::Uuid::new_v4().as_bytes();
        let mut reply = results.get();
        reply.set_schema(SCHEMA_VERSION);
        reply.set_nonce(&server);
        reply.set_proof(&self.key.proof(Role::Server, &client, &server));
        *self.nonces.borrow_mut() = Some((client, server));
        Ok(())
    }

    async fn open(
        self: Rc<Self>,
        params: bootstrap::OpenParams,
        mut results: bootstrap::OpenResults,
    ) -> Result<(), capnp::Error> {
        // Takes the nonces, so that each handshake allows only one attempt.
        let nonces = self.nonces.borrow_mut().take();
        let is_authenticated = nonces.is_some_and(|(client, server)| {
            params
                .get()
                .and_then(bootstrap::open_params::Reader::get_proof)
                .is_ok_and(|proof| self.key.verify(Role::Client, &client, &server, proof))
        });
        if !is_authenticated {
            log::warn!(event = "link_rejected", reason = "wrong peer key"; "");
            return Err(capnp::Error::failed("wrong peer key".to_owned()));
        }
        results
            .get()
            .set_peer(new_client(PeerInterface(Rc::clone(&self.calls))));
        Ok(())
    }
}

/// The peer interface of an authenticated link.
struct PeerInterface(Rc<dyn PeerCalls>);

impl peer::Server for PeerInterface {
    async fn run(
        self: Rc<Self>,
        params: peer::RunParams,
        mut results: peer::RunResults,
    ) -> Result<(), capnp::Error> {
        let req = codec::get_run_request(params.get()?.get_request()?)?;
        let reply = self.0.run(req).await;
        codec::put_run_reply(results.get().init_reply(), &reply);
        Ok(())
    }

    async fn read(
        self: Rc<Self>,
        params: peer::ReadParams,
        mut results: peer::ReadResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let req = ReadRequest {
            answer: params.get_answer(),
            offset: params.get_offset(),
            max: params.get_max(),
            linger: Millis(params.get_linger_ms().into()),
        };
        let reply = self.0.read(req).await;
        codec::put_read_reply(results.get().init_reply(), &reply);
        Ok(())
    }

    async fn ack(
        self: Rc<Self>,
        params: peer::AckParams,
        _results: peer::AckResults,
    ) -> Result<(), capnp::Error> {
        self.0.ack(params.get()?.get_answer());
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: peer::CancelParams,
        _results: peer::CancelResults,
    ) -> Result<(), capnp::Error> {
        self.0.cancel(params.get()?.get_answer());
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        params: peer::StatusParams,
        mut results: peer::StatusResults,
    ) -> Result<(), capnp::Error> {
        let gateway = codec::get_status(params.get()?.get_gateway()?)?;
        codec::put_status(results.get().init_agent(), &self.0.status(gateway));
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let messages = Bytes::copy_from_slice(params.get()?.get_messages()?);
        results.get().set_messages(&self.0.exchange(messages));
        Ok(())
    }

    async fn suspects(
        self: Rc<Self>,
        params: peer::SuspectsParams,
        _results: peer::SuspectsResults,
    ) -> Result<(), capnp::Error> {
        self.0
            .suspects(Bytes::copy_from_slice(params.get()?.get_reports()?));
        Ok(())
    }

    async fn order(
        self: Rc<Self>,
        params: peer::OrderParams,
        mut results: peer::OrderResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let order = Bytes::copy_from_slice(params.get_order()?);
        let reply = self.0.order(params.get_fence(), order).await;
        results.get().set_reply(&reply);
        Ok(())
    }
}
