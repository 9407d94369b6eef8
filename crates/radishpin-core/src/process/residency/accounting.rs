//! Accounting of the engine's memory and of the outcomes of orders.

use super::{Action, ActionOutcome, EndpointReport, Loading, Residency};
use crate::{process::HeldModel, request::Tier, version::EngineSpec};
use radishpin_protocol::{UnixMs, prelude::*};

/// Longest time after sending in which an order without a response may still take effect.
pub(super) const UNANSWERED_ORDER_LIFETIME: Duration = Duration::from_secs(13);
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
    pub(super) weights_mb: SizeMb,
    pub(super) adapters: usize,
}

impl ResourceUse {
    fn plus(self, other: Self) -> Self {
        Self {
            weights_mb: self.weights_mb.saturating_add(other.weights_mb),
            adapters: self.adapters.saturating_add(other.adapters),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            weights_mb: self.weights_mb.saturating_sub(other.weights_mb),
            adapters: self.adapters.saturating_sub(other.adapters),
        }
    }

    fn is_none(self) -> bool {
        self.weights_mb == 0 && self.adapters == 0
    }

    /// The maximum of each resource.
    fn max(self, other: Self) -> Self {
        Self {
            weights_mb: self.weights_mb.max(other.weights_mb),
            adapters: self.adapters.max(other.adapters),
        }
    }
}

/// Resources that a model occupies with its adapters; an unknown model's weights are not known.
fn held_resources(spec: &EngineSpec, model: &str, held: &HeldModel) -> ResourceUse {
    let adapters = held.adapters.len();
    let weights_mb = spec.models.get(model).map_or(0, |model| {
        let count = SizeMb::try_from(adapters).unwrap_or(SizeMb::MAX);
        let adapters_mb = model.adapter_mb.saturating_mul(count);
        model.weights_mb.saturating_add(adapters_mb)
    });
    ResourceUse {
        weights_mb,
        adapters,
    }
}

impl Residency {
    /// Whether the engine still holds everything after `next` and all orders that may take effect late: those
    /// without an answer from before a restart, and one of the sidecar before this one.
    ///
    /// An order that frees resources counts too, as it brings the engine to the sequence of a late order.
    pub(super) fn fits_after(&self, spec: &EngineSpec, next: &Action) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        let predecessor = self.predecessor_resource_use(spec, report, next);
        let late = self.unanswered_resource_use(report).plus(predecessor);
        let used = self.used_resources(spec, report);
        let adapter_mb = |model: &ModelId| spec.models.get(model).map_or(0, |m| m.adapter_mb);
        let (used, frees) = match next {
            Action::Load(model) => {
                let weights_mb = spec.models.get(model).map_or(0, |m| m.weights_mb);
                let model = ResourceUse {
                    weights_mb,
                    adapters: 0,
                };
                (used.plus(model), false)
            }
            Action::LoadAdapter(model, _) => {
                let adapter = ResourceUse {
                    weights_mb: adapter_mb(model),
                    adapters: 1,
                };
                (used.plus(adapter), false)
            }
            Action::Unload(model) => {
                let held = report.models.get(model);
                let held = held.map(|held| held_resources(spec, model, held));
                (used.minus(held.unwrap_or_default()), true)
            }
            Action::UnloadAdapter(model, _) => {
                let adapter = ResourceUse {
                    weights_mb: adapter_mb(model),
                    adapters: 1,
                };
                (used.minus(adapter), true)
            }
        };
        if frees && late.is_none() {
            return true;
        }
        let total = used.plus(late);
        let needs_slot = late.adapters > 0 || matches!(next, Action::LoadAdapter(..));
        total.weights_mb <= spec.memory_mb && (!needs_slot || total.adapters <= spec.adapter_slots)
    }

    /// Resources that the engine's models and adapters occupy, those being loaded included.
    fn used_resources(&self, spec: &EngineSpec, report: &EndpointReport) -> ResourceUse {
        let held = report.models.iter();
        let mut used = held.fold(ResourceUse::default(), |used, (model, held)| {
            used.plus(held_resources(spec, model, held))
        });
        for (model, _) in &report.arriving_adapters {
            used = used.plus(ResourceUse {
                weights_mb: spec.models.get(model).map_or(0, |model| model.adapter_mb),
                adapters: 1,
            });
        }
        used
    }

    /// Resources that unanswered orders from before the engine's last restart may still occupy
    /// after the next order.
    ///
    /// The engine accepts an order only at its sequence, and at most one order per sequence. An
    /// unanswered order with the same sequence as the next order therefore cannot take effect in
    /// addition to it. After the next order, one unanswered order of each directly following
    /// sequence may still take effect, up to the first sequence that has none.
    fn unanswered_resource_use(&self, report: &EndpointReport) -> ResourceUse {
        let mut resources = ResourceUse::default();
        let mut sequence = report.sequence + 1;
        let mut predecessor_left = self.awaits_predecessor();
        loop {
            match self.unanswered_resource_use_at(sequence, report) {
                Some(largest) => resources = resources.plus(largest),
                // The predecessor's order may have the sequence that is missing.
                None if predecessor_left => predecessor_left = false,
                None => return resources,
            }
            sequence += 1;
        }
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
        self.count_own_order(outcome);
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
            Action::LoadAdapter(model, _) => {
                let spec = self.spec.as_ref().and_then(|spec| spec.models.get(model));
                ResourceUse {
                    weights_mb: spec.map_or(0, |spec| spec.adapter_mb),
                    adapters: 1,
                }
            }
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
