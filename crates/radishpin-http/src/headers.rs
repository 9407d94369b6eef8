//! Parsing helpers that are shared by request and response heads.

use httparse::Header;

/// Maximum number of headers in a head; `async-h1` rejects more.
pub(crate) const MAX_HEADERS: usize = 128;
/// Size of the largest head that `async-h1` accepts.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// The blank line that ends a head, with the line break before it.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Length of the head at the start of `bytes`, with its blank line; `None` while it is incomplete.
pub(crate) fn head_length(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)
        .map(|start| start + HEAD_END.len())
}

/// Values of all headers with this name, which is compared without regard to case.
pub(crate) fn values<'a>(
    headers: &'a [Header<'a>],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
}

/// Parses a Content-Length value; `None` unless it consists of digits only (no sign, no list).
pub(crate) fn parse_length(value: &[u8]) -> Option<u64> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// Whether a `Connection` header's value contains the `close` option.
pub(crate) fn names_close(value: &[u8]) -> bool {
    value
        .split(|byte| *byte == b',')
        .any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
}
