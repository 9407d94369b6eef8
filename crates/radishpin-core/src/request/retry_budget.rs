//! Token buckets that keep retries to a tenth of the traffic.

use radishpin_protocol::prelude::*;

/// Parts of a token that every request adds: a tenth of a retry.
const REQUEST_PARTS: u64 = 1;
/// Parts of a token that a retry takes.
const RETRY_PARTS: u64 = 10;

/// Retries that may be made: at most `burst` and a tenth of the requests seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    parts: u64,
    parts_max: u64,
}

impl RetryBudget {
    /// A full budget that saves up at most `burst` retries.
    pub fn new(burst: u32) -> Self {
        let parts_max = u64::from(burst) * RETRY_PARTS;
        Self {
            parts: parts_max,
            parts_max,
        }
    }

    /// Counts a request, not a retry.
    pub fn record_request(&mut self) {
        self.parts = (self.parts + REQUEST_PARTS).min(self.parts_max);
    }

    /// Takes a retry out of the budget; `false` where none is left.
    pub fn try_take(&mut self) -> bool {
        let enough = self.has_one();
        if enough {
            self.parts -= RETRY_PARTS;
        }
        enough
    }

    fn has_one(&self) -> bool {
        self.parts >= RETRY_PARTS
    }
}

/// The budgets of a node: one for each service and one for all.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    node: RetryBudget,
    services: BTreeMap<ServiceId, RetryBudget>,
    service_burst: u32,
}

impl RetryBudgets {
    /// Full budgets.
    pub fn new(node_burst: u32, service_burst: u32) -> Self {
        Self {
            node: RetryBudget::new(node_burst),
            services: BTreeMap::new(),
            service_burst,
        }
    }

    /// Counts a request of a service, not a retry.
    pub fn record_request(&mut self, service: &str) {
        self.node.record_request();
        self.of_service(service).record_request();
    }

    /// Takes a retry out of both budgets, or out of neither.
    pub fn try_take(&mut self, service: &str) -> bool {
        if !self.node.has_one() || !self.of_service(service).try_take() {
            return false;
        }
        self.node.try_take()
    }

    /// Drops the budgets of services that are gone.
    pub fn retain(&mut self, mut exists: impl FnMut(&ServiceId) -> bool) {
        self.services.retain(|service, _| exists(service));
    }

    fn of_service(&mut self, service: &str) -> &mut RetryBudget {
        let burst = self.service_burst;
        let fresh = || RetryBudget::new(burst);
        self.services
            .entry(service.to_owned())
            .or_insert_with(fresh)
    }
}
