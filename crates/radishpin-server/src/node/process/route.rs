//! Routing of calls: the view gives the candidates, the links their reported state.

use crate::node::{
    Node,
    connection::AgentLink,
    request::{Call, Refusal},
};
use radishpin_core::process::MemberState;
use radishpin_core::request::{
    Candidate, ReplicaReadiness, admit, choose_endpoint, estimate_wait, retry_after,
};
use radishpin_protocol::{GrantState, prelude::*};
use radishpin_runtime::timeout;
use std::sync::Arc;

/// Longest time between two attempts to choose an endpoint while a call waits for one.
const ROUTE_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time that granting a model to an endpoint is expected to take.
const EXPECTED_GRANT_DELAY: Duration = Duration::from_millis(500);

impl Node {
    /// Chooses an endpoint for an attempt.
    ///
    /// Waits for an endpoint while one may still be granted the model before the deadline. After a
    /// wait, `failed_endpoints` is cleared.
    ///
    /// # Errors
    /// The deadline cannot be met, or no endpoint can take the call.
    pub(in crate::node) async fn route(
        &self,
        call: &Call,
        failed_endpoints: &mut BTreeSet<EndpointId>,
    ) -> Result<Arc<AgentLink>, Refusal> {
        loop {
            let changed = self.routes_changed.listen();
            let candidates = self.candidates(call, failed_endpoints);
            if let Some(index) = choose_endpoint(&candidates, self.random()) {
                return self.admit_at(call, &candidates[index]);
            }
            let now = self.clock.now();
            self.check_worth_waiting(call, now)?;
            if let Some(model) = call.model() {
                self.models_awaiting_endpoint.lock().insert(model.clone());
                self.planning_requested.notify(1);
            }
            timeout(call.remaining(now).min(ROUTE_RETRY_INTERVAL), changed).await;
            // The failures may have been temporary, and the number of attempts is limited.
            failed_endpoints.clear();
        }
    }

    /// Whether the call can be retried at an endpoint that has not failed it.
    ///
    /// Always `true` for a model, as another endpoint may be granted it.
    pub(in crate::node) fn has_alternative_endpoint(
        &self,
        call: &Call,
        failed_endpoints: &BTreeSet<EndpointId>,
    ) -> bool {
        call.model().is_some()
            || choose_endpoint(&self.candidates(call, failed_endpoints), 0).is_some()
    }

    fn candidates(&self, call: &Call, failed_endpoints: &BTreeSet<EndpointId>) -> Vec<Candidate> {
        let view = self.view();
        let links = self.links();
        let now = self.clock.now();
        let zone = self.settings.availability_zone.as_str();
        let endpoints: Vec<&EndpointId> = match call.model() {
            Some(model) => endpoints_with_grant(&view, model),
            None => endpoints_of_service(&view, &call.service),
        };
        let members = self.members.lock();
        endpoints
            .into_iter()
            .filter(|endpoint| !failed_endpoints.contains(*endpoint))
            .filter_map(|endpoint| links.get(endpoint))
            .map(|link| {
                let membership = match self.stops_soon(&view, link.record()) {
                    true => MemberState::Leaving,
                    false => members.member_state(link.endpoint(), &link.record().host, now),
                };
                link.candidate(call.model(), zone, membership, now)
            })
            .collect()
    }

    /// Admits the call at the endpoint if the endpoint is expected to meet the deadline.
    fn admit_at(&self, call: &Call, candidate: &Candidate) -> Result<Arc<AgentLink>, Refusal> {
        let now = self.clock.now();
        let service_time = if call.is_stream() {
            Duration::ZERO
        } else {
            candidate.service_time
        };
        let estimate = estimate_wait(candidate).saturating_add(service_time);
        if let Err(refusal) = admit(estimate, call.remaining(now), self.random()) {
            let reason = format!(
                "{} ms are left and {} ms are needed",
                call.remaining(now).as_millis(),
                estimate.as_millis()
            );
            let refused = Refusal::new(ResultCode::DeadlineUnreachable, reason);
            return Err(refused.with_retry_after(refusal.retry_after));
        }
        let links = self.links();
        let Some(link) = links.get(&candidate.endpoint) else {
            return Err(Refusal::new(
                ResultCode::NoEndpoint,
                "the endpoint has gone",
            ));
        };
        if let (Some(model), ReplicaReadiness::Granted { .. }) = (call.model(), candidate.replica) {
            link.record_load_start(model, now);
        }
        Ok(Arc::clone(link))
    }

    /// Refuses the call if waiting for an endpoint cannot help.
    fn check_worth_waiting(&self, call: &Call, now: Duration) -> Result<(), Refusal> {
        let remaining = call.remaining(now);
        if remaining.is_zero() {
            let reason = "no endpoint could take the call before its deadline";
            return Err(self.refuse_with_retry_after(ResultCode::DeadlinePassed, reason));
        }
        if call.model().is_none() {
            let reason = "no endpoint of the service can take the call";
            return Err(self.refuse_with_retry_after(ResultCode::NoEndpoint, reason));
        }
        if remaining < EXPECTED_GRANT_DELAY {
            let reason = "no endpoint may load the model yet, and the deadline is too near";
            return Err(self.refuse_with_retry_after(ResultCode::DeadlineUnreachable, reason));
        }
        Ok(())
    }

    fn refuse_with_retry_after(&self, code: ResultCode, reason: &str) -> Refusal {
        Refusal::new(code, reason)
            .with_retry_after(retry_after(EXPECTED_GRANT_DELAY, self.random()))
    }
}

fn endpoints_with_grant<'a>(view: &'a ClusterView, model: &str) -> Vec<&'a EndpointId> {
    let Some(record) = view.models.get(model) else {
        return Vec::new();
    };
    let held = record
        .grants
        .iter()
        .filter(|(_, grant)| grant.state == GrantState::Held);
    held.map(|(endpoint, _)| endpoint).collect()
}

fn endpoints_of_service<'a>(view: &'a ClusterView, service: &str) -> Vec<&'a EndpointId> {
    let members = view
        .endpoints
        .iter()
        .filter(|(_, record)| record.service == service);
    members.map(|(endpoint, _)| endpoint).collect()
}
