//! Timeout for a future, based on coarse timers.

use crate::timer::CoarseTimer;
use std::{future::Future, time::Duration};

/// Runs `future` for at most `limit`; returns `None` on expiry, up to two [`crate::TICK`]s late.
///
/// An expired future is dropped.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(future.await) };
    let expiry = async {
        CoarseTimer::after(limit).await;
        None
    };
    futures_lite::future::or(work, expiry).await
}
