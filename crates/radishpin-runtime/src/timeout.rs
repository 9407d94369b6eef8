//! Bounds on the time that a future may take.

use crate::timer::CoarseTimer;
use std::{future::Future, time::Duration};

/// Runs `future` for at most `limit`; `None` when the time is over, which is noticed within
/// [`crate::TICK`].
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(future.await) };
    let expiry = async {
        CoarseTimer::after(limit).await;
        None
    };
    futures_lite::future::or(work, expiry).await
}
