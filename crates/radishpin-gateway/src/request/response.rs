//! Responses to callers.

use crate::{
    connection::{BufferedBody, DiscardRest, PIECE_BYTES_MAX},
    process::MemoryReservation,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use radishpin_core::process::Refusal;
use radishpin_protocol::prelude::*;
use std::{
    pin::Pin,
    task::{Context, Poll},
};

quick_error! {
    /// Why the body of a response ends early; the caller sees its connection closed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ResponseError {
        /// The rest of the stream did not arrive, and no other endpoint could resume it.
        Truncated {
            display("the rest of the response did not arrive")
        }
        /// The caller did not read it, and its memory was needed for others.
        GaveWay {
            display("the caller did not read the response")
        }
        /// The route's timeout or the caller's deadline passed.
        TimedOut {
            display("the deadline of the request passed")
        }
    }
}

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// By its length.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection, so a body that was cut off looks like a complete one.
    UntilClose,
}

impl BodyFraming {
    /// Reads the framing from the headers of a response that has a body.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Self::Chunked;
        }
        match headers.contains_key(header::CONTENT_LENGTH) {
            true => Self::Length,
            false => Self::UntilClose,
        }
    }

    /// Name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// Body of a response to a caller: buffered, or a stream relayed from an endpoint.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, ResponseError>;

/// Returns a body of these bytes, with a known length.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns the body of an endpoint's response, with a known length.
pub(crate) fn buffered_body(body: BufferedBody) -> ResponseBody {
    let left = body.bytes.len();
    body.reservation.hold(body.bytes);
    HeldBody {
        reservation: body.reservation,
        left,
    }
    .boxed_unsync()
}

/// A response in memory that is charged. It breaks off if it gives way to others.
struct HeldBody {
    reservation: MemoryReservation,
    /// Bytes that have not been taken yet.
    left: usize,
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = ResponseError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let piece = self.reservation.take_piece(PIECE_BYTES_MAX);
        let piece = piece.map_err(|_| ResponseError::GaveWay);
        self.left = piece
            .as_ref()
            .map_or(0, |piece| self.left.saturating_sub(piece.len()));
        Poll::Ready(Some(piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

/// Returns a response written by the gateway itself, with one line of plain text.
pub(crate) fn gateway_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns a 503 with Retry-After: the request did not run and will not, so the caller may retry.
pub(crate) fn refusal_response(text: &str, retry_after: Duration) -> Response<ResponseBody> {
    let mut response = gateway_response(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns the response to a request that is not served for the key that it carries. Unless its body has been
/// read, its connection ends with the response, and the rest of the body is discarded.
pub(crate) fn access_response(refusal: &Refusal, body_read: bool) -> Response<ResponseBody> {
    let text = refusal.reason.name();
    let mut response = if refusal.reason.is_unauthorized() {
        let mut response = gateway_response(StatusCode::UNAUTHORIZED, text);
        let scheme = HeaderValue::from_static("Token");
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, scheme);
        response
    } else {
        refusal_response(text, refusal.retry_after)
    };
    if !body_read {
        response = close_early(response);
    }
    response
}

/// Ends the connection with a response to a request whose body has not been read to its end. The rest of the
/// body is discarded.
pub(crate) fn close_early(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response.extensions_mut().insert(DiscardRest);
    response
}

/// Hop-by-hop headers, and Content-Length, which hyper sets from the body.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// Removes the hop-by-hop headers, including those that the `Connection` header lists.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}
