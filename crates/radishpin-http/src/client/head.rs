//! Validates a response's head, determines the body's framing and lets `async-h1` build the
//! response.

use super::body::ResponseFraming;
use crate::{
    head_reader::HeadReader,
    headers::{MAX_HEAD_BYTES, MAX_HEADERS, head_length, names_close, parse_length, values},
};
use http_types::{
    Body, Method, Response,
    headers::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, DATE, TRANSFER_ENCODING},
};
use httparse::Header;

/// Index of the minor version in `HTTP/1.1`.
const MINOR_VERSION_INDEX: usize = 7;

/// Properties of a validated head that decide how the response is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResponseHead {
    status: u16,
    /// How the body is framed.
    pub(super) framing: ResponseFraming,
    /// The peer keeps the connection open after the response.
    pub(super) keep_alive: bool,
    has_date: bool,
    has_content_type: bool,
}

impl ResponseHead {
    /// Whether this is an interim response, which is followed by the final one.
    pub(super) fn is_interim(&self) -> bool {
        (100..200).contains(&self.status) && self.status != 101
    }
}

/// Length of the head at the start of `bytes`; `None` while it is incomplete.
///
/// # Errors
/// The head is larger than `async-h1` accepts.
pub(super) fn find_end(bytes: &[u8]) -> Result<Option<usize>, String> {
    match head_length(bytes) {
        Some(length) if length <= MAX_HEAD_BYTES => Ok(Some(length)),
        None if bytes.len() <= MAX_HEAD_BYTES => Ok(None),
        Some(_) | None => Err(format!("the answer's head is over {MAX_HEAD_BYTES} bytes")),
    }
}

/// Validates a complete head.
///
/// # Errors
/// The head or the framing is malformed or ambiguous.
pub(super) fn check(bytes: &[u8], method: Method) -> Result<ResponseHead, String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(bytes);
    if !matches!(parsed, Ok(httparse::Status::Complete(length)) if length == bytes.len()) {
        return Err("the answer's head is malformed".to_owned());
    }
    let status = response.code.unwrap_or_default();
    let framing = framing(response.headers, status, method)?;
    let close = values(response.headers, "connection").any(names_close);
    Ok(ResponseHead {
        status,
        framing,
        keep_alive: !close
            && response.version == Some(1)
            && status != 101
            && framing != ResponseFraming::UntilClose,
        has_date: values(response.headers, "date").next().is_some(),
        has_content_type: values(response.headers, "content-type").next().is_some(),
    })
}

/// Lets `async-h1` build the response, without its body.
///
/// # Errors
/// `async-h1` rejects the status or a header.
pub(super) async fn decode(bytes: &[u8], head: ResponseHead) -> Result<Response, String> {
    let mut bytes = ascii_lines(bytes);
    // `async-h1` accepts version 1.1 only; the framing is already determined.
    bytes[MINOR_VERSION_INDEX] = b'1';
    let mut response = async_h1::client::decode(HeadReader::new(&bytes))
        .await
        .map_err(|error| error.to_string())?;
    if !head.has_date {
        // `async-h1` adds a `Date` header whose value contains a line break.
        response.remove_header(DATE);
    }
    response.remove_header(CONNECTION);
    response.remove_header(TRANSFER_ENCODING);
    Ok(response)
}

/// Removes header lines with bytes outside ASCII, on which `async-h1` panics. Rejecting the
/// response would fail a call that the peer may have executed.
fn ascii_lines(bytes: &[u8]) -> Vec<u8> {
    let (status_line, headers) = bytes.split_at(
        bytes
            .iter()
            .position(|b| *b == b'\n')
            .map_or(0, |end| end + 1),
    );
    let kept = headers
        .split_inclusive(|byte| *byte == b'\n')
        .filter(|line| line.is_ascii());
    let mut lines = status_line.to_vec();
    lines.extend(kept.flatten());
    lines
}

/// Sets the response's body, and removes the content type that this adds if the peer sent none.
pub(super) fn set_body(response: &mut Response, head: ResponseHead, body: Body) {
    response.set_body(body);
    if !head.has_content_type {
        response.remove_header(CONTENT_TYPE);
    }
}

/// Empty body for the response to HEAD, with the length that a GET response would have.
pub(super) fn body_of_head(response: &Response) -> Body {
    let length = response
        .header(CONTENT_LENGTH)
        .and_then(|values| values.last().as_str().parse().ok());
    Body::from_reader(futures_lite::io::empty(), length.or(Some(0)))
}

fn framing(headers: &[Header<'_>], status: u16, method: Method) -> Result<ResponseFraming, String> {
    let lengths: Vec<&[u8]> = values(headers, "content-length").collect();
    let codings: Vec<&[u8]> = values(headers, "transfer-encoding").collect();
    if method == Method::Head || status < 200 || status == 204 || status == 304 {
        return Ok(ResponseFraming::Length(0));
    }
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(ResponseFraming::UntilClose),
        ([length], []) => stated_length(length),
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Ok(ResponseFraming::Chunked),
        _ => Err("the answer's framing is ambiguous".to_owned()),
    }
}

fn stated_length(value: &[u8]) -> Result<ResponseFraming, String> {
    parse_length(value)
        .and_then(|length| usize::try_from(length).ok())
        .map(ResponseFraming::Length)
        .ok_or_else(|| "the answer's Content-Length is malformed".to_owned())
}
