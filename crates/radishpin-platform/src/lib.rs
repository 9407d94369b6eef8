//! Edge of the platform: table service, object store and host list, and the client over it.
//!
//! [`Platform`] is the outside system, met as an in-memory stand-in, over HTTP, or by an
//! adapter to the real service. [`PlatformClient`] adds timeouts, retries, a breaker and the
//! settling of unknown outcomes; [`ViewReader`] and [`ViewWriter`] read and change the view
//! through it. The rest of radishpin uses these alone.

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
