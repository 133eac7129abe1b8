//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut found = self
            .fields
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns a word of the start line.
    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        let mut values = self
            .fields
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        values.any(|(_, v)| {
            v.split(',')
                .any(|item| item.trim().eq_ignore_ascii_case(token))
        })
    }

    pub fn closes(&self) -> bool {
        self.has_token("connection", "close")
    }
}

/// A connection with its unread bytes.
#[derive(Debug)]
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&addr, timeout)?))
    }

    pub fn set_read_timeout(&self, timeout: Duration) {
        let _ = self
            .stream
            .set_read_timeout(Some(timeout.max(Duration::from_millis(1))));
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut part = [0; 65_536];
        let length = self.stream.read(&mut part)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&part[..length]);
        Ok(())
    }

    /// Returns whether the peer has closed the connection, within the read timeout.
    pub fn wait_closed(&mut self) -> bool {
        loop {
            match self.read_more() {
                Ok(()) => {}
                Err(e) => {
                    return !matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    );
                }
            }
        }
    }

    pub fn read_head(&mut self) -> io::Result<Message> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let rest = self.buf.split_off(end + 4);
                let head = std::mem::replace(&mut self.buf, rest);
                let text = String::from_utf8_lossy(&head[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|l| l.split_once(':'));
                let fields = fields
                    .map(|(n, v)| (n.to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Message {
                    start,
                    fields,
                    body: Vec::new(),
                });
            }
            if self.buf.len() > 262_144 {
                return Err(broken("head too long"));
            }
            self.read_more()?;
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            self.read_more()?;
        }
        let rest = self.buf.split_off(count);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.read_more()?;
        }
    }

    /// Reads the body that follows a head.
    pub fn read_body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if head.has_token("transfer-encoding", "chunked") {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| broken("chunk size"))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.take(size)?);
                if self.take(2)? != b"\r\n" {
                    return Err(broken("chunk end"));
                }
            }
        }
        let length = head
            .field("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        self.take(length)
    }

    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut head = self.read_head()?;
        head.body = self.read_body(&head)?;
        Ok(head)
    }
}

/// Writes a response with a JSON body.
pub fn respond(conn: &mut Conn, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body.as_bytes());
    conn.write(&bytes)
}
