//! The status that a sidecar reports to gateways.

use super::{LoadStatus, ModelStatus, Residency, Status};
use radishpin_protocol::prelude::*;

impl Residency {
    /// The current status of the sidecar and its engine, for gateways.
    pub fn status(&self, now: Duration) -> Status {
        let Some(report) = &self.report else {
            return Status {
                incarnation: self.incarnation,
                version: self.status_version,
                ..Status::default()
            };
        };
        let models = report.models.iter().map(|(model, held)| {
            let status = ModelStatus {
                adapters: held.adapters.clone(),
                leaving: self.is_evicting(model),
                per_s: self.requests_per_s(model),
            };
            (model.clone(), status)
        });
        let loading = self.loading.as_ref().map(|loading| LoadStatus {
            model: loading.model.clone(),
            tier: loading.tier,
            remaining_ms: millis(loading.remaining(now)),
        });
        let queue = self.queued(now);
        Status {
            incarnation: self.incarnation,
            version: self.status_version,
            engine_up: true,
            engine_id: self.engine_id.clone(),
            engine_started_unix_ms: report.started_unix_ms,
            running: report.running,
            waiting: report.waiting,
            models: models.collect(),
            queue_ms: millis(self.queue_time(&queue, now)),
            room_ms: millis(self.room_time(now)),
            queue,
            loading,
            busy: report.busy,
            in_memory: report.in_memory.clone(),
            on_disk: report.on_disk.clone(),
            gateways: u32::try_from(self.gateways.len()).unwrap_or(u32::MAX),
        }
    }

    /// Whether an order or a demand is pending, so that the engine should be polled frequently.
    pub fn is_active(&self) -> bool {
        let busy = self.report.as_ref().is_some_and(|report| report.busy);
        busy || self.eviction.is_some() || !self.demanded_since.is_empty()
    }

    /// Version of [`Self::status`]; increases with each change that gateways must receive
    /// immediately.
    pub fn status_version(&self) -> u64 {
        self.status_version
    }

    pub(super) fn is_evicting(&self, model: &str) -> bool {
        let eviction = self.eviction.as_ref();
        eviction.is_some_and(|eviction| eviction.model == model)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
