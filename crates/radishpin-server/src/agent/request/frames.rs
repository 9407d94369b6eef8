//! The reply stream of one attempt: its work runs while the stream is polled.

use futures_lite::Stream;
use radishpin_protocol::wire::{ExecuteReply, Load, execute_reply::Frame};
use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};
use tonic::Status;

/// Frames that wait for a slow node; beyond that the endpoint's answer is not read.
const FRAME_BUFFER: usize = 16;

/// Where the work of an attempt puts its frames.
#[derive(Clone, Debug)]
pub(in crate::agent) struct Frames {
    sender: async_channel::Sender<ExecuteReply>,
}

impl Frames {
    /// Sends a frame; waits while the node is slow. A node that is gone drops the stream, and
    /// with it the work that waits here, so a failed send needs no answer.
    pub(in crate::agent) async fn send(&self, frame: Frame, load: Option<Load>) {
        let reply = ExecuteReply {
            frame: Some(frame),
            load,
        };
        let _ = self.sender.send(reply).await;
    }
}

/// Reply stream whose work is dropped with it, which cancels the call at the endpoint.
pub(in crate::agent) struct AttemptStream {
    work: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    frames: Pin<Box<async_channel::Receiver<ExecuteReply>>>,
}

impl AttemptStream {
    /// A stream of the frames that `work` sends.
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
