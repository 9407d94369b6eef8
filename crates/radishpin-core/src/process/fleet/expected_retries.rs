//! Callers that were refused with a Retry-After and are expected to retry once a load is done.

use super::LoadTarget;
use crate::process::{Demand, DemandReason};
use radishpin_protocol::prelude::*;

/// Time after its Retry-After at which a caller is no longer expected.
const RETRY_GRACE: Duration = Duration::from_millis(800);

/// Callers that are expected to retry for one model or adapter.
#[derive(Clone, Debug)]
struct ExpectedRetry {
    endpoint: EndpointId,
    callers: u32,
    until: Duration,
}

/// Expected retries by model or adapter; they keep a load wanted while no caller waits for it.
#[derive(Clone, Debug, Default)]
pub(super) struct ExpectedRetries {
    by_target: BTreeMap<LoadTarget, ExpectedRetry>,
}

impl ExpectedRetries {
    /// Records that a caller should retry after `retry_after`, when `endpoint` has loaded `target`.
    pub(super) fn add(
        &mut self,
        target: LoadTarget,
        endpoint: &str,
        retry_after: Duration,
        now: Duration,
    ) {
        self.by_target.retain(|_, retry| retry.until > now);
        let until = now + retry_after + RETRY_GRACE;
        let retry = self
            .by_target
            .entry(target)
            .or_insert_with(|| ExpectedRetry {
                endpoint: endpoint.to_owned(),
                callers: 0,
                until,
            });
        endpoint.clone_into(&mut retry.endpoint);
        retry.callers += 1;
        retry.until = retry.until.max(until);
    }

    /// The endpoint that loads `target` for expected retries; `None` once they have expired.
    pub(super) fn endpoint(&self, target: &LoadTarget, now: Duration) -> Option<&EndpointId> {
        let retry = self.by_target.get(target)?;
        (retry.until > now).then_some(&retry.endpoint)
    }

    /// Models and adapters that an endpoint is to load for expected retries.
    pub(super) fn demands(&self, endpoint: &str, now: Duration) -> impl Iterator<Item = Demand> {
        let expected = self
            .by_target
            .iter()
            .filter(move |(_, retry)| retry.endpoint == endpoint && retry.until > now);
        expected.map(|(target, retry)| Demand {
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            reason: DemandReason::Waiting,
            waiting: retry.callers,
        })
    }
}
