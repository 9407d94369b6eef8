//! The reply stream of one attempt, which drives the attempt's work whenever it is polled.

use futures_lite::Stream;
use radishpin_protocol::wire::{ExecuteReply, Load, execute_reply::Frame};
use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};
use tonic::Status;

/// Frames buffered for a slow node; while the buffer is full, the endpoint's response is not read.
const FRAME_BUFFER: usize = 16;

/// Sending side of a reply stream.
#[derive(Clone, Debug)]
pub(in crate::agent) struct Frames {
    sender: async_channel::Sender<ExecuteReply>,
}

impl Frames {
    /// Sends a frame; waits while the buffer is full. Send errors are ignored: if the node
    /// disconnects, the stream is dropped together with the work that waits here.
    pub(in crate::agent) async fn send(&self, frame: Frame, load: Option<Load>) {
        let reply = ExecuteReply {
            frame: Some(frame),
            load,
        };
        let _ = self.sender.send(reply).await;
    }
}

/// Reply stream that owns the work of its attempt; dropping it cancels the call to the endpoint.
pub(in crate::agent) struct AttemptStream {
    work: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    frames: Pin<Box<async_channel::Receiver<ExecuteReply>>>,
}

impl AttemptStream {
    /// Creates a stream of the frames that `work` sends; `work` starts on the first poll.
    pub(in crate::agent) fn new<W>(work: impl FnOnce(Frames) -> W) -> Self
    where
        W: Future<Output = ()> + Send + 'static,
    {
        let (sender, receiver) = async_channel::bounded(FRAME_BUFFER);
        Self {
            work: Some(Box::pin(work(Frames { sender }))),
            frames: Box::pin(receiver),
        }
    }

    fn poll_work(&mut self, context: &mut Context<'_>) {
        let Some(work) = &mut self.work else { return };
        if work.as_mut().poll(context).is_ready() {
            self.work = None;
        }
    }
}

impl Stream for AttemptStream {
    type Item = Result<ExecuteReply, Status>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.poll_work(context);
        self.frames
            .as_mut()
            .poll_next(context)
            .map(|frame| frame.map(Ok))
    }
}
