//! Collects a request's whole body in memory, within its size limit.

use super::head::Framing;
use crate::{
    HttpFault,
    chunk::{ChunkScanner, Step},
};

/// Maximum memory allocated for a body before any of it has arrived.
const MAX_INITIAL_CAPACITY_BYTES: usize = 64 * 1024;

/// Part of the body that has not arrived yet.
#[derive(Clone, Copy, Debug)]
enum Remaining {
    Bytes(usize),
    Chunks(ChunkScanner),
    Nothing,
}

/// Body that is being received.
#[derive(Debug)]
pub(super) struct BodyReader {
    bytes: Vec<u8>,
    limit_bytes: usize,
    remaining: Remaining,
}

impl BodyReader {
    /// Creates a reader for a body with this framing.
    ///
    /// # Errors
    /// The Content-Length exceeds the limit.
    pub(super) fn new(framing: Framing, limit_bytes: usize) -> Result<Self, HttpFault> {
        let remaining = match framing {
            Framing::Length(0) => Remaining::Nothing,
            Framing::Length(length) => Remaining::Bytes(check_length(length, limit_bytes)?),
            Framing::Chunked => Remaining::Chunks(ChunkScanner::new()),
        };
        let capacity = match remaining {
            Remaining::Bytes(length) => length.min(MAX_INITIAL_CAPACITY_BYTES),
            Remaining::Chunks(_) | Remaining::Nothing => 0,
        };
        Ok(Self {
            bytes: Vec::with_capacity(capacity),
            limit_bytes,
            remaining,
        })
    }

    /// Consumes the bytes of the body at the start of `input`, and returns their number.
    ///
    /// # Errors
    /// The chunked coding is invalid, or the body exceeds its limit.
    pub(super) fn take(&mut self, input: &[u8]) -> Result<usize, HttpFault> {
        match self.remaining {
            Remaining::Nothing => Ok(0),
            Remaining::Bytes(remaining) => Ok(self.take_sized(remaining, input)),
            Remaining::Chunks(scanner) => self.take_chunks(scanner, input),
        }
    }

    fn take_sized(&mut self, remaining: usize, input: &[u8]) -> usize {
        let count = remaining.min(input.len());
        self.bytes.extend_from_slice(&input[..count]);
        self.remaining = match remaining - count {
            0 => Remaining::Nothing,
            remaining => Remaining::Bytes(remaining),
        };
        count
    }

    fn take_chunks(&mut self, mut scanner: ChunkScanner, input: &[u8]) -> Result<usize, HttpFault> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match scanner.next(rest).map_err(|_| HttpFault::Malformed)? {
                Step::NeedMore => {
                    self.remaining = Remaining::Chunks(scanner);
                    return Ok(used);
                }
                Step::Skip(count) => used += count,
                Step::Data(count) => {
                    self.append(&rest[..count])?;
                    used += count;
                }
                Step::End(count) => {
                    self.remaining = Remaining::Nothing;
                    return Ok(used + count);
                }
            }
        }
    }

    fn append(&mut self, data: &[u8]) -> Result<(), HttpFault> {
        if self.bytes.len() + data.len() > self.limit_bytes {
            return Err(HttpFault::BodyTooLarge);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Whether the whole body has arrived.
    pub(super) fn is_complete(&self) -> bool {
        matches!(self.remaining, Remaining::Nothing)
    }

    /// Returns the bytes received so far.
    pub(super) fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}

fn check_length(length: u64, limit_bytes: usize) -> Result<usize, HttpFault> {
    usize::try_from(length)
        .ok()
        .filter(|length| *length <= limit_bytes)
        .ok_or(HttpFault::BodyTooLarge)
}
