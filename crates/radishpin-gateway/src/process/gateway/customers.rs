//! Decides on whose behalf requests are served, and whether they may be sent.

use super::Gateway;
use crate::request::{Call, Sender};
use radishpin_core::{
    process::{Refusal, RefusalReason},
    version::{AccessQuery, Catalog, Credential, Customer, Route},
};
use std::sync::Arc;

impl Gateway {
    /// Finds the customer of a request that has just arrived; `None` if it is served without one.
    ///
    /// # Errors
    /// The request must not be served.
    pub(crate) fn identify(
        &self,
        catalog: &Catalog,
        route: &Route,
        credential: Credential,
    ) -> Result<Option<Arc<Customer>>, RefusalReason> {
        let Some(customers) = &catalog.customers else {
            return Ok(None);
        };
        let query = self.access_query(credential, route.is_public);
        Ok(customers.identify(&query)?.cloned())
    }

    /// Checks a request against the configuration in force, before each send and while it waits, as its key
    /// may have been revoked since it arrived. Returns as whose it is sent.
    ///
    /// # Errors
    /// The request must not be sent any more.
    pub(crate) fn check_customer(&self, call: &Call) -> Result<Sender, Refusal> {
        let catalog = self.catalog();
        let customers = catalog
            .as_ref()
            .and_then(|catalog| catalog.customers.as_ref());
        let Some(customers) = customers else {
            return Ok(Sender::AsReceived);
        };
        let query = self.access_query(call.credential, call.route.is_public);
        match customers.identify_again(call.customer.as_deref(), &query) {
            Ok(customer) => Ok(Sender::Customer(customer.cloned())),
            Err(reason) => Err(Refusal::access(reason, call.random)),
        }
    }

    fn access_query(&self, credential: Credential, is_public: bool) -> AccessQuery {
        let settings = self.settings.lock();
        let limits = &settings.platform_limits;
        AccessQuery {
            credential,
            is_public,
            freshness: self.catalog_contact.freshness(),
            age_max: limits.fail_closed.then_some(limits.revocation_time),
        }
    }

    /// Counts and logs a request that is refused before its body is read.
    pub(crate) fn record_access_refusal(
        &self,
        request: &str,
        route: &Route,
        catalog: &Catalog,
        reason: RefusalReason,
    ) {
        let refusals = &self.metrics.refusals;
        refusals.with_label_values(&[reason.name()]).inc();
        let freshness = self.catalog_contact.freshness();
        log::info!(
            event = "request_denied", request = request, route = route.name, reason = reason.name(),
            configuration = catalog.version, configuration_age_ms = freshness.age.as_millis() as u64,
            in_touch = freshness.in_touch;
            "request is not served for the key that it carries"
        );
    }
}
