//! Position of a caller's stream, kept across attempts.

use radishpin_protocol::prelude::*;

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChunkVerdict {
    /// Forward it to the caller.
    Accept,
    /// Drop it: the caller has it already.
    Duplicate,
    /// Drop it and resume at `expected`: chunks are missing before it.
    Gap {
        /// Offset that the caller needs next.
        expected: u64,
    },
    /// Drop it: it is from an attempt other than the current one.
    Superseded,
    /// Drop it: the stream has already ended.
    AfterEnd,
}

/// The next offset that the caller needs and the only attempt that may deliver it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamCursor {
    attempt: AttemptNumber,
    expected: u64,
    ended: bool,
}

impl StreamCursor {
    /// A cursor at offset 0 of a stream that `attempt` delivers.
    pub fn new(attempt: AttemptNumber) -> Self {
        Self {
            attempt,
            expected: 0,
            ended: false,
        }
    }

    /// Decides about a chunk and advances if it is accepted; `offset` counts stream events.
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

    /// Ends the stream; `false` if `attempt` is not the current one or the stream already ended.
    pub fn end(&mut self, attempt: AttemptNumber) -> bool {
        if attempt != self.attempt || self.ended {
            return false;
        }
        self.ended = true;
        true
    }

    /// Makes a later attempt the current one and returns the offset that it must resume at.
    ///
    /// `None` if `attempt` is not later than the current one or the stream has ended.
    pub fn resume(&mut self, attempt: AttemptNumber) -> Option<u64> {
        if attempt <= self.attempt || self.ended {
            return None;
        }
        self.attempt = attempt;
        Some(self.expected)
    }

    /// The only attempt that may deliver chunks.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Offset of the first event that the caller has not received.
    pub fn expected(&self) -> u64 {
        self.expected
    }

    /// Whether [`Self::end`] ended the stream, completely or because of an error.
    pub fn is_ended(&self) -> bool {
        self.ended
    }
}
