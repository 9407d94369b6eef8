//! Quotas of customers over all gateways: credit that gateways lease from sidecars.
//!
//! The token bucket of a customer is split into parts. Each part has one holder among the sidecars, from
//! which gateways lease credit just before they spend it.

mod account;
mod bounds;
mod credit;
mod holder;
mod holders;
mod search;

pub use bounds::{LEASE_LIFE, PARTS_MAX, PARTS_MIN, PartLimit, QuotaBounds, QuotaLimit};
pub use credit::{CreditBook, CreditQuery, HOLDER_BACKOFF, SpentCredit, TakeCredit};
pub use holder::{PARTS_HELD_MAX, QuotaHolder};
pub use holders::PartHolders;
pub use search::CreditSearch;

use crate::version::CustomerId;
use radishpin_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Request of a gateway for credit, of several customers at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Random number of the gateway's process.
    pub gateway: u64,
    /// Increases with each message of the gateway to this holder, so that a repeated one returns no
    /// credit twice.
    pub sequence: u64,
    /// What it asks for.
    pub asks: Vec<CreditAsk>,
}

/// Request for credit from one part of a customer's bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CreditAsk {
    /// The customer.
    pub customer: CustomerId,
    /// Number of the part.
    pub part: u8,
    /// Version of the configuration that the limit comes from.
    pub version: u64,
    /// Limit of the part.
    pub limit: PartLimit,
    /// Credit that the next request needs; 0 to make the part known without taking any.
    pub least: u64,
    /// Credit for this and the requests that are expected next.
    pub most: u64,
    /// Credit of earlier leases that was not spent and never will be.
    pub returned: u64,
}

/// Answer to a [`CreditAsk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CreditAnswer {
    /// This much may be spent within [`LEASE_LIFE`] of the time at which the gateway asked.
    Granted(u64),
    /// The credit comes after this many milliseconds, if no other gateway takes it.
    Denied {
        /// The time.
        wait_ms: u64,
    },
}

/// Time as milliseconds, rounded up.
fn ceil_ms(time: Duration) -> u64 {
    u64::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
