//! Reads bodies of requests into memory that is charged to the budget of the process.

use crate::process::{BudgetExceeded, MemoryBudget, MemoryReservation};
use bytes::Bytes;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use radishpin_core::request::{BodyPace, PaceLimits};
use radishpin_protocol::prelude::*;
use radishpin_runtime::timeout;

/// Memory that is reserved at first for a body of unknown length, in bytes.
const FIRST_RESERVATION_BYTES: usize = 16 * 1024;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestBodyError {
    /// It is larger than the configuration allows.
    TooLarge,
    /// It broke off.
    Broken,
    /// It did not come in time.
    TimedOut,
    /// It was slower than the minimum rate, or made no progress for too long.
    Stalled,
    /// The memory budget has no room for it, or it gave way to others.
    NoMemory,
}

impl From<BudgetExceeded> for RequestBodyError {
    fn from(_: BudgetExceeded) -> Self {
        Self::NoMemory
    }
}

/// Bytes with the reservation of the memory that holds them.
struct ChargedBytes {
    bytes: Vec<u8>,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that is being received. It is copied out of the connection's read buffer, as each small piece would keep
/// a buffer of several kilobytes alive.
struct ReceivedBody {
    bytes: Vec<u8>,
    reservation: MemoryReservation,
    bytes_max: usize,
}

impl ReceivedBody {
    /// Reserves the memory for a body of `length` bytes, if it is known.
    fn new(
        budget: &MemoryBudget,
        length: Option<usize>,
        bytes_max: usize,
    ) -> Result<Self, BudgetExceeded> {
        let capacity = length.unwrap_or(FIRST_RESERVATION_BYTES.min(bytes_max));
        let reservation = budget.reserve(capacity)?;
        reservation.record_progress();
        Ok(Self {
            bytes: Vec::with_capacity(capacity),
            reservation,
            bytes_max,
        })
    }

    fn push(&mut self, data: &[u8]) -> Result<(), RequestBodyError> {
        let length = self.bytes.len() + data.len();
        if length > self.bytes_max {
            return Err(RequestBodyError::TooLarge);
        }
        let former = self.bytes.capacity();
        if length > former {
            let capacity = length.max(former * 2).min(self.bytes_max);
            // Both buffers exist until the bytes have been copied.
            self.reservation.grow(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
            self.reservation.shrink(former);
        }
        self.bytes.extend_from_slice(data);
        self.reservation.record_progress();
        Ok(())
    }

    /// Returns the complete body, whose memory is charged until its last clone is dropped.
    fn finish(self) -> Result<Bytes, BudgetExceeded> {
        self.reservation.keep()?;
        Ok(Bytes::from_owner(ChargedBytes {
            bytes: self.bytes,
            _reservation: self.reservation,
        }))
    }
}

/// Limits on reading a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Largest size, in bytes.
    pub(crate) bytes_max: usize,
    /// Longest time for the whole body.
    pub(crate) time_limit: Duration,
    /// Slowest pace; `None` sets no limit.
    pub(crate) pace: Option<PaceLimits>,
}

/// Reads a body to its end. `now` tells the time of the process.
///
/// # Errors
/// The body is too large, too slow or incomplete, or there is no memory for it.
pub(crate) async fn read_request_body(
    budget: &MemoryBudget,
    body: Incoming,
    limits: BodyLimits,
    now: impl Fn() -> Duration,
) -> Result<Bytes, RequestBodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let hint = body.size_hint();
    let size_min = usize::try_from(hint.lower()).unwrap_or(usize::MAX);
    if size_min > limits.bytes_max {
        return Err(RequestBodyError::TooLarge);
    }
    let length = hint.exact().map(|_| size_min);
    let received = ReceivedBody::new(budget, length, limits.bytes_max)?;
    match timeout(limits.time_limit, receive(body, received, limits.pace, now)).await {
        Some(result) => result,
        None => Err(RequestBodyError::TimedOut),
    }
}

async fn receive(
    mut body: Incoming,
    mut received: ReceivedBody,
    limits: Option<PaceLimits>,
    now: impl Fn() -> Duration,
) -> Result<Bytes, RequestBodyError> {
    let mut pace = limits.map(|limits| BodyPace::new(limits, now()));
    loop {
        let frame = async { Ok(body.frame().await) };
        let gave_way = async {
            received.reservation.closed().await;
            Err(RequestBodyError::NoMemory)
        };
        let next = future::or(frame, gave_way);
        let frame = match &pace {
            Some(pace) => {
                let left = pace.ends_at().saturating_sub(now());
                let next = timeout(left, next).await;
                next.unwrap_or(Err(RequestBodyError::Stalled))?
            }
            None => next.await?,
        };
        match frame {
            None => return Ok(received.finish()?),
            Some(Err(_)) => return Err(RequestBodyError::Broken),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                received.push(&data)?;
                if let Some(pace) = &mut pace {
                    pace.record(data.len(), now());
                }
            }
        }
    }
}
