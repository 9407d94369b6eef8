//! The account of memory and of orders.

use super::{Action, EndpointReport, Loading, Residency, Settled};
use crate::{request::Tier, version::EngineSpec};
use radishpin_protocol::{UnixMs, prelude::*};

/// How long an order without an answer may still take effect.
const LATE_ORDER_LIFE: Duration = Duration::from_secs(13);
/// Pause after an order was refused, so that the cause can pass.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// An order without an answer, for an engine that may have restarted since.
#[derive(Clone, Debug)]
pub(super) struct LateOrder {
    weights_mb: SizeMb,
    pub(super) adapters: usize,
    engine_started_unix_ms: UnixMs,
    pub(super) until: Duration,
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
        let late = self.late_orders(report);
        used = late.fold(used, |used, order| used.saturating_add(order.weights_mb));
        spec.memory_mb.saturating_sub(used)
    }

    pub(super) fn late_orders<'a>(
        &'a self,
        report: &'a EndpointReport,
    ) -> impl Iterator<Item = &'a LateOrder> {
        // At the engine that got it, a late order loses against any order with its count.
        self.late
            .iter()
            .filter(|order| order.engine_started_unix_ms != report.started_unix_ms)
    }

    /// Records what came of an order that [`Self::decide`] returned.
    pub fn settle(&mut self, action: &Action, settled: Settled, now: Duration) {
        match settled {
            Settled::Accepted => self.begin(action, now),
            Settled::Unneeded | Settled::Misdirected => {}
            Settled::Refused => self.paused_until = now + REFUSED_PAUSE,
            Settled::Unknown => self.remember_late(action, now),
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
        let (weights_mb, adapters) = match action {
            Action::Load(model) => (self.model_mb(model), 0),
            Action::LoadAdapter(..) => (0, 1),
            Action::Unload(_) | Action::UnloadAdapter(..) => return,
        };
        if let Action::Load(model) = action
            && self.tier(model) == Tier::Remote
        {
            self.count_store_load(now);
        }
        let Some(report) = &self.report else {
            return;
        };
        self.unknown = Some((action.clone(), report.sequence));
        self.late.push(LateOrder {
            weights_mb,
            adapters,
            engine_started_unix_ms: report.started_unix_ms,
            until: now + LATE_ORDER_LIFE,
        });
    }
}
