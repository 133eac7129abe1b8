//! HTTP/1.1 messages, as much of it as the stand-ins need.

use super::*;

pub struct Message {
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

    /// Returns the n-th word of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.start.split(' ').nth(n).unwrap_or_default()
    }

    pub fn closes(&self) -> bool {
        self.field("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if lines.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    if lines.is_empty() {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let start = lines.remove(0);
    let split = |l: &String| {
        l.split_once(':')
            .map(|(n, v)| (n.to_owned(), v.trim().to_owned()))
    };
    let fields = lines.iter().filter_map(split).collect();
    Ok(Some(Message {
        start,
        fields,
        body: Vec::new(),
    }))
}

/// Reads the body of a message with a length.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    let length = message
        .field("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

/// Reads one chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok(data)
}

pub fn answer(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// Returns a value of a query, decoded.
pub fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let value = query
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?;
    let bytes = value.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).ok()?;
            out.push(u8::from_str_radix(hex, 16).ok()?);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8(out).ok()
}
