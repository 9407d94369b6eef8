//! Assigns a request to an endpoint and records how it ended there.

use super::call::Call;
use crate::process::{Gateway, TrialPermit};
use futures_lite::future;
use radishpin_core::process::{
    EndpointSnapshot, ExposedRequest, Exposure, FIRST_TOKEN_LATENCY, LoadTarget, Pick, PickQuery,
    Refusal, RequestOutcome, SlotWait, Standing, Wait, endpoint_variant,
};
use radishpin_protocol::{UnixMs, prelude::*};
use radishpin_runtime::Runtime;
use std::{net::SocketAddr, sync::Arc};

/// Interval at which a waiting request is routed anew even if nothing changed in the fleet.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// An endpoint chosen for a request, where the request counts as running until this is ended.
/// Dropping it without an outcome records the request as canceled.
#[derive(Debug)]
pub(crate) struct Assignment {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    /// Software version of the endpoint; `None` if it is not known.
    pub(crate) software_version: Option<SoftwareVersion>,
    /// Unix time of the endpoint's last known start in milliseconds; 0 if unknown.
    pub(crate) endpoint_started_unix_ms: UnixMs,
    /// Starts of the other processes that may answer under the endpoint's id.
    pub(crate) other_starts_unix_ms: BTreeSet<UnixMs>,
    pub(crate) started_at: Duration,
    /// Whether it goes to a full endpoint before others, as its customer or route got too little.
    pub(crate) is_raised: bool,
    exposure: Option<Exposure>,
    ended: bool,
}

impl Assignment {
    /// Ends the assignment and records the outcome.
    pub(crate) fn end(mut self, outcome: RequestOutcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: RequestOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.gateway.clock.now();
        let mut fleet = self.gateway.fleet.lock();
        fleet.end_request(&self.endpoint, self.call.target(), outcome, now);
        drop(fleet);
        if let Some(exposure) = self.exposure.take() {
            self.gateway.end_exposure(exposure, outcome, &self.call);
        }
        if outcome == RequestOutcome::Broken {
            self.log_break();
            self.gateway.check_endpoint(&self.endpoint, self.address);
        }
    }

    fn log_break(&self) {
        log::info!(
            event = "connection_broke", request = self.call.id, route = self.call.route.name, endpoint = self.endpoint,
            software_version = self.software_version.as_deref().unwrap_or("-"),
            fingerprint:% = format_args!("{:x}", self.call.fingerprint());
            "the connection to an endpoint broke before the whole answer came"
        );
    }

    /// Keeps a response that is no success from speaking for the parts of its prompt.
    pub(crate) fn end_exposure(&mut self) {
        if let Some(exposure) = self.exposure.take() {
            let outcome = RequestOutcome::Failed;
            self.gateway.end_exposure(exposure, outcome, &self.call);
        }
    }

    /// Records that the endpoint answered, so that it did not crash under the request.
    pub(crate) fn answered(&self) {
        let software_version = self.software_version.as_deref();
        self.gateway.request_answered(&self.call, software_version);
    }

    /// Returns the outcome of a response that is complete now.
    pub(crate) fn served(&self) -> RequestOutcome {
        let now = self.gateway.clock.now();
        RequestOutcome::Served {
            took: now.saturating_sub(self.started_at),
        }
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        self.record(RequestOutcome::Canceled);
    }
}

/// A request that waits for its model or adapter to be loaded, counted as demand until dropped.
struct LoadWait<'a> {
    gateway: &'a Gateway,
    target: Option<LoadTarget>,
    since: Duration,
    endpoint: EndpointId,
}

impl<'a> LoadWait<'a> {
    fn begin(gateway: &'a Gateway, call: &Call, target: Option<LoadTarget>, wait: &Wait) -> Self {
        let since = gateway.clock.now();
        if let Some(target) = &target {
            let mut fleet = gateway.fleet.lock();
            fleet.begin_wait(target.clone(), &wait.endpoint);
        }
        gateway.notify_demand(&wait.endpoint);
        let (model, adapter) = call.target().unwrap_or_default();
        log::info!(
            event = "request_waits", request = call.id, model = model, adapter = adapter.unwrap_or("-"),
            endpoint = wait.endpoint, estimate_ms = wait.estimate.as_millis() as u64,
            left_ms = call.remaining(since).as_millis() as u64;
            "request waits for a load"
        );
        Self {
            gateway,
            target,
            since,
            endpoint: wait.endpoint.clone(),
        }
    }

    fn set_endpoint(&mut self, wait: &Wait) {
        if self.endpoint != wait.endpoint {
            self.endpoint.clone_from(&wait.endpoint);
            self.gateway.notify_demand(&wait.endpoint);
        }
    }
}

impl Drop for LoadWait<'_> {
    fn drop(&mut self) {
        let waited = self.gateway.clock.now().saturating_sub(self.since);
        self.gateway
            .metrics
            .load_wait_s
            .observe(waited.as_secs_f64());
        if let Some(target) = &self.target {
            self.gateway.fleet.lock().end_wait(target);
        }
    }
}

/// What constrains the choice of an endpoint for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Constraints<'a> {
    /// Endpoints that the request was sent to before.
    pub(crate) tried: &'a BTreeSet<EndpointId>,
    /// Software version of the endpoints that may serve it; `None` if any may.
    pub(crate) software_version: Option<&'a str>,
    /// Time by which its caller must get the next part of the response.
    pub(crate) next_part_deadline: Duration,
    /// Permit to send it although endpoints crashed under it or a part of its prompt.
    pub(crate) trial: Option<&'a TrialPermit>,
}

/// Assigns a request to an endpoint, and waits for a load if the load can end in time for a response.
///
/// # Errors
/// The request cannot be served in time; this call has sent it nowhere.
pub(crate) async fn assign_endpoint(
    gateway: &Arc<Gateway>,
    call: &Arc<Call>,
    constraints: Constraints<'_>,
) -> Result<Assignment, Refusal> {
    let mut waiting: Option<LoadWait<'_>> = None;
    let mut reconsidered_at = Duration::ZERO;
    // Endpoint at which the request has a slot under the endpoint's limit.
    let mut slot_at: Option<EndpointId> = None;
    loop {
        let listener = gateway.fleet_changed.listen();
        // Its key may have been revoked while it waits.
        gateway.check_customer(call)?;
        let target = call.target().filter(|_| waiting.is_some());
        let model_listener = target.map(|(model, _)| gateway.model_events.listen(model));
        let now = gateway.clock.now();
        let next_part_deadline = constraints.next_part_deadline;
        let waits_until = gateway.waiting_deadline();
        let stopping = waits_until.is_some_and(|until| until < next_part_deadline);
        let waits_until =
            waits_until.map_or(next_part_deadline, |until| until.min(next_part_deadline));
        let software_version = match constraints.trial {
            Some(permit) => Ok(permit.software_version.clone()),
            None => gateway.check_crashes(call, constraints.software_version),
        };
        // What was sent once is not rejected for its customer's share any more.
        let share = match constraints.tried.is_empty() {
            true => gateway.judge_share(call),
            false => None,
        };
        let standing = share.map_or(Standing::Within, |verdict| verdict.standing);
        let query = PickQuery {
            service: &call.service,
            target: call.target(),
            software_version: software_version
                .as_ref()
                .map_or(constraints.software_version, |version| version.as_deref()),
            priority: call.priority,
            standing,
            time_left: waits_until.saturating_sub(now),
            stopping,
            waited: waiting
                .as_ref()
                .map_or(Duration::ZERO, |w| now.saturating_sub(w.since)),
            reconsider: now.saturating_sub(reconsidered_at) >= RECHECK_INTERVAL,
            prompt_tokens: call.prompt_tokens,
            tried: constraints.tried,
            random: call.random,
        };
        if query.reconsider {
            reconsidered_at = now;
        }
        if let Err(refusal) = &software_version {
            log_refusal(call, refusal, &query);
            return Err(refusal.clone());
        }
        let slot = slot_at.take();
        let pick = match &slot {
            Some(endpoint) => gateway.fleet.lock().pick_with_slot(endpoint, &query, now),
            None => gateway.fleet.lock().pick(&query, now),
        };
        let wait = match pick {
            Pick::Send {
                endpoint,
                address,
                snapshot,
            } => {
                let has_slot = snapshot.limit.is_none() || slot.as_ref() == Some(&endpoint);
                let version = snapshot.software_version.as_deref();
                let exposed = ExposedRequest {
                    parts: call.shared_parts.clone(),
                    variant: endpoint_variant(&call.service, version),
                    trial: constraints.trial.is_some(),
                };
                let exposure = gateway.begin_exposure(&endpoint, snapshot.started_unix_ms, exposed);
                let assignment = Assignment {
                    exposure: Some(exposure),
                    gateway: Arc::clone(gateway),
                    call: Arc::clone(call),
                    endpoint,
                    address,
                    software_version: snapshot.software_version.clone(),
                    endpoint_started_unix_ms: snapshot.started_unix_ms,
                    other_starts_unix_ms: snapshot.other_starts_unix_ms.clone(),
                    started_at: now,
                    is_raised: standing == Standing::BelowFloor && snapshot.is_full,
                    ended: false,
                };
                if !has_slot && !take_slot_now(gateway, call, &assignment, &snapshot).await {
                    assignment.end(RequestOutcome::Refused);
                    continue;
                }
                log_send(call, &assignment, &snapshot, &query);
                if share.is_some() {
                    gateway.record_share_sent(call, assignment.is_raised);
                }
                return Ok(assignment);
            }
            Pick::TakeSlot(wait) => {
                if let Some(until_slot) = gateway.take_slot(&call.id, &wait).await {
                    Runtime::sleep(until_slot).await;
                    slot_at = Some(wait.endpoint);
                }
                continue;
            }
            Pick::Refuse(refusal) => {
                log_refusal(call, &refusal, &query);
                if let Some(verdict) = &share {
                    gateway.record_share_refusal(call, verdict, &refusal);
                }
                if let Some(endpoint) = &refusal.loads_at {
                    gateway.notify_demand(endpoint);
                }
                return Err(refusal);
            }
            Pick::Wait(wait) => wait,
        };
        match &mut waiting {
            Some(waiting) => waiting.set_endpoint(&wait),
            None => {
                waiting = Some(LoadWait::begin(gateway, call, query.load_target(), &wait));
                // Nothing listened for the model yet, so a change may have been missed.
                continue;
            }
        }
        let recheck_after = query
            .time_left
            .saturating_sub(FIRST_TOKEN_LATENCY)
            .min(RECHECK_INTERVAL);
        let model_changed = async {
            match model_listener {
                Some(model_listener) => model_listener.await,
                None => std::future::pending().await,
            }
        };
        let changed = future::or(listener, model_changed);
        future::or(changed, Runtime::sleep(recheck_after)).await;
    }
}

/// Takes a slot at the limited endpoint that a request is assigned to, if there is one at once.
async fn take_slot_now(
    gateway: &Gateway,
    call: &Call,
    assignment: &Assignment,
    snapshot: &EndpointSnapshot,
) -> bool {
    let Some(limit) = snapshot.limit else {
        return true;
    };
    let wait = SlotWait {
        endpoint: assignment.endpoint.clone(),
        limit,
        wait_max: Duration::ZERO,
    };
    gateway.take_slot(&call.id, &wait).await.is_some()
}

fn log_send(
    call: &Call,
    assignment: &Assignment,
    snapshot: &EndpointSnapshot,
    query: &PickQuery<'_>,
) {
    let limit = snapshot.limit.map(|rate| rate.to_string());
    let left = call.remaining(assignment.started_at);
    log::info!(
        event = "request_sent", request = call.id, route = call.route.name, endpoint = assignment.endpoint,
        software_version = snapshot.software_version.as_deref().unwrap_or("-"),
        resumes = call.resumes.as_deref().unwrap_or("-"), shared_parts:% = call.shared_parts, load = snapshot.load,
        limit_per_s = limit.as_deref().unwrap_or("-"), status = snapshot.status_version,
        status_age_ms = snapshot.status_age.as_millis() as u64, configuration = call.catalog_version,
        tried = query.tried.len(), waited_ms = query.waited.as_millis() as u64, left_ms = left.as_millis() as u64;
        "request sent to an endpoint"
    );
}

fn log_refusal(call: &Call, refusal: &Refusal, query: &PickQuery<'_>) {
    let (model, adapter) = query.target.unwrap_or_default();
    log::info!(
        event = "request_refused", request = call.id, service = query.service, model = model,
        adapter = adapter.unwrap_or("-"), reason = refusal.reason.name(),
        loads_at = refusal.loads_at.as_deref().unwrap_or("-"),
        retry_after_ms = refusal.retry_after.as_millis() as u64,
        patience_ms = query.time_left.as_millis() as u64, waited_ms = query.waited.as_millis() as u64,
        tried = query.tried.len(), configuration = call.catalog_version;
        "request cannot be served in time"
    );
}
