//! Accounting of the engine's memory and of the outcomes of orders.

use super::{Action, ActionOutcome, EndpointReport, Loading, Residency};
use crate::{request::Tier, version::EngineSpec};
use radishpin_protocol::{UnixMs, prelude::*};

/// Longest time after sending in which an order without a response may still take effect.
const UNANSWERED_ORDER_LIFETIME: Duration = Duration::from_secs(13);
/// Delay before the next order after a refusal, to let the cause of the refusal clear.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// An order without a response, which may still take effect, also after a restart of the engine.
#[derive(Clone, Debug)]
pub(super) struct UnansweredOrder {
    resources: ResourceUse,
    /// Endpoint that it was addressed to; an engine with another id refuses it.
    endpoint: Option<EndpointId>,
    /// Number of orders that the engine must have accepted before this one.
    sequence: u64,
    engine_started_unix_ms: UnixMs,
    pub(super) expires_at: Duration,
}

/// Engine resources that orders would occupy.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResourceUse {
    weights_mb: SizeMb,
    pub(super) adapters: usize,
}

impl ResourceUse {
    /// The maximum of each resource.
    fn max(self, other: Self) -> Self {
        Self {
            weights_mb: self.weights_mb.max(other.weights_mb),
            adapters: self.adapters.max(other.adapters),
        }
    }
}

impl Residency {
    /// Free memory of the engine; 0 without an engine report. Memory that unanswered orders from
    /// before a restart may still occupy counts as used.
    pub(super) fn free_mb(&self, spec: &EngineSpec) -> SizeMb {
        let Some(report) = &self.report else {
            return 0;
        };
        let mut used_mb: SizeMb = 0;
        for (model, held) in &report.models {
            let Some(model) = spec.models.get(model) else {
                continue;
            };
            let adapters = SizeMb::try_from(held.adapters.len()).unwrap_or(SizeMb::MAX);
            let adapters_mb = model.adapter_mb.saturating_mul(adapters);
            used_mb = used_mb.saturating_add(model.weights_mb.saturating_add(adapters_mb));
        }
        for (model, _) in &report.arriving_adapters {
            let adapter_mb = spec.models.get(model).map_or(0, |model| model.adapter_mb);
            used_mb = used_mb.saturating_add(adapter_mb);
        }
        used_mb = used_mb.saturating_add(self.unanswered_resource_use(report).weights_mb);
        spec.memory_mb.saturating_sub(used_mb)
    }

    /// Resources that unanswered orders from before the engine's last restart may still occupy
    /// after the next order.
    ///
    /// The engine accepts an order only at its sequence, and at most one order per sequence. An
    /// unanswered order with the same sequence as the next order therefore cannot take effect in
    /// addition to it. After the next order, one unanswered order of each directly following
    /// sequence may still take effect, up to the first sequence that has none.
    pub(super) fn unanswered_resource_use(&self, report: &EndpointReport) -> ResourceUse {
        let mut resources = ResourceUse::default();
        let mut sequence = report.sequence + 1;
        while let Some(largest) = self.unanswered_resource_use_at(sequence, report) {
            resources.weights_mb = resources.weights_mb.saturating_add(largest.weights_mb);
            resources.adapters += largest.adapters;
            sequence += 1;
        }
        resources
    }

    fn unanswered_resource_use_at(
        &self,
        sequence: u64,
        report: &EndpointReport,
    ) -> Option<ResourceUse> {
        let sent_before_restart = |order: &&UnansweredOrder| {
            order.sequence == sequence
                && order.engine_started_unix_ms != report.started_unix_ms
                && order.endpoint.as_ref() == self.endpoint()
        };
        let orders = self.unanswered.iter().filter(sent_before_restart);
        orders.map(|order| order.resources).reduce(ResourceUse::max)
    }

    /// Whether a load of this model was sent with the current sequence and got no response.
    pub(super) fn is_unanswered_load(&self, model: &str) -> bool {
        let current_sequence = self.report.as_ref().map(|report| report.sequence);
        self.last_unanswered
            .as_ref()
            .is_some_and(|(action, sequence)| {
                matches!(action, Action::Load(ordered) if ordered == model)
                    && Some(*sequence) == current_sequence
            })
    }

    /// Records the outcome of an order that [`Self::decide`] returned.
    pub fn record_outcome(&mut self, action: &Action, outcome: ActionOutcome, now: Duration) {
        match outcome {
            ActionOutcome::Accepted => self.begin_load(action, now),
            ActionOutcome::Unneeded | ActionOutcome::Misdirected => {}
            ActionOutcome::Refused => self.paused_until = now + REFUSED_PAUSE,
            ActionOutcome::Unknown => self.record_unanswered(action, now),
        }
    }

    /// Records the start of a load; other actions have no effect.
    pub(super) fn begin_load(&mut self, action: &Action, now: Duration) {
        let Action::Load(model) = action else {
            return;
        };
        let tier = self.tier(model);
        let spec = self.spec.as_ref().and_then(|spec| spec.models.get(model));
        let expected_load_time = spec.map_or(Duration::ZERO, |spec| spec.load_time(tier));
        if tier == Tier::Remote {
            self.count_store_load(now);
        }
        self.loading = Some(Loading {
            model: model.clone(),
            tier,
            started_at: now,
            expected_end: now + expected_load_time,
        });
        self.status_version += 1;
    }

    fn record_unanswered(&mut self, action: &Action, now: Duration) {
        if let Action::Load(model) = action
            && self.tier(model) == Tier::Remote
            && !self.is_unanswered_load(model)
        {
            self.count_store_load(now);
        }
        let resources = match action {
            Action::Load(model) => ResourceUse {
                weights_mb: self.model_mb(model),
                adapters: 0,
            },
            Action::LoadAdapter(..) => ResourceUse {
                weights_mb: 0,
                adapters: 1,
            },
            Action::Unload(_) | Action::UnloadAdapter(..) => ResourceUse::default(),
        };
        let Some(report) = &self.report else {
            return;
        };
        self.last_unanswered = Some((action.clone(), report.sequence));
        self.unanswered.push(UnansweredOrder {
            resources,
            endpoint: self.endpoint().cloned(),
            sequence: report.sequence,
            engine_started_unix_ms: report.started_unix_ms,
            expires_at: now + UNANSWERED_ORDER_LIFETIME,
        });
    }
}
