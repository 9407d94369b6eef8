//! Conversion of the HTTP headers in messages between nodes and agents.

use http_types::headers::{HeaderName, HeaderValue};
use radishpin_protocol::wire::Header;
use std::str::FromStr;

/// Converts a wire header to an HTTP header; `None` if its name or value is not valid in HTTP, such
/// as a value with a line break or a byte outside ASCII.
pub(crate) fn to_http(header: &Header) -> Option<(HeaderName, HeaderValue)> {
    let is_name = !header.name.is_empty() && header.name.bytes().all(is_name_byte);
    if !is_name || !header.value.iter().copied().all(is_value_byte) {
        return None;
    }
    let name = HeaderName::from_str(&header.name).ok()?;
    let value = HeaderValue::from_bytes(header.value.clone()).ok()?;
    Some((name, value))
}

const fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric()
        || matches!(byte, b'!' | b'#'..=b'\'' | b'*' | b'+' | b'-' | b'.' | b'^'..=b'`' | b'|' | b'~')
}

const fn is_value_byte(byte: u8) -> bool {
    byte == b'\t' || byte == b' ' || byte.is_ascii_graphic()
}
