//! A client attempt over a new connection.

use super::*;

pub struct Answer {
    /// Status, or 0 if the connection ended before one.
    pub status: u16,
    /// Whether the answer is complete.
    pub is_whole: bool,
    /// Whether it has a worker's stamp.
    pub has_stamp: bool,
    pub reason: String,
    pub retry_after: String,
}

pub struct Attempt<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub prompt: Option<&'a str>,
    pub body: Vec<u8>,
}

pub fn send(to: SocketAddr, attempt: &Attempt<'_>) -> Answer {
    let mut answer = Answer {
        status: 0,
        is_whole: false,
        has_stamp: false,
        reason: String::new(),
        retry_after: String::new(),
    };
    if let Err(error) = exchange(to, attempt, &mut answer) {
        answer.reason = error.to_string();
    }
    answer
}

fn exchange(to: SocketAddr, attempt: &Attempt<'_>, answer: &mut Answer) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1_000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ms(attempt.deadline_ms)))?;
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: review.example\r\nX-Fireflywind-Request-Id: {}\r\nX-Fireflywind-Deadline-Ms: {}\r\n\
         Authorization: Token {}\r\nContent-Length: {}\r\n",
        attempt.method, attempt.path, attempt.id, attempt.deadline_ms, attempt.key, attempt.body.len()
    );
    if let Some(prompt) = attempt.prompt {
        let _ = write!(head, "X-Fireflywind-Model: m1\r\nX-Fireflywind-Tokens: 1460,80\r\nX-Fireflywind-Prefix-Hash: {prompt}\r\n");
    }
    head.push_str("\r\n");
    let mut out = head.into_bytes();
    out.extend_from_slice(&attempt.body);
    stream.write_all(&out)?;
    let mut reader = BufReader::new(stream);
    let Some(mut message) = http::read_head(&mut reader)? else {
        answer.reason = "closed".to_owned();
        return Ok(());
    };
    answer.status = message.word(1).parse().unwrap_or(0);
    answer.has_stamp = message.field("x-fireflywind-server-stamp").is_some();
    answer.retry_after = message.field("retry-after").unwrap_or_default().to_owned();
    if message.field("transfer-encoding").is_some() {
        while !http::read_chunk(&mut reader)?.is_empty() {}
    } else {
        http::read_body(&mut reader, &mut message)?;
        answer.reason = String::from_utf8_lossy(&message.body).into_owned();
    }
    answer.is_whole = true;
    Ok(())
}
