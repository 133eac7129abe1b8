//! Pool of idle connections to upstreams.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use tokio::net::TcpStream;

use crate::forward::memory::Share;
use crate::forward::upload::Upload;
use crate::units::Millis;
use crate::units::whole::parse_decimal;

/// Maximum number of idle connections to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// Idle time-out of a connection if the upstream announced none.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(4_000);

/// Margin before the upstream's announced idle time-out, so that a request does not cross the upstream's close.
const IDLE_MARGIN: Millis = Millis(400);

/// A connection to an upstream.
#[derive(Debug)]
pub struct Conn {
    /// The socket.
    pub stream: Rc<TcpStream>,
    /// The request that is sent on it.
    pub upload: Upload,
    /// Whether the head of the answer came before the request was sent whole.
    pub is_answered_early: bool,
    /// Bytes that were read but not yet parsed.
    pub buf: BytesMut,
    /// Share of the memory for `buf`.
    pub share: Share,
    /// Number of bytes read so far.
    pub received: usize,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    /// Longest idle time that the upstream allows.
    pub idle_limit: Millis,
    idle_since: Millis,
}

impl Conn {
    /// Wraps a new connection, whose buffer is a share of a memory.
    ///
    /// # Errors
    /// If the socket's options cannot be set.
    pub fn new(stream: TcpStream, share: Share) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: Rc::new(stream),
            upload: Upload::sent(),
            is_answered_early: false,
            buf: BytesMut::new(),
            share,
            received: 0,
            is_reused: false,
            idle_limit: DEFAULT_IDLE_TIMEOUT,
            idle_since: Millis(0),
        })
    }

    /// Sets the idle limit from the time-out in a `Keep-Alive` header.
    pub fn set_keep_alive(&mut self, header: &str) {
        let timeout = header.split(',').find_map(|part| {
            let value = part.trim().strip_prefix("timeout=")?;
            parse_decimal(value).filter(|secs| *secs >= 0.0)
        });
        if let Some(secs) = timeout {
            self.idle_limit = Millis::from_secs_f64(secs).since(IDLE_MARGIN);
        }
    }

    /// Returns whether an answer that ended with the connection is whole.
    ///
    /// Linux reports a reset only once, and reports the end of the connection instead if the upstream had closed its direction
    /// before, so the end that was read does not tell.
    #[must_use]
    pub fn has_ended_cleanly(&self) -> bool {
        !self.is_answered_early
            && self.upload.is_sent()
            && matches!(self.stream.take_error(), Ok(None))
    }

    /// Returns whether the connection is open and no unexpected bytes have arrived since the last answer.
    fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buf.is_empty() && matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

#[derive(Debug)]
struct PoolEntry {
    id: Rc<str>,
    boot: u64,
    addr: SocketAddr,
    idle: Vec<Conn>,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub struct Pool {
    entries: Vec<PoolEntry>,
}

impl Pool {
    /// Takes the most recently used connection, if it has been idle for at most `max_idle`.
    pub fn take(&mut self, id: &str, boot: u64, now: Millis, max_idle: Millis) -> Option<Conn> {
        let at = self.find(id).ok()?;
        let entry = &mut self.entries[at];
        if entry.boot != boot {
            entry.idle.clear();
            return None;
        }
        while let Some(conn) = entry.idle.pop() {
            let idle = now.since(conn.idle_since);
            if idle <= conn.idle_limit.min(max_idle) && conn.is_reusable() {
                return Some(conn);
            }
            if idle <= conn.idle_limit && idle > max_idle {
                // The others have been idle for longer; they are left for repeatable requests.
                entry.idle.push(conn);
                return None;
            }
        }
        None
    }

    /// Returns a connection to the pool.
    pub fn put(&mut self, id: &Rc<str>, boot: u64, addr: SocketAddr, mut conn: Conn, now: Millis) {
        conn.is_reused = true;
        conn.idle_since = now;
        // An idle connection keeps no buffer.
        conn.buf = BytesMut::new();
        conn.share.shrink(0);
        let at = match self.find(id) {
            Ok(at) => at,
            Err(at) => {
                let entry = PoolEntry {
                    id: Rc::clone(id),
                    boot,
                    addr,
                    idle: Vec::new(),
                };
                self.entries.insert(at, entry);
                at
            }
        };
        let entry = &mut self.entries[at];
        if entry.boot != boot || entry.addr != addr {
            entry.idle.clear();
            entry.boot = boot;
            entry.addr = addr;
        }
        if entry.idle.len() < MAX_IDLE_CONNECTIONS {
            entry.idle.push(conn);
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn remove(&mut self, id: &str) {
        if let Ok(at) = self.find(id) {
            self.entries.remove(at);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&mut self, now: Millis) {
        for entry in &mut self.entries {
            (entry.idle).retain(|c| now.since(c.idle_since) <= c.idle_limit);
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|s| s.id.as_ref().cmp(id))
    }
}
