//! Where a caller's stream stands, across attempts.

use radishpin_protocol::prelude::*;

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChunkVerdict {
    /// Pass it on to the caller.
    Accept,
    /// Drop it: the caller has it already.
    Duplicate,
    /// Drop it and resume at `expected`: chunks are missing before it.
    Gap {
        /// Offset that the caller needs next.
        expected: u64,
    },
    /// Drop it: it is not of the current attempt.
    Superseded,
    /// Drop it: the stream has ended.
    AfterEnd,
}

/// The offset that the caller needs next, and the one attempt that may deliver it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamCursor {
    attempt: AttemptNumber,
    expected: u64,
    ended: bool,
}

impl StreamCursor {
    /// The start of a stream that `attempt` delivers.
    pub fn new(attempt: AttemptNumber) -> Self {
        Self {
            attempt,
            expected: 0,
            ended: false,
        }
    }

    /// Takes the chunk at `offset`, counted in stream events.
    pub fn accept(&mut self, attempt: AttemptNumber, offset: u64) -> ChunkVerdict {
        if attempt != self.attempt {
            return ChunkVerdict::Superseded;
        }
        if self.ended {
            return ChunkVerdict::AfterEnd;
        }
        let expected = self.expected;
        if offset < expected {
            return ChunkVerdict::Duplicate;
        }
        if offset > expected {
            return ChunkVerdict::Gap { expected };
        }
        self.expected += 1;
        ChunkVerdict::Accept
    }

    /// Takes the end of the stream; `false` where another attempt sent it, or it ended before.
    pub fn end(&mut self, attempt: AttemptNumber) -> bool {
        if attempt != self.attempt || self.ended {
            return false;
        }
        self.ended = true;
        true
    }

    /// Lets a later attempt go on and returns the offset to ask it for; `None` where `attempt` is
    /// not later, or the stream has ended.
    pub fn resume(&mut self, attempt: AttemptNumber) -> Option<u64> {
        if attempt <= self.attempt || self.ended {
            return None;
        }
        self.attempt = attempt;
        Some(self.expected)
    }

    /// The attempt that may deliver.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Offset of the first event that the caller does not have.
    pub fn expected(&self) -> u64 {
        self.expected
    }

    /// Whether the stream has ended whole.
    pub fn is_ended(&self) -> bool {
        self.ended
    }
}
