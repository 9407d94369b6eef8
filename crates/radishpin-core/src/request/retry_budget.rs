//! Token buckets that limit retries to a tenth of the requests, plus a burst.

use radishpin_protocol::prelude::*;

/// Tokens that a request adds to the bucket: a tenth of a retry.
const REQUEST_TOKENS: u64 = 1;
/// Tokens that a retry takes from the bucket.
const RETRY_TOKENS: u64 = 10;

/// Token bucket that permits at most `burst` retries plus a tenth of the recorded requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    tokens: u64,
    tokens_max: u64,
}

impl RetryBudget {
    /// Creates a full budget; `burst` is the number of retries that it holds at most.
    pub fn new(burst: u32) -> Self {
        let tokens_max = u64::from(burst) * RETRY_TOKENS;
        Self {
            tokens: tokens_max,
            tokens_max,
        }
    }

    /// Adds the tokens of a request; must not be called for retries.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + REQUEST_TOKENS).min(self.tokens_max);
    }

    /// Takes a retry from the budget. Returns `false` if none is left.
    pub fn try_take(&mut self) -> bool {
        let enough = self.has_retry();
        if enough {
            self.tokens -= RETRY_TOKENS;
        }
        enough
    }

    fn has_retry(&self) -> bool {
        self.tokens >= RETRY_TOKENS
    }
}

/// Retry budgets of a process: one per service and one for all services together.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    node: RetryBudget,
    services: BTreeMap<ServiceId, RetryBudget>,
    service_burst: u32,
}

impl RetryBudgets {
    /// Creates full budgets; services get theirs with their first request or retry.
    pub fn new(node_burst: u32, service_burst: u32) -> Self {
        Self {
            node: RetryBudget::new(node_burst),
            services: BTreeMap::new(),
            service_burst,
        }
    }

    /// Adds the tokens of a request to both budgets; must not be called for retries.
    pub fn record_request(&mut self, service: &str) {
        self.node.record_request();
        self.service_budget(service).record_request();
    }

    /// Takes a retry from both budgets, or from neither and returns `false`.
    pub fn try_take(&mut self, service: &str) -> bool {
        if !self.node.has_retry() || !self.service_budget(service).try_take() {
            return false;
        }
        self.node.try_take()
    }

    /// Drops the budgets of services for which `exists` returns `false`.
    pub fn retain(&mut self, mut exists: impl FnMut(&ServiceId) -> bool) {
        self.services.retain(|service, _| exists(service));
    }

    fn service_budget(&mut self, service: &str) -> &mut RetryBudget {
        let burst = self.service_burst;
        let full_budget = || RetryBudget::new(burst);
        self.services
            .entry(service.to_owned())
            .or_insert_with(full_budget)
    }
}
