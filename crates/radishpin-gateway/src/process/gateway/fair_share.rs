//! Judges requests by their customers' shares, and counts what becomes of them.

use super::Gateway;
use crate::request::Call;
use parking_lot::Mutex;
use radishpin_core::{
    process::{FairShare, Refusal, RefusalReason, ShareQuery, ShareVerdict},
    version::{Catalog, CustomerId},
};
use radishpin_protocol::prelude::*;

/// Customers that have counters of their own, the first that meet contention; the others share theirs.
const COUNTED_CUSTOMERS: usize = 50;
/// Name under which the others are counted.
const OTHER_CUSTOMERS: &str = "(other)";
/// Name under which requests without a customer are counted.
const NO_CUSTOMER: &str = "(none)";

const SENT_FIRST: &str = "sent_first";
const REJECTED_BUSY: &str = "rejected_busy";
const REJECTED_OVER_SHARE: &str = "rejected_over_share";
/// Outcomes that are counted for each customer.
const OUTCOMES: [&str; 3] = [SENT_FIRST, REJECTED_BUSY, REJECTED_OVER_SHARE];

/// Shares of customers, as far as this gateway sees their requests.
#[derive(Debug, Default)]
pub(crate) struct FairShareGuard {
    shares: Mutex<FairShare>,
    counted: Mutex<BTreeSet<CustomerId>>,
}

fn query(call: &Call) -> ShareQuery<'_> {
    ShareQuery {
        service: &call.service,
        customer: call.customer.as_deref(),
        route: &call.route.name,
        token_count: call.token_count,
    }
}

impl Gateway {
    /// Decides how the customer of a request stands compared with others; `None` if there are no customers.
    pub(crate) fn judge_share(&self, call: &Call) -> Option<ShareVerdict> {
        self.catalog()?.customers.as_ref()?;
        let mut shares = self.fair_share.shares.lock();
        Some(shares.judge(&query(call), self.clock.now()))
    }

    /// Counts a request that was sent to an endpoint for the first time; `is_raised` says that it went before
    /// others as it was below the floor.
    pub(crate) fn record_share_sent(&self, call: &Call, is_raised: bool) {
        let mut shares = self.fair_share.shares.lock();
        shares.count(&query(call), true, self.clock.now());
        drop(shares);
        if is_raised {
            self.count_share(call, SENT_FIRST);
        }
    }

    /// Counts a request that is refused before its first send, if it is refused as no endpoint has room.
    pub(crate) fn record_share_refusal(
        &self,
        call: &Call,
        verdict: &ShareVerdict,
        refusal: &Refusal,
    ) {
        let outcome = match refusal.reason {
            RefusalReason::Busy => REJECTED_BUSY,
            RefusalReason::OverShare => REJECTED_OVER_SHARE,
            _ => return,
        };
        let mut shares = self.fair_share.shares.lock();
        shares.count(&query(call), false, self.clock.now());
        drop(shares);
        self.count_share(call, outcome);
        if refusal.reason == RefusalReason::OverShare {
            log_over_share(call, verdict, refusal);
        }
    }

    /// Drops what belongs to customers that a configuration does not have.
    pub(super) fn configure_shares(&self, catalog: &Catalog) {
        self.fair_share.shares.lock().configure(catalog);
        let customers = catalog.customers.as_ref();
        let is_known = |name: &str| {
            name == NO_CUSTOMER || customers.is_some_and(|all| all.by_name(name).is_some())
        };
        let mut counted = self.fair_share.counted.lock();
        let removed: Vec<CustomerId> = counted.iter().filter(|n| !is_known(n)).cloned().collect();
        for customer in removed {
            counted.remove(&customer);
            for outcome in OUTCOMES {
                // A customer need not have had each outcome.
                let _ = self
                    .metrics
                    .fair_share
                    .remove_label_values(&[&customer, outcome]);
            }
        }
    }

    fn count_share(&self, call: &Call, outcome: &str) {
        let customer = call.customer.as_deref();
        let customer = customer.map_or(NO_CUSTOMER, |customer| customer.name.as_str());
        let mut counted = self.fair_share.counted.lock();
        if counted.len() < COUNTED_CUSTOMERS && !counted.contains(customer) {
            counted.insert(customer.to_owned());
        }
        let customer = counted
            .get(customer)
            .map_or(OTHER_CUSTOMERS, String::as_str);
        let labels = &[customer, outcome];
        self.metrics.fair_share.with_label_values(labels).inc();
    }
}

fn log_over_share(call: &Call, verdict: &ShareVerdict, refusal: &Refusal) {
    let customer = call.customer.as_deref();
    log::info!(
        event = "over_share", request = call.id, route = call.route.name, service = call.service,
        customer = customer.map_or(NO_CUSTOMER, |customer| customer.name.as_str()),
        asked:% = format_args!("{:.1}", verdict.asked), sent:% = format_args!("{:.1}", verdict.sent),
        share:% = format_args!("{:.1}", verdict.share.unwrap_or(f64::INFINITY)),
        weight:% = format_args!("{:.3}", verdict.weight), sent_part:% = format_args!("{:.3}", verdict.sent_part),
        retry_after_ms = refusal.retry_after.as_millis() as u64, configuration = call.catalog_version;
        "no endpoint has a free slot, and the customer is over its share"
    );
}
