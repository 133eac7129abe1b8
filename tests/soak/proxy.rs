//! A TCP forwarder whose connections can be delayed, held back in one or both directions, or reset.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How bytes pass.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Way {
    /// At once.
    #[default]
    Open,
    /// Some 80 ms later.
    Delayed,
    /// Not at all, until the way is open again.
    Silent,
    /// Only towards the server.
    Half,
}

const DELAY: Duration = Duration::from_millis(80);
const POLL: Duration = Duration::from_millis(5);

/// Oldest connections that are forgotten: they have ended long since.
const MOST_KNOWN: usize = 2_000;

/// A running forwarder; its threads end with the test process.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Address that forwards.
    pub addr: SocketAddr,
    way: Arc<Mutex<Way>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    /// Starts to forward to an address.
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let proxy = Self {
            addr: listener.local_addr().expect("the listener is bound"),
            way: Arc::default(),
            open: Arc::default(),
        };
        let running = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let running = running.clone();
                thread::spawn(move || running.connect(stream, to));
            }
        });
        proxy
    }

    /// Sets how bytes pass from now on.
    pub fn set(&self, way: Way) {
        *(self.way.lock()).expect("no thread panics while it holds this") = way;
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        let mut open = self
            .open
            .lock()
            .expect("no thread panics while it holds this");
        for stream in open.drain(..) {
            // It may have ended already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn way(&self) -> Way {
        *(self.way.lock()).expect("no thread panics while it holds this")
    }

    fn connect(&self, client: TcpStream, to: SocketAddr) {
        while self.way() == Way::Silent {
            thread::sleep(POLL);
        }
        let Ok(server) = TcpStream::connect(to) else {
            return;
        };
        let clone = |s: &TcpStream| s.try_clone().expect("the socket can be shared");
        let mut open = self
            .open
            .lock()
            .expect("no thread panics while it holds this");
        if open.len() > MOST_KNOWN {
            open.drain(..MOST_KNOWN / 2);
        }
        open.push(clone(&client));
        open.push(clone(&server));
        drop(open);
        let (there, back) = (self.clone(), self.clone());
        let ends = (clone(&client), clone(&server));
        thread::spawn(move || there.forward(ends.0, ends.1, true));
        back.forward(server, client, false);
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, is_request: bool) {
        let mut buf = [0; 16 * 1_024];
        while let Ok(read @ 1..) = from.read(&mut buf) {
            if self.way() == Way::Delayed {
                thread::sleep(DELAY);
            }
            // What is held back passes once the way is open, as TCP would repeat it.
            while self.way() == Way::Silent || (self.way() == Way::Half && !is_request) {
                thread::sleep(POLL);
            }
            if to.write_all(&buf[..read]).is_err() {
                break;
            }
        }
        // The other end may have closed already.
        let _ = to.shutdown(Shutdown::Write);
        if is_request {
            let _ = from.shutdown(Shutdown::Read);
        }
    }
}
