//! Loads the model and adapter of an attempt and keeps them loaded while it runs.

use super::{AttemptRefusal, guards::UseGuard};
use crate::agent::Agent;
use radishpin_core::process::{LoadDecision, LoadRefusal, Target};
use radishpin_protocol::{ServiceKind, prelude::*, wire::ExecuteRequest};
use std::sync::Arc;

/// Number of failed loads of its target after which a waiting attempt is refused.
const LOAD_FAILURES_MAX: u64 = 2;

/// Waits until the attempt's target is loaded and counts a use of it; `None` if it has no model.
///
/// # Errors
/// The target cannot be loaded at this endpoint or before the deadline. The attempt has not run.
pub(super) async fn ensure_loaded(
    agent: &Arc<Agent>,
    request: &ExecuteRequest,
    deadline: Duration,
) -> Result<Option<UseGuard>, AttemptRefusal> {
    if request.model.is_empty() {
        return Ok(None);
    }
    if agent.settings.kind == ServiceKind::Plain {
        let detail = "the endpoint is a plain service and runs no models";
        return Err(AttemptRefusal::not_run(ResultCode::InvalidField, detail));
    }
    let target = target_of(request);
    let adapter_size_mb = (!request.adapter.is_empty()).then_some(request.adapter_size_mb);
    let failures_before = agent.load_counters.failures(&target);
    loop {
        let changed = agent.ledger_changed.listen();
        if agent.load_counters.failures(&target) >= failures_before + LOAD_FAILURES_MAX {
            let detail = "the endpoint failed to load the model";
            return Err(AttemptRefusal::not_run(ResultCode::LoadFailed, detail));
        }
        if advance_load(agent, &target, adapter_size_mb)?
            && let Some(guard) = UseGuard::begin(agent, &target)
        {
            return Ok(Some(guard));
        }
        let left = deadline.saturating_sub(agent.clock.now());
        if left.is_zero() || radishpin_runtime::timeout(left, changed).await.is_none() {
            let detail = "the deadline passed while the model was loading";
            return Err(AttemptRefusal::not_run(ResultCode::DeadlinePassed, detail));
        }
    }
}

/// Requests the load and sends the order that it needs next; `true` if the target is loaded.
fn advance_load(
    agent: &Arc<Agent>,
    target: &Target,
    adapter_size_mb: Option<SizeMb>,
) -> Result<bool, AttemptRefusal> {
    let now = agent.clock.now();
    let decision = match agent.ledger.lock().as_mut() {
        Some(ledger) => ledger.request_load(target, adapter_size_mb, now),
        None => LoadDecision::Refused(LoadRefusal::NotRegistered),
    };
    match decision {
        LoadDecision::Ready => Ok(true),
        LoadDecision::Loading => Ok(false),
        LoadDecision::Issue(order) => {
            agent.spawn_order(order);
            Ok(false)
        }
        LoadDecision::Refused(refusal) => handle_refusal(agent, &refusal).map(|()| false),
    }
}

/// Returns `Ok` if the attempt should wait, after evicting idle targets if memory is short; refuses
/// it if waiting cannot help.
fn handle_refusal(agent: &Arc<Agent>, refusal: &LoadRefusal) -> Result<(), AttemptRefusal> {
    match refusal {
        LoadRefusal::NotGranted | LoadRefusal::Revoking => {
            let detail = "the endpoint has no grant for the model";
            Err(AttemptRefusal::not_run(ResultCode::NotGranted, detail))
        }
        LoadRefusal::NoMemory {
            needed_mb,
            free_mb,
            releasing_mb,
            evict,
        } => {
            if evict.is_empty() && free_mb.saturating_add(*releasing_mb) < *needed_mb {
                let detail = format!("{needed_mb} MiB needed, {free_mb} MiB free, the rest in use");
                return Err(AttemptRefusal::not_run(ResultCode::NoMemory, detail));
            }
            agent.evict(evict);
            Ok(())
        }
        LoadRefusal::NotRegistered => {
            let detail = "the agent has no configuration yet";
            Err(AttemptRefusal::not_run(ResultCode::NotReady, detail))
        }
        LoadRefusal::UnknownSize => {
            let detail = "the size of the adapter is missing";
            Err(AttemptRefusal::not_run(ResultCode::Internal, detail))
        }
        LoadRefusal::Uncertain => Ok(()),
    }
}

fn target_of(request: &ExecuteRequest) -> Target {
    if request.adapter.is_empty() {
        return Target::Model(request.model.clone());
    }
    Target::Adapter {
        model: request.model.clone(),
        adapter: request.adapter.clone(),
    }
}
