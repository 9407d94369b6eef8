//! The account of memory and of orders.

use super::{Action, ActionOutcome, EndpointReport, Loading, Residency};
use crate::{request::Tier, version::EngineSpec};
use radishpin_protocol::{UnixMs, prelude::*};

/// How long an order without an answer may still take effect.
const LATE_ORDER_LIFE: Duration = Duration::from_secs(13);
/// Pause after an order was refused, so that the cause can pass.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// An order without an answer, for an engine that may have restarted since.
#[derive(Clone, Debug)]
pub(super) struct LateOrder {
    taken: Taken,
    /// Endpoint that it was meant for; an engine with another id refuses it.
    endpoint: Option<EndpointId>,
    /// Count of orders that the engine must have accepted before.
    sequence: u64,
    engine_started_unix_ms: UnixMs,
    pub(super) until: Duration,
}

/// What orders take of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Taken {
    weights_mb: SizeMb,
    pub(super) adapters: usize,
}

impl Taken {
    fn max(self, other: Self) -> Self {
        Self {
            weights_mb: self.weights_mb.max(other.weights_mb),
            adapters: self.adapters.max(other.adapters),
        }
    }
}

impl Residency {
    /// Memory that is free, with what an unanswered order may still take at a restarted engine.
    pub(super) fn free_mb(&self, spec: &EngineSpec) -> SizeMb {
        let Some(report) = &self.report else {
            return 0;
        };
        let mut used: SizeMb = 0;
        for (model, held) in &report.models {
            let Some(model) = spec.models.get(model) else {
                continue;
            };
            let adapters = SizeMb::try_from(held.adapters.len()).unwrap_or(SizeMb::MAX);
            let adapters_mb = model.adapter_mb.saturating_mul(adapters);
            used = used.saturating_add(model.weights_mb.saturating_add(adapters_mb));
        }
        for (model, _) in &report.arriving_adapters {
            let adapter_mb = spec.models.get(model).map_or(0, |model| model.adapter_mb);
            used = used.saturating_add(adapter_mb);
        }
        used = used.saturating_add(self.late_orders(report).weights_mb);
        spec.memory_mb.saturating_sub(used)
    }

    /// What late orders of an engine's earlier lives may take after the next order.
    ///
    /// A late order takes effect at its count only. It loses against any order with that count, so
    /// that the next one has nothing to fear from those of its own count; those of the counts that
    /// follow without a gap may come after it, one of each count.
    pub(super) fn late_orders(&self, report: &EndpointReport) -> Taken {
        let mut taken = Taken::default();
        let mut sequence = report.sequence + 1;
        while let Some(most) = self.late_order_at(sequence, report) {
            taken.weights_mb = taken.weights_mb.saturating_add(most.weights_mb);
            taken.adapters += most.adapters;
            sequence += 1;
        }
        taken
    }

    fn late_order_at(&self, sequence: u64, report: &EndpointReport) -> Option<Taken> {
        let earlier_life = |order: &&LateOrder| {
            order.sequence == sequence
                && order.engine_started_unix_ms != report.started_unix_ms
                && order.endpoint.as_ref() == self.endpoint()
        };
        let orders = self.late.iter().filter(earlier_life);
        orders.map(|order| order.taken).reduce(Taken::max)
    }

    /// Whether this load was ordered under the present count and not answered.
    pub(super) fn is_unanswered(&self, model: &str) -> bool {
        let present = self.report.as_ref().map(|report| report.sequence);
        self.unknown.as_ref().is_some_and(|(action, sequence)| {
            matches!(action, Action::Load(ordered) if ordered == model)
                && Some(*sequence) == present
        })
    }

    /// Records what came of an order that [`Self::decide`] returned.
    pub fn record_outcome(&mut self, action: &Action, settled: ActionOutcome, now: Duration) {
        match settled {
            ActionOutcome::Accepted => self.begin(action, now),
            ActionOutcome::Unneeded | ActionOutcome::Misdirected => {}
            ActionOutcome::Refused => self.paused_until = now + REFUSED_PAUSE,
            ActionOutcome::Unknown => self.remember_late(action, now),
        }
    }

    pub(super) fn begin(&mut self, action: &Action, now: Duration) {
        let Action::Load(model) = action else {
            return;
        };
        let tier = self.tier(model);
        let spec = self.spec.as_ref().and_then(|spec| spec.models.get(model));
        let expected = spec.map_or(Duration::ZERO, |spec| spec.load_time(tier));
        if tier == Tier::Remote {
            self.count_store_load(now);
        }
        self.loading = Some(Loading {
            model: model.clone(),
            tier,
            began: now,
            expected_end: now + expected,
        });
        self.status_version += 1;
    }

    fn remember_late(&mut self, action: &Action, now: Duration) {
        if let Action::Load(model) = action
            && self.tier(model) == Tier::Remote
            && !self.is_unanswered(model)
        {
            self.count_store_load(now);
        }
        let taken = match action {
            Action::Load(model) => Taken {
                weights_mb: self.model_mb(model),
                adapters: 0,
            },
            Action::LoadAdapter(..) => Taken {
                weights_mb: 0,
                adapters: 1,
            },
            Action::Unload(_) | Action::UnloadAdapter(..) => Taken::default(),
        };
        let Some(report) = &self.report else {
            return;
        };
        self.unknown = Some((action.clone(), report.sequence));
        self.late.push(LateOrder {
            taken,
            endpoint: self.endpoint().cloned(),
            sequence: report.sequence,
            engine_started_unix_ms: report.started_unix_ms,
            until: now + LATE_ORDER_LIFE,
        });
    }
}
