//! A body whose connection breaks before its first byte.

use futures_lite::{AsyncBufRead, AsyncRead};
use http_types::Body;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

struct BrokenBody;

/// A body that announces `length` bytes and then breaks the connection.
pub(crate) fn broken_body(length: usize) -> Body {
    Body::from_reader(BrokenBody, Some(length))
}

impl AsyncRead for BrokenBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        _target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}

impl AsyncBufRead for BrokenBody {
    fn poll_fill_buf(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }

    fn consume(self: Pin<&mut Self>, _amount: usize) {}
}
