//! A minimal HTTP/1.1 reader for the clients and upstreams of the test.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head and body of a message.
#[derive(Debug, Default)]
pub struct Message {
    /// Start line: the request line or the status line.
    pub start_line: String,
    /// Header fields with names in lower case.
    pub fields: Vec<(String, String)>,
    /// Body, without its framing.
    pub body: Vec<u8>,
    /// Whether the whole body was read.
    pub is_complete: bool,
}

impl Message {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a part of the start line, counted from 0.
    pub fn start_line_part(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or_default()
    }
}

/// A connection and the bytes already read of the next message.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    /// Wraps a socket.
    pub const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Sends bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Returns whether bytes after the last message were read.
    pub const fn has_more(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Reads a start line and header fields.
    pub fn read_head(&mut self) -> io::Result<Message> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                return parse_head(&head);
            }
            self.fill()?;
        }
    }

    /// Reads the body that belongs to a head; `on_part` gets each chunk and returns whether to read on.
    pub fn read_body(
        &mut self,
        message: &mut Message,
        mut on_part: impl FnMut(&[u8]) -> bool,
    ) -> io::Result<()> {
        if message.field("transfer-encoding") == Some("chunked") {
            loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.trim(), 16).map_err(invalid)?;
                let part = self.take(size + 2)?;
                if size == 0 {
                    message.is_complete = true;
                    return Ok(());
                }
                message.body.extend_from_slice(&part[..size]);
                if !on_part(&part[..size]) {
                    return Ok(());
                }
            }
        }
        let length = message.field("content-length").unwrap_or("0");
        let length = length.parse().map_err(invalid)?;
        message.body = self.take(length)?;
        message.is_complete = true;
        Ok(())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return String::from_utf8(line).map_err(invalid);
            }
            self.fill()?;
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            self.fill()?;
        }
        Ok(self.buf.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buf = [0; 16 * 1_024];
        match self.stream.read(&mut buf)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.buf.extend_from_slice(&buf[..read]);
                Ok(())
            }
        }
    }
}

fn invalid<E: std::error::Error + Send + Sync + 'static>(error: E) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

fn parse_head(head: &[u8]) -> io::Result<Message> {
    let text = String::from_utf8(head.to_vec()).map_err(invalid)?;
    let mut lines = text.trim_end().split("\r\n");
    let start_line = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|l| l.split_once(':'));
    let fields = fields.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
    Ok(Message {
        start_line,
        fields: fields.collect(),
        ..Message::default()
    })
}
