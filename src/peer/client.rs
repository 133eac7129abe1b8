//! The gateway's end of a link to one agent.

use std::fmt;
use std::net::SocketAddr;

use actix_rt::task::JoinHandle;
use actix_rt::time::timeout;
use bytes::Bytes;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures_util::FutureExt;
use tokio::net::TcpStream;

use super::auth::{PeerKey, Role};
use super::message::{ReadReply, ReadRequest, RunReply, RunRequest, Status};
use super::peer_capnp::{bootstrap, peer};
use super::{SCHEMA_VERSION, codec, network};
use crate::units::Millis;

/// The failure of a call over a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// No connection was made, so nothing was sent.
    Unreachable(String),
    /// The agent did not prove that it knows the peer key, or uses another schema version.
    Rejected(String),
    /// No reply came before the deadline.
    Timeout,
    /// The connection failed after the call was sent.
    Broken(String),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "agent is unreachable: {reason}"),
            Self::Rejected(reason) => write!(f, "agent was rejected: {reason}"),
            Self::Timeout => f.write_str("agent gave no reply before the deadline"),
            Self::Broken(reason) => write!(f, "connection to the agent broke: {reason}"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<capnp::Error> for LinkError {
    fn from(error: capnp::Error) -> Self {
        Self::Broken(error.to_string())
    }
}

/// An authenticated connection to an agent; dropping it closes the connection.
pub struct Link {
    peer: peer::Client,
    rpc: JoinHandle<()>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").finish_non_exhaustive()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.rpc.abort();
    }
}

/// Awaits a call with a deadline and maps its errors.
async fn with_deadline<T>(
    deadline: Millis,
    call: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, LinkError> {
    match timeout(deadline.duration(), call).await {
        Ok(outcome) => outcome.map_err(LinkError::from),
        Err(_elapsed) => Err(LinkError::Timeout),
    }
}

impl Link {
    /// Connects to an agent and authenticates both ends.
    ///
    /// # Errors
    /// [`LinkError`] if there is no authenticated connection before the deadline.
    pub async fn connect(
        addr: SocketAddr,
        key: &PeerKey,
        deadline: Millis,
    ) -> Result<Self, LinkError> {
        match timeout(
            deadline.duration(),
            Self::connect_without_deadline(addr, key),
        )
        .await
        {
            Ok(outcome) => outcome,
            Err(_elapsed) => Err(LinkError::Unreachable("connect timed out".to_owned())),
        }
    }

    async fn connect_without_deadline(addr: SocketAddr, key: &PeerKey) -> Result<Self, LinkError> {
        let unreachable = |error: std::io::Error| LinkError::Unreachable(error.to_string());
        let stream = TcpStream::connect(addr).await.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let network = network::open(stream, Side::Client);
        let mut system = RpcSystem::new(Box::new(network), None);
        let bootstrap: bootstrap::Client = system.bootstrap(Side::Server);
        let rpc = actix_rt::spawn(system.map(drop));
        match authenticate(&bootstrap, key).await {
            Ok(peer) => Ok(Self { peer, rpc }),
            Err(error) => {
                rpc.abort();
                Err(error)
            }
        }
    }

    /// Calls the agent to run one attempt of a request.
    ///
    /// # Errors
    /// [`LinkError`]; the attempt may have started unless the error is [`LinkError::Unreachable`].
    pub async fn run(&self, req: &RunRequest, deadline: Millis) -> Result<RunReply, LinkError> {
        let mut call = self.peer.run_request();
        codec::put_run_request(call.get().init_request(), req);
        with_deadline(deadline, async {
            let reply = call.send().promise.await?;
            codec::get_run_reply(reply.get()?.get_reply()?)
        })
        .await
    }

    /// Reads an answer from an offset by a long poll, to which the agent replies within a second.
    ///
    /// # Errors
    /// [`LinkError`]; the read can be repeated over another link.
    pub async fn read(&self, req: ReadRequest, deadline: Millis) -> Result<ReadReply, LinkError> {
        let mut call = self.peer.read_request();
        let mut params = call.get();
        params.set_answer(req.answer);
        params.set_offset(req.offset);
        params.set_max(req.max);
        params.set_linger_ms(u32::try_from(req.linger.0).unwrap_or(u32::MAX));
        with_deadline(deadline, async {
            let reply = call.send().promise.await?;
            codec::get_read_reply(reply.get()?.get_reply()?)
        })
        .await
    }

    /// Notifies the agent that the complete answer has arrived.
    ///
    /// # Errors
    /// [`LinkError`]; the agent then keeps the answer until its retention period ends.
    pub async fn ack(&self, answer: u64, deadline: Millis) -> Result<(), LinkError> {
        let mut call = self.peer.ack_request();
        call.get().set_answer(answer);
        with_deadline(deadline, async { call.send().promise.await.map(drop) }).await
    }

    /// Notifies the agent that the answer is no longer needed.
    ///
    /// # Errors
    /// [`LinkError`]; the agent then cancels the run when nobody has read the answer for a while.
    pub async fn cancel(&self, answer: u64, deadline: Millis) -> Result<(), LinkError> {
        let mut call = self.peer.cancel_request();
        call.get().set_answer(answer);
        with_deadline(deadline, async { call.send().promise.await.map(drop) }).await
    }

    /// Exchanges status, which also serves as the heartbeat.
    ///
    /// # Errors
    /// [`LinkError`] if the agent sent no valid reply.
    pub async fn status(&self, own: &Status, deadline: Millis) -> Result<Status, LinkError> {
        let mut call = self.peer.status_request();
        codec::put_status(call.get().init_gateway(), own);
        with_deadline(deadline, async {
            let reply = call.send().promise.await?;
            codec::get_status(reply.get()?.get_agent()?)
        })
        .await
    }

    /// Exchanges dissemination messages of the sheet.
    ///
    /// # Errors
    /// [`LinkError`] if the agent sent no valid reply.
    pub async fn exchange(&self, messages: &[u8], deadline: Millis) -> Result<Bytes, LinkError> {
        let mut call = self.peer.exchange_request();
        call.get().set_messages(messages);
        with_deadline(deadline, async {
            let reply = call.send().promise.await?;
            Ok(Bytes::copy_from_slice(reply.get()?.get_messages()?))
        })
        .await
    }

    /// Reports crashes to the agent, with the requests that were in flight.
    ///
    /// # Errors
    /// [`LinkError`] if the agent did not confirm.
    pub async fn suspects(&self, reports: &[u8], deadline: Millis) -> Result<(), LinkError> {
        let mut call = self.peer.suspects_request();
        call.get().set_reports(reports);
        with_deadline(deadline, async { call.send().promise.await.map(drop) }).await
    }

    /// Sends an engine command to the agent.
    ///
    /// # Errors
    /// [`LinkError`]; the command may have taken effect.
    pub async fn order(
        &self,
        fence: u64,
        order: &[u8],
        deadline: Millis,
    ) -> Result<Bytes, LinkError> {
        let mut call = self.peer.order_request();
        call.get().set_fence(fence);
        call.get().set_order(order);
        with_deadline(deadline, async {
            let reply = call.send().promise.await?;
            Ok(Bytes::copy_from_slice(reply.get()?.get_reply()?))
        })
        .await
    }
}

/// Authenticates both ends to each other and returns the agent's interface.
async fn authenticate(
    bootstrap: &bootstrap::Client,
    key: &PeerKey,
) -> Result<peer::Client, LinkError> {
    let nonce = *uuid::Uuid::new_v4().as_bytes();
    let mut hello = bootstrap.hello_request();
    hello.get().set_schema(SCHEMA_VERSION);
    hello.get().set_nonce(&nonce);
    let reply = hello.send().promise.await?;
    let reply = reply.get()?;
    if reply.get_schema() != SCHEMA_VERSION {
        return Err(LinkError::Rejected(format!(
            "schema version {}",
            reply.get_schema()
        )));
    }
    let server_nonce = reply.get_nonce()?;
    if !key.verify(Role::Server, &nonce, server_nonce, reply.get_proof()?) {
        return Err(LinkError::Rejected("wrong peer key".to_owned()));
    }
    let mut open = bootstrap.open_request();
    open.get()
        .set_proof(&key.proof(Role::Client, &nonce, server_nonce));
    let reply = open.send().promise.await?;
    Ok(reply.get()?.get_peer()?)
}
