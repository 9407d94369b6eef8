//! Callers that were told to come back once a load is done.

use super::Target;
use crate::process::{Demand, DemandReason};
use radishpin_protocol::prelude::*;

/// Time after which a caller that was told to come back is no longer expected.
const RETURN_GRACE: Duration = Duration::from_millis(800);

/// Callers that are expected back for one model or adapter.
#[derive(Clone, Debug)]
struct Recall {
    endpoint: EndpointId,
    callers: u32,
    until: Duration,
}

/// Callers that are expected back: the load that they were told of goes on without them.
#[derive(Clone, Debug, Default)]
pub(super) struct Recalls {
    recalls: BTreeMap<Target, Recall>,
}

impl Recalls {
    /// Records that a caller comes back after `retry_after` for what `endpoint` loads.
    pub(super) fn add(
        &mut self,
        target: Target,
        endpoint: &str,
        retry_after: Duration,
        now: Duration,
    ) {
        self.recalls.retain(|_, recall| recall.until > now);
        let until = now + retry_after + RETURN_GRACE;
        let recall = self.recalls.entry(target).or_insert_with(|| Recall {
            endpoint: endpoint.to_owned(),
            callers: 0,
            until,
        });
        endpoint.clone_into(&mut recall.endpoint);
        recall.callers += 1;
        recall.until = recall.until.max(until);
    }

    /// The endpoint that loads for callers that are expected back.
    pub(super) fn endpoint(&self, target: &Target, now: Duration) -> Option<&EndpointId> {
        let recall = self.recalls.get(target)?;
        (recall.until > now).then_some(&recall.endpoint)
    }

    /// What an endpoint is to load for callers that are expected back.
    pub(super) fn demands(&self, endpoint: &str, now: Duration) -> impl Iterator<Item = Demand> {
        let expected = self
            .recalls
            .iter()
            .filter(move |(_, recall)| recall.endpoint == endpoint && recall.until > now);
        expected.map(|((model, adapter), recall)| Demand {
            model: model.clone(),
            adapter: adapter.clone(),
            reason: DemandReason::Waiting,
            waiting: recall.callers,
        })
    }
}
