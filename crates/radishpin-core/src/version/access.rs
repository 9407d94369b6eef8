//! Whether a request may be served, by the customer's key that it carries, and on whose behalf.

use super::{Catalog, Customer, CustomerKey, Customers, Route};
use crate::process::RefusalReason;
use radishpin_protocol::prelude::*;
use std::sync::Arc;

/// What a request says about who sent it.
#[derive(Clone, Copy, Debug)]
pub enum Credential {
    /// It carries no key.
    Missing,
    /// It carries several keys, an empty one, or something else than a key.
    Malformed,
    /// It carries one key.
    Key(CustomerKey),
}

/// How sure a gateway is that its configuration is the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatalogFreshness {
    /// Time since the configuration was last known to be the newest.
    pub age: Duration,
    /// Whether the store has answered lately, so that a newer configuration would be known.
    pub in_touch: bool,
}

/// What the check of a request depends on besides the customers.
#[derive(Clone, Copy, Debug)]
pub struct AccessQuery {
    /// What the request says.
    pub credential: Credential,
    /// Whether its route needs no key.
    pub is_public: bool,
    /// How sure the gateway is of the customers.
    pub freshness: CatalogFreshness,
    /// Age from which a configuration is no longer used to accept keys; `None` if it always is.
    pub age_max: Option<Duration>,
}

impl Customers {
    /// Finds the customer on whose behalf a request is served; `None` if it is served without one.
    ///
    /// # Errors
    /// The request must not be sent to an endpoint.
    pub fn identify(&self, query: &AccessQuery) -> Result<Option<&Arc<Customer>>, RefusalReason> {
        let key = match (&query.credential, query.is_public) {
            (Credential::Key(key), false) => key,
            (Credential::Key(key), true) => return Ok(self.find_key(key)),
            (Credential::Missing | Credential::Malformed, true) => return Ok(None),
            (Credential::Missing, false) => return Err(RefusalReason::KeyMissing),
            (Credential::Malformed, false) => return Err(RefusalReason::KeyMalformed),
        };
        let freshness = query.freshness;
        if query.age_max.is_some_and(|max| freshness.age >= max) {
            return Err(RefusalReason::ConfigurationOutdated);
        }
        match self.find_key(key) {
            Some(customer) => Ok(Some(customer)),
            // A newer configuration may have the key, and callers do not retry after a 401.
            None if !freshness.in_touch => Err(RefusalReason::KeyUnconfirmed),
            None => Err(RefusalReason::KeyUnknown),
        }
    }

    /// Identifies a request again before it is sent. `admitted` is the customer that it was admitted for,
    /// possibly by another configuration.
    ///
    /// # Errors
    /// The request must not be sent to an endpoint.
    pub fn identify_again(
        &self,
        admitted: Option<&Customer>,
        query: &AccessQuery,
    ) -> Result<Option<&Arc<Customer>>, RefusalReason> {
        let holder = self.identify(query)?;
        let same = match (admitted, holder) {
            (Some(admitted), Some(holder)) => admitted.name == holder.name,
            // Without a customer it was admitted on a public route, or before there were customers.
            (None, Some(_)) => !query.is_public,
            (_, None) => true,
        };
        match (same, query.is_public) {
            (true, _) => Ok(holder),
            (false, true) => Ok(None),
            // What was done for one customer must not go on for another one.
            (false, false) => Err(RefusalReason::KeyMoved),
        }
    }
}

impl Catalog {
    /// Rank of a request among all that the configuration allows for, from 0, the most urgent, to
    /// `levels - 1`: by the customer's priority, then by the route's. A request without a customer ranks
    /// with the least urgent customers.
    ///
    /// Where there are more combinations of priorities than levels, neighbors share a level.
    pub fn urgency(&self, customer: Option<&Customer>, route: &Route, levels: usize) -> usize {
        let customers = self.customers.iter().flat_map(Customers::priorities);
        let customers = PrioritySet::new(customers);
        let routes = self.routes.values().flatten().map(|route| route.priority);
        let routes = PrioritySet::new(routes.chain([route.priority]));
        let customer_rank = match customer {
            Some(customer) => customers.below(customer.priority),
            None => customers.len() - 1,
        };
        let rank = customer_rank * routes.len() + routes.below(route.priority);
        let ranks = customers.len() * routes.len();
        if ranks <= levels {
            rank
        } else {
            (rank * levels / ranks).min(levels.saturating_sub(1))
        }
    }
}

const PRIORITIES: usize = u8::MAX as usize + 1;

/// A set of priorities, which always has 0: others are less urgent even where none has 0.
struct PrioritySet([bool; PRIORITIES]);

impl PrioritySet {
    fn new(priorities: impl Iterator<Item = u8>) -> Self {
        let mut has = [false; PRIORITIES];
        for priority in priorities.chain([0]) {
            has[usize::from(priority)] = true;
        }
        Self(has)
    }

    /// Number of priorities that are more urgent than one.
    fn below(&self, priority: u8) -> usize {
        let has = self.0.iter().take(usize::from(priority));
        has.filter(|has| **has).count()
    }

    fn len(&self) -> usize {
        self.0.iter().filter(|has| **has).count()
    }
}
