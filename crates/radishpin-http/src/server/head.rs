//! Validates a request's head before `async-h1` parses it.

use crate::{
    HttpFault,
    head_reader::HeadReader,
    headers::{MAX_HEADERS, head_length, names_close, parse_length, values},
};
use http_types::{Request, headers::CONTENT_TYPE};
use httparse::Header;

/// The only supported value of the `Expect` header.
const CONTINUE: &[u8] = b"100-continue";

/// How a request's body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// A body of this many bytes.
    Length(u64),
    /// The chunked coding.
    Chunked,
}

/// Properties of a validated head that decide how the connection and the body are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    /// How the body is framed.
    pub(crate) framing: Framing,
    /// The caller asks to close the connection after the response.
    pub(crate) close: bool,
    /// The caller waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
    has_content_type: bool,
}

/// Length of the head at the start of `bytes`, with its blank line; `None` while it is incomplete.
///
/// # Errors
/// The bytes are not the start of a valid head, or exceed `limit`.
pub(crate) fn find_end(bytes: &[u8], limit: usize) -> Result<Option<usize>, HttpFault> {
    if let Some(length) = head_length(bytes) {
        return match length > limit {
            true => Err(HttpFault::HeadTooLarge),
            false => Ok(Some(length)),
        };
    }
    // A partial parse distinguishes invalid bytes from an incomplete head.
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::Request::new(&mut headers).parse(bytes) {
        Err(error) => Err(parse_fault(error)),
        // Complete without a CRLF blank line: the head contains bare line feeds.
        Ok(httparse::Status::Complete(_)) => Err(HttpFault::Malformed),
        Ok(httparse::Status::Partial) if bytes.len() >= limit => Err(HttpFault::HeadTooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
    }
}

/// Validates a complete head.
///
/// # Errors
/// The request line, a header or the body's framing is malformed, ambiguous or not supported.
pub(crate) fn check(bytes: &[u8]) -> Result<Head, HttpFault> {
    if has_bare_line_feed(bytes) {
        return Err(HttpFault::Malformed);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let status = request.parse(bytes).map_err(parse_fault)?;
    if status != httparse::Status::Complete(bytes.len()) || request.version != Some(1) {
        return Err(HttpFault::Malformed);
    }
    check_host(request.headers)?;
    check_values(request.headers)?;
    Ok(Head {
        framing: framing(request.headers)?,
        close: wants_close(request.headers),
        expects_continue: expects_continue(request.headers)?,
        has_content_type: values(request.headers, "content-type").next().is_some(),
    })
}

/// Lets `async-h1` build the request from a validated head.
///
/// # Errors
/// `async-h1` rejects the method or the target.
pub(crate) async fn decode(bytes: &[u8], head: Head) -> Result<Request, HttpFault> {
    let reader = match head.expects_continue {
        true => HeadReader::new(&without_expect(bytes)),
        false => HeadReader::new(bytes),
    };
    match async_h1::server::decode(reader).await {
        Ok(Some((mut request, _body))) => {
            request.take_body();
            if !head.has_content_type {
                // `http_types` adds a content type together with the body.
                request.remove_header(CONTENT_TYPE);
            }
            Ok(request)
        }
        Ok(None) | Err(_) => Err(HttpFault::Malformed),
    }
}

/// Removes the `Expect` header, because `async-h1` would start threads to answer it.
fn without_expect(bytes: &[u8]) -> Vec<u8> {
    bytes
        .split_inclusive(|byte| *byte == b'\n')
        .filter(|line| !starts_with_name(line, b"expect:"))
        .flatten()
        .copied()
        .collect()
}

fn starts_with_name(line: &[u8], name: &[u8]) -> bool {
    line.get(..name.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(name))
}

fn parse_fault(error: httparse::Error) -> HttpFault {
    match error {
        httparse::Error::TooManyHeaders => HttpFault::HeadTooLarge,
        _ => HttpFault::Malformed,
    }
}

fn has_bare_line_feed(bytes: &[u8]) -> bool {
    let mut previous = 0;
    for byte in bytes {
        if *byte == b'\n' && previous != b'\r' {
            return true;
        }
        previous = *byte;
    }
    false
}

fn check_host(headers: &[Header<'_>]) -> Result<(), HttpFault> {
    let mut hosts = values(headers, "host");
    let host = hosts.next().ok_or(HttpFault::Malformed)?;
    // `async-h1` joins host and path into one URL, so the host must not contain a delimiter.
    let is_allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~:[]%".contains(byte);
    match !host.is_empty() && host.iter().all(is_allowed) && hosts.next().is_none() {
        true => Ok(()),
        false => Err(HttpFault::Malformed),
    }
}

/// Rejects values with bytes outside ASCII, on which `async-h1` panics.
fn check_values(headers: &[Header<'_>]) -> Result<(), HttpFault> {
    match headers.iter().all(|header| header.value.is_ascii()) {
        true => Ok(()),
        false => Err(HttpFault::Malformed),
    }
}

fn framing(headers: &[Header<'_>]) -> Result<Framing, HttpFault> {
    let mut lengths = values(headers, "content-length");
    let mut codings = values(headers, "transfer-encoding");
    let length = lengths.next();
    let coding = codings.next();
    if lengths.next().is_some() || codings.next().is_some() {
        return Err(HttpFault::Malformed);
    }
    match (length, coding) {
        (None, None) => Ok(Framing::Length(0)),
        (Some(length), None) => parse_length(length)
            .map(Framing::Length)
            .ok_or(HttpFault::Malformed),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
        (None, Some(_)) | (Some(_), Some(_)) => Err(HttpFault::Malformed),
    }
}

fn wants_close(headers: &[Header<'_>]) -> bool {
    values(headers, "connection").any(names_close)
}

fn expects_continue(headers: &[Header<'_>]) -> Result<bool, HttpFault> {
    let mut expected = false;
    for value in values(headers, "expect") {
        if !value.eq_ignore_ascii_case(CONTINUE) {
            return Err(HttpFault::Malformed);
        }
        expected = true;
    }
    Ok(expected)
}
