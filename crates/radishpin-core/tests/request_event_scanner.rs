//! Ends of server-sent events, for all line ends and all ways to split a stream into chunks.

use radishpin_core::request::EventScanner;

/// Bytes of complete events, number of events, and whether another one has begun.
fn scan(chunks: &[&[u8]]) -> (usize, u64, bool) {
    let mut scanner = EventScanner::default();
    let mut complete_bytes = 0;
    let mut scanned_bytes = 0;
    for chunk in chunks {
        match scanner.scan(chunk) {
            0 => {}
            count => complete_bytes = scanned_bytes + count,
        }
        scanned_bytes += chunk.len();
    }
    (complete_bytes, scanner.events(), scanner.is_inside_event())
}

#[test]
fn events_end_at_blank_lines() {
    let cases = [
        "",
        "data: a",
        "data: a\n",
        "data: a\n\n",
        "data: a\r\n\r\n",
        "data: a\r\r",
        "data: a\n\r\n",
        "data: a\r\n\n",
        "\n\n: comment\n\n",
        "id: 1\ndata: a\n\nid: 2\nda",
        "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
    ];
    let lines = cases.map(|text| format!("{text:?} {:?}", scan(&[text.as_bytes()])));
    insta::assert_snapshot!(lines.join("\n"), @r#"
    "" (0, 0, false)
    "data: a" (0, 0, true)
    "data: a\n" (0, 0, true)
    "data: a\n\n" (9, 1, false)
    "data: a\r\n\r\n" (11, 1, false)
    "data: a\r\r" (9, 1, false)
    "data: a\n\r\n" (10, 1, false)
    "data: a\r\n\n" (10, 1, false)
    "\n\n: comment\n\n" (13, 1, false)
    "id: 1\ndata: a\n\nid: 2\nda" (15, 1, true)
    "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n" (36, 2, false)
    "#);
}

#[test]
fn the_result_does_not_depend_on_the_chunks() {
    for line_end in ["\n", "\r\n", "\r"] {
        let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid".replace('\n', line_end);
        let bytes = text.as_bytes();
        let whole = scan(&[bytes]);
        for first in 0..=bytes.len() {
            for second in first..=bytes.len() {
                let chunks = [&bytes[..first], &bytes[first..second], &bytes[second..]];
                assert_eq!(scan(&chunks), whole, "{text:?} split at {first}, {second}");
            }
        }
        assert_eq!((whole.1, whole.2), (2, true), "{text:?}");
    }
}
