//! Incremental decoding of message bodies.

use bytes::{Buf, BytesMut};

use super::head::Framing;

/// Maximum length of a chunk-size line; chunk extensions are ignored.
const MAX_SIZE_LINE_BYTES: usize = 256;

/// Maximum length of the trailer section.
const MAX_TRAILER_BYTES: usize = 4 * 1024;

/// Error of a body whose chunks are not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidBody;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer(usize),
    Done,
}

/// Decodes one body as its bytes arrive.
#[derive(Debug)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// Creates a decoder for a body with this framing.
    #[must_use]
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the whole body was decoded.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Returns whether a clean close of the connection ends the body.
    #[must_use]
    pub const fn ends_with_close(&self) -> bool {
        matches!(self.state, State::UntilClose)
    }

    /// Decodes what has arrived of the body and moves it from the front of `buf` to `out`.
    ///
    /// # Errors
    /// If the chunks are not valid.
    pub fn decode(&mut self, buf: &mut BytesMut, out: &mut BytesMut) -> Result<(), InvalidBody> {
        loop {
            match self.state {
                State::Done => return Ok(()),
                State::UntilClose => {
                    out.extend_from_slice(buf);
                    buf.clear();
                    return Ok(());
                }
                State::Length(left) => {
                    let left = move_bytes(buf, out, left);
                    self.state = if left == 0 {
                        State::Done
                    } else {
                        State::Length(left)
                    };
                    if left > 0 {
                        return Ok(());
                    }
                }
                State::ChunkData(left) => {
                    let left = move_bytes(buf, out, left);
                    if left > 0 {
                        self.state = State::ChunkData(left);
                        return Ok(());
                    }
                    self.state = State::ChunkEnd;
                }
                State::ChunkEnd if buf.len() < 2 => return Ok(()),
                State::ChunkEnd => {
                    if &buf[..2] != b"\r\n" {
                        return Err(InvalidBody);
                    }
                    buf.advance(2);
                    self.state = State::ChunkSize;
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buf, MAX_SIZE_LINE_BYTES)? else {
                        return Ok(());
                    };
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailer(0),
                        size => State::ChunkData(size),
                    };
                }
                State::Trailer(length) => {
                    let Some(line) = take_line(buf, MAX_TRAILER_BYTES - length)? else {
                        return Ok(());
                    };
                    self.state = if line.is_empty() {
                        State::Done
                    } else {
                        State::Trailer(length + line.len())
                    };
                }
            }
        }
    }
}

fn move_bytes(buf: &mut BytesMut, out: &mut BytesMut, left: u64) -> u64 {
    let length = usize::try_from(left).map_or(buf.len(), |left| left.min(buf.len()));
    out.extend_from_slice(&buf[..length]);
    buf.advance(length);
    left - length as u64
}

/// Removes a line from the buffer and returns it without its line end; a bare line feed is an error.
fn take_line(buf: &mut BytesMut, max: usize) -> Result<Option<BytesMut>, InvalidBody> {
    let Some(end) = buf.iter().position(|b| *b == b'\n') else {
        return if buf.len() > max {
            Err(InvalidBody)
        } else {
            Ok(None)
        };
    };
    if end == 0 || buf[end - 1] != b'\r' || end > max + 1 {
        return Err(InvalidBody);
    }
    let line = buf.split_to(end - 1);
    buf.advance(2);
    if line.contains(&b'\r') {
        return Err(InvalidBody);
    }
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, InvalidBody> {
    let end = line.iter().position(|b| *b == b';').unwrap_or(line.len());
    let digits = line[..end].trim_ascii_end();
    let is_hex =
        !digits.is_empty() && digits.len() <= 8 && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_hex {
        return Err(InvalidBody);
    }
    let text = std::str::from_utf8(digits).map_err(|_utf8| InvalidBody)?;
    u64::from_str_radix(text, 16).map_err(|_number| InvalidBody)
}
