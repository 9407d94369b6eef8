//! Client for the platform that radishpin depends on: table service, object store and host list.
//!
//! [`Platform`] is the interface of that external system. It is implemented by an in-memory
//! stand-in, by [`HttpPlatform`], or by an adapter to the real service. [`PlatformClient`] adds
//! timeouts, retries, a circuit breaker and the settlement of commits whose outcome is unknown.
//! [`ViewReader`] and [`ViewWriter`] read and change the view through the client. The rest of
//! radishpin accesses the platform only through these types.

mod backoff;
mod breaker;
mod budget;
mod client;
mod error;
mod http;
mod metrics;
mod platform;
mod rate_limiter;
mod view_reader;
mod view_writer;

pub mod wire;

pub use backoff::{Backoff, jittered};
pub use breaker::{Breaker, BreakerSettings, BreakerState, Permit};
pub use budget::{BudgetSettings, RetryBudget};
pub use client::{ClientSettings, OperationSweep, PlatformClient, Settled};
pub use error::{CallError, Cause, OperationId};
pub use http::HttpPlatform;
pub use metrics::PlatformMetrics;
pub use platform::*;
pub use rate_limiter::AdaptiveRateLimiter;
pub use view_reader::{ViewHandle, ViewReader};
pub use view_writer::{ChangeOutcome, ProfileHistoryEntry, RowChange, ViewChange, ViewWriter};
