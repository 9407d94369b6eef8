//! What requests' and responses' heads have in common.

use httparse::Header;

/// Most headers of a head; `async-h1` takes no more.
pub(crate) const MAX_HEADERS: usize = 128;
/// Largest head that `async-h1` takes.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Length of the head at the start of `bytes`, with its blank line; `None` while it is incomplete.
pub(crate) fn head_length(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)
        .map(|start| start + HEAD_END.len())
}

/// The values of all headers with this name.
pub(crate) fn values<'a>(
    headers: &'a [Header<'a>],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
}

/// Parses a Content-Length: digits only, no sign, no list.
pub(crate) fn parse_length(value: &[u8]) -> Option<u64> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// Whether a `Connection` header's value names `close`.
pub(crate) fn names_close(value: &[u8]) -> bool {
    value
        .split(|byte| *byte == b',')
        .any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
}
