//! A TCP proxy between a gateway and an agent that can silently drop all bytes of its open connections.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// A running proxy; its threads end with the test process.
#[derive(Debug)]
pub struct Proxy {
    /// Listening address of the proxy.
    pub addr: SocketAddr,
    /// Connections up to this number drop all bytes.
    silent_up_to: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
    forwarded: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy to an address.
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let proxy = Self {
            addr: listener.local_addr().expect("the listener is bound"),
            silent_up_to: Arc::default(),
            connections: Arc::default(),
            forwarded: Arc::default(),
        };
        let (silent, connections) = (
            Arc::clone(&proxy.silent_up_to),
            Arc::clone(&proxy.connections),
        );
        let forwarded = Arc::clone(&proxy.forwarded);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(other) = TcpStream::connect(to) else {
                    continue;
                };
                let number = connections.fetch_add(1, Ordering::SeqCst) + 1;
                let ends = [(&stream, &other), (&other, &stream)];
                for (from, to) in ends {
                    let from = from.try_clone().expect("the socket can be shared");
                    let to = to.try_clone().expect("the socket can be shared");
                    let (silent, forwarded) = (Arc::clone(&silent), Arc::clone(&forwarded));
                    thread::spawn(move || forward(from, to, number, &silent, &forwarded));
                }
            }
        });
        proxy
    }

    /// Drops all further bytes of the connections that are open now; new connections work.
    pub fn silence(&self) {
        let open = self.connections.load(Ordering::SeqCst);
        self.silent_up_to.store(open, Ordering::SeqCst);
    }

    /// Returns the number of bytes forwarded so far.
    pub fn forwarded(&self) -> u64 {
        self.forwarded.load(Ordering::SeqCst)
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }
}

fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    number: u64,
    silent: &AtomicU64,
    forwarded: &AtomicU64,
) {
    let mut buf = [0; 4096];
    while let Ok(read @ 1..) = from.read(&mut buf) {
        if number <= silent.load(Ordering::SeqCst) {
            // The bytes are dropped without an error at either end.
            continue;
        }
        if to.write_all(&buf[..read]).is_err() {
            return;
        }
        forwarded.fetch_add(read as u64, Ordering::SeqCst);
    }
    if number > silent.load(Ordering::SeqCst) {
        // The other end may have closed already.
        let _ = to.shutdown(std::net::Shutdown::Write);
    }
}
