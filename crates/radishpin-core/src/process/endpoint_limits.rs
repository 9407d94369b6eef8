//! Limits that endpoints state, as gateways tell each other.

use crate::request::RequestRate;
use radishpin_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Time after which a statement is forgotten; a gateway that then starts learns it from an answer.
pub const LIMIT_LIFETIME: Duration = Duration::from_secs(3_600);
/// Largest number of endpoints that are kept; beyond it the oldest statement is dropped.
pub const LIMITS_MAX: usize = 1_024;

/// What an endpoint states about its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointLimit {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests a second that it takes from all gateways together; `None` if it states no limit any more.
    pub limit: Option<RequestRate>,
    /// Time since a gateway learned of it, in milliseconds.
    pub age_ms: u64,
}

/// The last statement of each endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    endpoints: BTreeMap<EndpointId, Statement>,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    limit: Option<RequestRate>,
    at: Duration,
    version: u64,
}

impl EndpointLimits {
    /// Records a statement unless a later one is known; returns whether the limit is another one now.
    pub fn record(&mut self, received: EndpointLimit, now: Duration) -> bool {
        let age = Duration::from_millis(received.age_ms);
        self.endpoints
            .retain(|_, known| now.saturating_sub(known.at) < LIMIT_LIFETIME);
        if age >= LIMIT_LIFETIME {
            return false;
        }
        let at = now.saturating_sub(age);
        let known = self.endpoints.get(&received.endpoint);
        if known.is_some_and(|known| known.at >= at || known.limit == received.limit) {
            return false;
        }
        if known.is_none() && self.endpoints.len() >= LIMITS_MAX {
            self.drop_oldest();
        }
        self.version += 1;
        let statement = Statement {
            limit: received.limit,
            at,
            version: self.version,
        };
        self.endpoints.insert(received.endpoint, statement);
        true
    }

    /// Statements that were recorded after this version.
    pub fn since(&self, version: u64, now: Duration) -> Vec<EndpointLimit> {
        let newer = self
            .endpoints
            .iter()
            .filter(|(_, statement)| statement.version > version);
        let messages = newer.map(|(endpoint, statement)| EndpointLimit {
            endpoint: endpoint.clone(),
            limit: statement.limit,
            age_ms: u64::try_from(now.saturating_sub(statement.at).as_millis()).unwrap_or(u64::MAX),
        });
        messages.collect()
    }

    /// Increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of endpoints whose statement is known.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether no statement is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .endpoints
            .iter()
            .min_by_key(|(_, statement)| statement.at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.endpoints.remove(&id);
        }
    }
}
