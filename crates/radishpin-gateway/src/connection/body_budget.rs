//! Bounds the bytes of response bodies that a process keeps.

use crate::process::{MemoryBudget, MemoryReservation};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use quick_error::quick_error;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Most bytes of one body.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Memory that is reserved at first for a body of unknown length, in bytes.
const FIRST_RESERVATION_BYTES: usize = 16 * 1024;
/// Most bytes of all bodies that are being read at the same time.
const ALL_BODIES_BYTES_MAX: usize = 64 * 1024 * 1024;

quick_error! {
    /// Why a body was not kept.
    #[derive(Debug)]
    pub enum BodyError {
        /// The connection failed, or the body ended early.
        Broken(cause: hyper::Error) {
            display("body broke off: {cause}")
            source(cause)
            from()
        }
        /// The body is larger than any that is kept.
        TooLarge {
            display("body is larger than {BODY_BYTES_MAX} bytes")
        }
        /// Too many bytes of other bodies are being read.
        NoRoom {
            display("over {ALL_BODIES_BYTES_MAX} bytes of bodies are being read")
        }
    }
}

/// The bytes of all bodies that are being read.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyBudget {
    bytes: Arc<AtomicUsize>,
}

/// Bytes that count towards a budget until they are dropped.
struct Share<'a> {
    budget: &'a BodyBudget,
    bytes: usize,
}

impl Share<'_> {
    fn grow(&mut self, count: usize, bytes_max: usize) -> Result<(), BodyError> {
        self.bytes += count;
        let all = self.budget.bytes.fetch_add(count, Ordering::Relaxed) + count;
        if self.bytes > bytes_max {
            return Err(BodyError::TooLarge);
        }
        match all > ALL_BODIES_BYTES_MAX {
            true => Err(BodyError::NoRoom),
            false => Ok(()),
        }
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.budget.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The complete body of a response, in memory that is charged to the budget of the process.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    pub(crate) reservation: MemoryReservation,
}

impl BodyBudget {
    /// Reads a body to its end. Waits while the memory budget has no room for it, as its request has run.
    ///
    /// # Errors
    /// The body breaks off, or it or all bodies together are too large.
    pub(crate) async fn read(
        &self,
        memory: &MemoryBudget,
        mut body: Incoming,
    ) -> Result<BufferedBody, BodyError> {
        let mut share = Share {
            budget: self,
            bytes: 0,
        };
        let length = body.size_hint().exact();
        let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        let capacity = length
            .unwrap_or(FIRST_RESERVATION_BYTES)
            .min(BODY_BYTES_MAX);
        let mut reservation = memory.reserve_for_response(capacity).await;
        let mut kept = Vec::with_capacity(capacity);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            share.grow(data.len(), BODY_BYTES_MAX)?;
            let former = kept.capacity();
            if kept.len() + data.len() > former {
                let grown = (kept.len() + data.len()).max(former * 2);
                // Both buffers exist until the bytes have been copied.
                reservation.grow_when_possible(grown).await;
                kept.reserve_exact(grown - kept.len());
                reservation.shrink(former);
            }
            kept.extend_from_slice(&data);
        }
        Ok(BufferedBody {
            bytes: Bytes::from(kept),
            reservation,
        })
    }
}
