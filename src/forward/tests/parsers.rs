//! Parsers of heads, bodies and events, whose bytes may arrive in any pieces.

use bytes::BytesMut;

use crate::fixtures;
use crate::forward::body::{Decoder, InvalidBody};
use crate::forward::events::EventBuffer;
use crate::forward::head::{self, Framing, HeadError};

fn request(text: &str) -> Result<Option<head::RequestHead>, HeadError> {
    head::take_request(&mut BytesMut::from(text))
}

#[test]
fn a_request_head_is_removed_from_the_front_of_the_buffer() {
    let mut buf = BytesMut::from(
        "POST /a/b?c=d HTTP/1.1\r\nHost: X.example:80\r\nContent-Length: 3\r\n\r\nabcGET",
    );

    let head = head::take_request(&mut buf)
        .expect("the head is valid")
        .expect("the head is complete");

    assert_eq!((head.path(), head.host().as_str()), ("/a/b", "x.example"));
    assert_eq!(head.framing, Framing::Length(3));
    assert!(head.keep_alive);
    assert_eq!(&buf[..], b"abcGET");
}

/// If two parsers frame a message differently, a request can be smuggled inside another one.
#[test]
fn ambiguous_requests_are_refused() {
    let cases = [
        (
            "Host: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n",
            HeadError::Framing,
        ),
        ("Host: a\r\nContent-Length: +1\r\n", HeadError::Framing),
        ("Host: a\r\nContent-Length: 1,1\r\n", HeadError::Framing),
        ("Host: a\r\nContent-Length:\r\n", HeadError::Framing),
        (
            "Host: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n",
            HeadError::Framing,
        ),
        (
            "Host: a\r\nTransfer-Encoding: gzip, chunked\r\n",
            HeadError::Framing,
        ),
        (
            "Host: a\r\nTransfer-Encoding: xchunked\r\n",
            HeadError::Framing,
        ),
        (
            "Host: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            HeadError::Framing,
        ),
        ("Host: a\r\nHost: b\r\n", HeadError::Host),
        ("Accept: a\r\n", HeadError::Host),
        (
            "Host: a\r\nTransfer-Encoding : chunked\r\n",
            HeadError::Malformed,
        ),
        ("Host: a\r\nX: 1\r\n folded\r\n", HeadError::Malformed),
        ("Host: a\r\nX: a\0b\r\n", HeadError::Malformed),
    ];
    for (fields, expected) in cases {
        let text = format!("GET / HTTP/1.1\r\n{fields}\r\n");
        assert_eq!(request(&text).err(), Some(expected), "{fields:?}");
    }
    let chunked_1_0 = "GET / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(request(chunked_1_0).err(), Some(HeadError::Framing));
}

#[test]
fn interim_responses_are_discarded() {
    let mut buf =
        BytesMut::from("HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\nrest");

    let head = head::take_response(&mut buf, false)
        .expect("the head is valid")
        .expect("the head is complete");

    assert_eq!((head.status, head.framing), (200, Framing::UntilClose));
    assert!(!head.keep_alive);
    assert_eq!(&buf[..], b"rest");
}

#[test]
fn bytes_that_are_no_response_are_an_error() {
    for text in [
        "\0\x01\x02\x03garbage\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "HTTP/1.1 101 Switch\r\n\r\n",
    ] {
        let result = head::take_response(&mut BytesMut::from(text), false);
        assert_eq!(result.err(), Some(HeadError::Malformed));
    }
}

fn response(text: &str) -> Result<Option<head::ResponseHead>, HeadError> {
    head::take_response(&mut BytesMut::from(text), false)
}

/// The statuses 0, 99, 600 and 999 of upstreams in trouble reached clients.
#[test]
fn a_response_without_a_real_status_is_refused() {
    for status in (0..100).chain(600..1_000) {
        let text = format!("HTTP/1.1 {status:03} X\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(response(&text).err(), Some(HeadError::Malformed), "{text}");
    }
    for status in [
        "", " ", "0", "20", "+20", "-20", "+200", "-200", "2000", "0200", " 200", "2 0", "0x2",
        "200.0", "2e2", "OK",
    ] {
        let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(response(&text).err(), Some(HeadError::Malformed), "{text}");
    }
}

/// A body whose end can be found in two ways may be taken for a whole one too early.
#[test]
fn ambiguous_responses_are_refused() {
    let cases = [
        "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: 1,1\r\n",
        "Content-Length: +1\r\n",
        "Content-Length: -1\r\n",
        "Content-Length:\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ];
    for (status, fields) in [200, 204, 304, 500]
        .iter()
        .flat_map(|status| cases.map(|fields| (status, fields)))
    {
        let text = format!("HTTP/1.1 {status} X\r\n{fields}\r\n");
        assert_eq!(response(&text).err(), Some(HeadError::Framing), "{text}");
    }
    let chunked_1_0 = "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(response(chunked_1_0).err(), Some(HeadError::Framing));
}

/// An upstream that sends a body where there is none must not have it taken for the next answer.
#[test]
fn a_connection_is_not_kept_after_a_body_where_there_is_none() {
    for (status, fields) in [
        (204, "Content-Length: 3\r\n"),
        (204, "Transfer-Encoding: chunked\r\n"),
        (304, "Content-Length: 3\r\n"),
        (304, "Transfer-Encoding: chunked\r\n"),
    ] {
        let text = format!("HTTP/1.1 {status} X\r\n{fields}\r\n");
        let head = response(&text).expect("the head is valid");
        let head = head.expect("the head is complete");
        assert_eq!(head.framing, Framing::Length(0), "{text}");
        assert!(!head.keep_alive, "{text}");
    }
}

/// No head that is made up of plausible parts may pass with another status than 200 to 599, or with two lengths.
#[test]
fn generated_response_heads_pass_only_with_a_status_and_one_length() {
    const VERSIONS: [&str; 5] = ["HTTP/1.1", "HTTP/1.0", "HTTP/2.0", "http/1.1", ""];
    const LENGTHS: [&str; 8] = [
        "",
        "Content-Length: 3\r\n",
        "Content-Length: 4\r\n",
        "content-length: 3\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "Content-Length: -3\r\n",
        "Content-Length: 3, 3\r\n",
    ];
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its values by value"
    )]
    fn property(version: u8, statuses: Vec<u16>, lengths: (u8, u8), is_head: bool) {
        let version = VERSIONS[usize::from(version) % VERSIONS.len()];
        let (a, b) = (
            LENGTHS[usize::from(lengths.0) % LENGTHS.len()],
            LENGTHS[usize::from(lengths.1) % LENGTHS.len()],
        );
        let heads = (statuses.iter())
            .map(|status| format!("{version} {:03} X\r\n{a}{b}\r\n", status % 1_100));
        let mut buf = BytesMut::from(&*heads.collect::<String>());
        if let Ok(Some(head)) = head::take_response(&mut buf, is_head) {
            assert!((200..600).contains(&head.status), "{}", head.status);
            let finals = statuses.iter().map(|status| status % 1_100);
            let first = finals.clone().find(|status| !(100..200).contains(status));
            assert_eq!(Some(head.status), first, "an interim head hid another one");
            let has_two = head.fields.get("transfer-encoding").is_some()
                && head.fields.get("content-length").is_some();
            assert!(!has_two, "{a}{b}");
        }
    }
    fixtures::check_property(9, property as fn(u8, Vec<u16>, (u8, u8), bool));
}

fn decode(pieces: &[&[u8]]) -> Result<(Vec<u8>, bool, Vec<u8>), InvalidBody> {
    let mut decoder = Decoder::new(Framing::Chunked);
    let (mut buf, mut out) = (BytesMut::new(), BytesMut::new());
    for piece in pieces {
        buf.extend_from_slice(piece);
        decoder.decode(&mut buf, &mut out)?;
    }
    Ok((out.to_vec(), decoder.is_done(), buf.to_vec()))
}

#[test]
fn chunks_are_decoded_with_extensions_and_trailers() {
    let whole = decode(&[b"3;x=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\nNEXT"]);

    assert_eq!(whole, Ok((b"abcde".to_vec(), true, b"NEXT".to_vec())));
}

#[test]
fn invalid_chunks_are_refused() {
    let cases: [&[u8]; 7] = [
        b"3\nabc\r\n0\r\n\r\n",
        b"\r\nabc",
        b"-1\r\n",
        b"0x3\r\nabc\r\n",
        b"3\r\nabcd\r\n",
        b"fffffffff\r\n",
        b"3 \r;\r\nabc\r\n",
    ];
    for case in cases {
        assert_eq!(
            decode(&[case]),
            Err(InvalidBody),
            "{}",
            String::from_utf8_lossy(case)
        );
    }
}

/// The decoded body does not depend on how the bytes are split into reads.
#[test]
fn chunks_are_decoded_the_same_from_any_pieces() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its values by value"
    )]
    fn property(body: Vec<Vec<u8>>, cuts: Vec<u8>) {
        let chunks: Vec<_> = body.iter().filter(|c| !c.is_empty()).collect();
        let mut wire = Vec::new();
        for chunk in &chunks {
            wire.extend_from_slice(format!("{:X}\r\n", chunk.len()).as_bytes());
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\n\r\n");
        let pieces = cut(&wire, &cuts);
        let expected = chunks.into_iter().flatten().copied().collect::<Vec<_>>();
        assert_eq!(decode(&pieces), Ok((expected, true, Vec::new())));
    }
    fixtures::check_property(5, property as fn(Vec<Vec<u8>>, Vec<u8>));
}

fn cut<'a>(mut wire: &'a [u8], cuts: &[u8]) -> Vec<&'a [u8]> {
    let mut pieces = Vec::new();
    for length in cuts {
        let (piece, rest) = wire.split_at(usize::from(*length % 16).min(wire.len()));
        pieces.push(piece);
        wire = rest;
    }
    pieces.push(wire);
    pieces
}

/// Untrusted bytes must not make a parser panic.
#[test]
fn any_bytes_are_parsed_or_refused() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its values by value"
    )]
    fn property(bytes: Vec<u8>) {
        let mut buf = BytesMut::from(&bytes[..]);
        let _ = head::take_request(&mut buf);
        let mut buf = BytesMut::from(&bytes[..]);
        let _ = head::take_response(&mut buf, false);
        let _ = decode(&[&bytes]);
        let mut events = EventBuffer::default();
        events.input().extend_from_slice(&bytes);
        let _ = events.take();
    }
    fixtures::check_property(6, property as fn(Vec<u8>));
}

#[test]
fn only_complete_events_are_taken() {
    let mut events = EventBuffer::default();
    events
        .input()
        .extend_from_slice(b"id: 4\ndata: a\n\nid: 5\r\ndata: b\r\n\r\nid: 6\ndata");

    let taken = events.take().expect("no event is too long");

    assert_eq!(&taken[..], b"id: 4\ndata: a\n\nid: 5\r\ndata: b\r\n\r\n");
    assert_eq!(events.last_id(), Some(5));
    assert!(events.has_partial());
    events.drop_partial();
    events.input().extend_from_slice(b"id: 6\ndata: c\n\n");
    assert_eq!(events.take().expect("no event is too long").len(), 15);
    assert_eq!(events.last_id(), Some(6));
}

/// The events do not depend on how the bytes are split into reads, and none is taken before it is complete.
#[test]
fn events_are_split_the_same_from_any_pieces() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes its values by value"
    )]
    fn property(sizes: Vec<u8>, cuts: Vec<u8>) {
        let mut wire = Vec::new();
        for (id, size) in sizes.iter().enumerate() {
            let data = "x".repeat(usize::from(*size));
            wire.extend_from_slice(format!("id: {id}\ndata: {data}\n\n").as_bytes());
        }
        let (mut events, mut taken) = (EventBuffer::default(), Vec::new());
        for piece in cut(&wire, &cuts) {
            events.input().extend_from_slice(piece);
            taken.extend_from_slice(&events.take().expect("no event is too long"));
            assert!(taken.is_empty() || taken.ends_with(b"\n\n"));
        }
        assert_eq!(taken, wire);
        assert_eq!(
            events.last_id(),
            sizes.len().checked_sub(1).map(|id| id as u64)
        );
    }
    fixtures::check_property(8, property as fn(Vec<u8>, Vec<u8>));
}

/// A deadline of `1500.0` ms was taken for none, so an upstream got the route's time-out as its deadline.
#[test]
fn numbers_in_header_fields_may_have_a_point_or_a_fraction() {
    let number = |value: &str| {
        let text = format!("GET /a HTTP/1.1\r\nHost: x\r\nN: {value}\r\n\r\n");
        let head = request(&text).expect("the head is valid");
        let fields = head.expect("the head is complete").fields;
        (fields.number("N"), fields.whole_number("N"))
    };

    assert_eq!(number("1500"), (Some(1_500), Some(1_500)));
    assert_eq!(number("1500.0"), (Some(1_500), Some(1_500)));
    assert_eq!(number("1500.9"), (Some(1_500), None));
    assert_eq!(number("15e2"), (Some(1_500), Some(1_500)));
    assert_eq!(
        number("18446744073709551615"),
        (Some(u64::MAX), Some(u64::MAX))
    );
    for invalid in ["-1", "-0.5", "1e99", "soon", "", "inf", "nan", "true"] {
        assert_eq!(number(invalid), (None, None), "{invalid}");
    }
}
