//! Sending of a request beside the reading of its answer.
//!
//! An upstream may answer before it has read a long body, and may read on later or not at all.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use bytes::{Buf, Bytes};
use tokio::net::TcpStream;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Sending,
    Sent,
    Failed,
}

/// A request on its way to an upstream; sending ends when this is dropped.
#[derive(Debug)]
pub struct Upload {
    state: Rc<Cell<State>>,
    task: Option<JoinHandle<()>>,
}

impl Upload {
    /// Returns an upload with nothing left to send.
    #[must_use]
    pub fn sent() -> Self {
        Self {
            state: Rc::new(Cell::new(State::Sent)),
            task: None,
        }
    }

    /// Sends these parts; what the socket does not take at once is sent by a task.
    #[must_use]
    pub fn spawn(stream: &Rc<TcpStream>, mut parts: [Bytes; 2]) -> Self {
        let state = match write_some(stream, &mut parts) {
            Ok(true) => State::Sent,
            Ok(false) => State::Sending,
            Err(_) => State::Failed,
        };
        let state = Rc::new(Cell::new(state));
        if state.get() != State::Sending {
            return Self { state, task: None };
        }
        let (stream, end) = (Rc::clone(stream), Rc::clone(&state));
        let task = actix_rt::spawn(async move {
            let sent = write_rest(&stream, parts).await;
            end.set(if sent.is_ok() {
                State::Sent
            } else {
                State::Failed
            });
        });
        Self {
            state,
            task: Some(task),
        }
    }

    /// Returns whether the socket has taken the whole request without an error.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.state.get() == State::Sent
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// Writes what the socket takes; returns whether nothing is left.
fn write_some(stream: &TcpStream, parts: &mut [Bytes; 2]) -> io::Result<bool> {
    for part in parts {
        while !part.is_empty() {
            match stream.try_write(part) {
                Ok(length) => part.advance(length),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
    }
    Ok(true)
}

async fn write_rest(stream: &TcpStream, mut parts: [Bytes; 2]) -> io::Result<()> {
    while !write_some(stream, &mut parts)? {
        stream.writable().await?;
    }
    Ok(())
}
