//! Reading of the HTTP/2 connection preface with a timeout.
//!
//! hyper waits for the preface indefinitely, so silent connections would accumulate.

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use radishpin_runtime::timeout;
use smol::net::TcpStream;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

/// Bytes that every HTTP/2 client sends first.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Time after which a connection without a complete preface is closed.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection whose preface was received; it returns the preface again to hyper's reads.
#[derive(Debug)]
pub(super) struct PrefacedStream {
    preface: &'static [u8],
    stream: TcpStream,
}

/// Reads the preface; `None` if other bytes arrive, the connection fails, or the time is over.
pub(super) async fn read_preface(mut stream: TcpStream) -> Option<PrefacedStream> {
    let mut bytes = [0; PREFACE.len()];
    let received = timeout(PREFACE_TIMEOUT, stream.read_exact(&mut bytes)).await;
    let valid = matches!(received, Some(Ok(()))) && bytes == *PREFACE;
    valid.then_some(PrefacedStream {
        preface: PREFACE,
        stream,
    })
}

impl AsyncRead for PrefacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.preface.is_empty() {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let length = self.preface.len().min(buffer.len());
        let (head, tail) = self.preface.split_at(length);
        buffer[..length].copy_from_slice(head);
        self.preface = tail;
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for PrefacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
