//! Callers that were told to come back once a load is done.

use super::ModelTarget;
use crate::process::{Demand, DemandReason};
use radishpin_protocol::prelude::*;

/// Time after which a caller that was told to come back is no longer expected.
const RETRY_GRACE: Duration = Duration::from_millis(800);

/// Callers that are expected back for one model or adapter.
#[derive(Clone, Debug)]
struct ExpectedRetry {
    endpoint: EndpointId,
    callers: u32,
    until: Duration,
}

/// Callers that are expected back: the load that they were told of goes on without them.
#[derive(Clone, Debug, Default)]
pub(super) struct ExpectedRetries {
    by_target: BTreeMap<ModelTarget, ExpectedRetry>,
}

impl ExpectedRetries {
    /// Records that a caller comes back after `retry_after` for what `endpoint` loads.
    pub(super) fn add(
        &mut self,
        target: ModelTarget,
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

    /// The endpoint that loads for callers that are expected back.
    pub(super) fn endpoint(&self, target: &ModelTarget, now: Duration) -> Option<&EndpointId> {
        let retry = self.by_target.get(target)?;
        (retry.until > now).then_some(&retry.endpoint)
    }

    /// What an endpoint is to load for callers that are expected back.
    pub(super) fn demands(&self, endpoint: &str, now: Duration) -> impl Iterator<Item = Demand> {
        let expected = self
            .by_target
            .iter()
            .filter(move |(_, retry)| retry.endpoint == endpoint && retry.until > now);
        expected.map(|((model, adapter), retry)| Demand {
            model: model.clone(),
            adapter: adapter.clone(),
            reason: DemandReason::Waiting,
            waiting: retry.callers,
        })
    }
}
