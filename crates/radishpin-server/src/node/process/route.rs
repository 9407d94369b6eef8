//! Where a call goes: candidates from the view, knowledge from the links.

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

/// Longest time between two looks for an endpoint while a call waits for one.
const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// Time in which a grant can be expected for a model without one.
const GRANT_TIME: Duration = Duration::from_millis(500);

impl Node {
    /// Chooses an endpoint for an attempt; waits for one while the deadline can still be met.
    ///
    /// # Errors
    /// The deadline cannot be met, or no endpoint can come to serve the call.
    pub(in crate::node) async fn route(
        &self,
        call: &Call,
        failed_at: &mut BTreeSet<EndpointId>,
    ) -> Result<Arc<AgentLink>, Refusal> {
        loop {
            let changed = self.routes_changed.listen();
            let candidates = self.candidates(call, failed_at);
            if let Some(index) = choose_endpoint(&candidates, self.random()) {
                return self.take(call, &candidates[index]);
            }
            let now = self.clock.now();
            self.check_hope(call, now)?;
            if let Some(model) = call.model() {
                self.models_awaiting_endpoint.lock().insert(model.clone());
                self.planning_requested.notify(1);
            }
            timeout(call.remaining(now).min(LOOK_AGAIN), changed).await;
            // What stood in the way may have passed; the number of attempts is bounded.
            failed_at.clear();
        }
    }

    /// Whether an endpoint is left whose attempt has not failed yet.
    pub(in crate::node) fn has_alternative_endpoint(
        &self,
        call: &Call,
        failed_at: &BTreeSet<EndpointId>,
    ) -> bool {
        call.model().is_some() || choose_endpoint(&self.candidates(call, failed_at), 0).is_some()
    }

    fn candidates(&self, call: &Call, failed_at: &BTreeSet<EndpointId>) -> Vec<Candidate> {
        let view = self.view();
        let links = self.links();
        let now = self.clock.now();
        let zone = self.settings.availability_zone.as_str();
        let endpoints: Vec<&EndpointId> = match call.model() {
            Some(model) => granted(&view, model),
            None => of_service(&view, &call.service),
        };
        let members = self.members.lock();
        endpoints
            .into_iter()
            .filter(|endpoint| !failed_at.contains(*endpoint))
            .filter_map(|endpoint| links.get(endpoint))
            .map(|link| {
                let standing = match self.stops_soon(&view, link.record()) {
                    true => MemberState::Leaving,
                    false => members.member_state(link.endpoint(), &link.record().host, now),
                };
                link.candidate(call.model(), zone, standing, now)
            })
            .collect()
    }

    /// Admits the call at the endpoint if the deadline can be met there.
    fn take(&self, call: &Call, candidate: &Candidate) -> Result<Arc<AgentLink>, Refusal> {
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
            return Err(refused.after(refusal.retry_after));
        }
        let links = self.links();
        let Some(link) = links.get(&candidate.endpoint) else {
            return Err(Refusal::new(
                ResultCode::NoEndpoint,
                "the endpoint has gone",
            ));
        };
        if let (Some(model), ReplicaReadiness::Granted { .. }) = (call.model(), candidate.replica) {
            link.note_load_begun(model, now);
        }
        Ok(Arc::clone(link))
    }

    /// Whether waiting for an endpoint makes sense.
    fn check_hope(&self, call: &Call, now: Duration) -> Result<(), Refusal> {
        let remaining = call.remaining(now);
        if remaining.is_zero() {
            let reason = "no endpoint could take the call before its deadline";
            return Err(self.come_back(ResultCode::DeadlinePassed, reason));
        }
        if call.model().is_none() {
            let reason = "no endpoint of the service can take the call";
            return Err(self.come_back(ResultCode::NoEndpoint, reason));
        }
        if remaining < GRANT_TIME {
            let reason = "no endpoint may load the model yet, and the deadline is too near";
            return Err(self.come_back(ResultCode::DeadlineUnreachable, reason));
        }
        Ok(())
    }

    fn come_back(&self, code: ResultCode, reason: &str) -> Refusal {
        Refusal::new(code, reason).after(retry_after(GRANT_TIME, self.random()))
    }
}

fn granted<'a>(view: &'a ClusterView, model: &str) -> Vec<&'a EndpointId> {
    let Some(record) = view.models.get(model) else {
        return Vec::new();
    };
    let held = record
        .grants
        .iter()
        .filter(|(_, grant)| grant.state == GrantState::Held);
    held.map(|(endpoint, _)| endpoint).collect()
}

fn of_service<'a>(view: &'a ClusterView, service: &str) -> Vec<&'a EndpointId> {
    let members = view
        .endpoints
        .iter()
        .filter(|(_, record)| record.service == service);
    members.map(|(endpoint, _)| endpoint).collect()
}
