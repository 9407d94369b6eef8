//! The body of a response whose end is recorded.

use super::caller_stream::Exchange;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    sync::{Arc, atomic::Ordering},
    task::{Context, Poll},
};

/// A body, or none, that records when the HTTP library drops it, as it has then taken all of it.
#[derive(Debug)]
pub(super) struct TrackedBody<B> {
    body: Option<B>,
    exchange: Arc<Exchange>,
}

impl<B> TrackedBody<B> {
    pub(super) fn new(body: Option<B>, exchange: Arc<Exchange>) -> Self {
        Self { body, exchange }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        match &mut self.body {
            Some(body) => Pin::new(body).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Some(body) => body.size_hint(),
            None => SizeHint::with_exact(0),
        }
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.exchange.is_responded.store(true, Ordering::Release);
    }
}
