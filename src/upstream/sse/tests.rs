//! Tests of the parser of server-sent events.

use super::*;
use crate::fixtures::check_property;

// Guards against events that depend on how the network divides the bytes.
#[test]
fn events_are_the_same_for_any_split() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(pieces: Vec<u8>, cuts: Vec<usize>) -> bool {
        let parts = [
            "data: a", "\n", "\r", "\r\n", "\n\n", "event: x", ": c", "data", "\u{feff}", "é", ":",
        ];
        let text: String = pieces
            .iter()
            .map(|n| parts[usize::from(*n) % parts.len()])
            .collect();
        let mut cuts: Vec<_> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
        cuts.sort_unstable();
        cuts.push(text.len());

        let whole = Parser::default()
            .feed(text.as_bytes())
            .expect("the events are small");
        let mut parser = Parser::default();
        let mut from = 0;
        let mut split = Vec::new();
        for cut in cuts {
            split.extend(
                parser
                    .feed(&text.as_bytes()[from..cut])
                    .expect("the events are small"),
            );
            from = cut;
        }
        whole == split
    }
    check_property(21, property as fn(Vec<u8>, Vec<usize>) -> bool);
}

// Guards against a panic or unbounded memory on arbitrary bytes of an upstream.
#[test]
fn parser_is_bounded_on_arbitrary_bytes() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(chunk: Vec<u8>, field: u8, repeats: u16) -> bool {
        let start = [&b""[..], b"data:", b"event:", b"data:\n", b"\xff"][usize::from(field % 5)];
        let mut parser = Parser::default();
        // Enough rounds that the longest chunk passes the limit.
        for _ in 0..repeats % 4_096 {
            let failed = parser.feed(start).is_err() | parser.feed(&chunk).is_err();
            if parser.buffered_len() > MAX_EVENT_BYTES || (failed && parser.buffered_len() != 0) {
                return false;
            }
        }
        true
    }
    check_property(22, property as fn(Vec<u8>, u8, u16) -> bool);
}

// Guards against a parser that joins or drops lines in other ways than the specification.
#[test]
fn events_follow_the_specification() {
    let text =
        "\u{feff}: comment\ndata: one\ndata:two\nid: 7\n\nevent: end\r\ndata\r\n\r\nevent: x\n\n";
    let events = Parser::default().feed(text.as_bytes());
    let expected = [("", "one\ntwo"), ("end", "")].map(|(name, data)| Event {
        name: name.to_owned(),
        data: data.to_owned(),
    });
    assert_eq!(events, Ok(expected.to_vec()));
}

// Guards against unbounded memory for an event that does not end, in one line or in many.
#[test]
fn an_event_over_the_limit_is_refused() {
    let line = vec![b'a'; MAX_EVENT_BYTES + 1];
    let lines = b"data: a\n".repeat(MAX_EVENT_BYTES);
    for bytes in [line, lines] {
        let mut parser = Parser::default();
        assert_eq!(parser.feed(&bytes), Err(TooLarge));
        assert_eq!(parser.feed(b"data: a\n\n"), Err(TooLarge));
        assert_eq!(parser.buffered_len(), 0);
    }
}
