//! What a gateway knows of one endpoint.

use super::EndpointSnapshot;
use crate::process::{EndpointEntry, EndpointPhase, Status};
use radishpin_protocol::prelude::*;

/// Shortest time for which an unreachable endpoint is passed over.
const SUSPECT_MIN: Duration = Duration::from_millis(300);
/// Longest time for which an unreachable endpoint is passed over.
const SUSPECT_MAX: Duration = Duration::from_secs(3);
/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f32 = 0.25;

/// Prompt tokens that an engine reads in a millisecond, roughly: it serves to compare endpoints.
const PREFILL_TOKENS_PER_MS: u32 = 40;

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It brought a whole answer.
    Served {
        /// Time from the send to the end of the answer.
        took: Duration,
    },
    /// The endpoint did not run it: it is full or closing.
    Refused,
    /// The endpoint did not run it: it lacks the model, or another endpoint has the address.
    Misdirected,
    /// It failed, or broke off.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// The caller left.
    Canceled,
}

/// How a gateway lost a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkLoss {
    /// The connection ended or was refused: the host lives, the process may not.
    Disconnected,
    /// No answer came: the host may stand still or be cut off, with its engine.
    TimedOut,
}

/// Requests of this gateway for one model at one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveRequests {
    pub(super) requests: u32,
    adapters: BTreeMap<AdapterId, u32>,
}

impl ActiveRequests {
    pub(super) fn adapters(&self) -> BTreeSet<AdapterId> {
        self.adapters.keys().cloned().collect()
    }
}

#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) entry: EndpointEntry,
    pub(super) status: Option<Status>,
    /// Whether another engine is in its place, which the platform does not list yet.
    pub(super) replaced: bool,
    /// Whether its sidecar stopped answering without a word: its host may stand still.
    pub(super) unresponsive: bool,
    status_at: Duration,
    /// Requests of this gateway.
    outstanding: u32,
    /// Requests in use as the endpoint told last.
    told_in_use: u32,
    /// Requests begun less requests ended since then.
    since_told: i64,
    pub(super) active: BTreeMap<ModelId, ActiveRequests>,
    failure_rate: f32,
    unreachable: u32,
    suspected_until: Duration,
    /// When the prompts of this gateway's requests will have been read.
    prefill_until: Duration,
    /// Models that it refused as missing since its last status.
    missing: BTreeSet<ModelId>,
}

impl Endpoint {
    pub(super) fn new(entry: EndpointEntry) -> Self {
        Self {
            entry,
            status: None,
            replaced: false,
            unresponsive: false,
            status_at: Duration::ZERO,
            outstanding: 0,
            told_in_use: 0,
            since_told: 0,
            active: BTreeMap::new(),
            failure_rate: 0.0,
            unreachable: 0,
            suspected_until: Duration::ZERO,
            prefill_until: Duration::ZERO,
            missing: BTreeSet::new(),
        }
    }

    /// Records that its sidecar was lost; returns whether that is news.
    pub(super) fn link_lost(&mut self, loss: LinkLoss) -> bool {
        self.unresponsive = loss == LinkLoss::TimedOut;
        self.status.take().is_some()
    }

    pub(super) fn update_status(&mut self, status: Status, now: Duration) -> bool {
        self.unresponsive = false;
        let newer = self.status.as_ref().is_none_or(|known| {
            known.incarnation != status.incarnation || known.version <= status.version
        });
        if !newer {
            return false;
        }
        let changed = self.status.as_ref().is_none_or(|known| {
            known.incarnation != status.incarnation || known.version != status.version
        });
        if changed {
            self.missing.clear();
        }
        let came_up =
            status.engine_up && !self.status.as_ref().is_some_and(|known| known.engine_up);
        if came_up {
            self.suspected_until = Duration::ZERO;
            self.unreachable = 0;
        }
        self.record_load(status.running.saturating_add(status.waiting));
        self.status = Some(status);
        self.status_at = now;
        changed
    }

    pub(super) fn record_load(&mut self, in_use: u32) {
        self.told_in_use = in_use;
        self.since_told = 0;
    }

    /// What is known of it, for the logs.
    pub(super) fn snapshot(&self, now: Duration) -> EndpointSnapshot {
        let status = self.status.as_ref();
        EndpointSnapshot {
            load: self.load(),
            status_version: status.map_or(0, |status| status.version),
            status_age: status.map_or(Duration::ZERO, |_| now.saturating_sub(self.status_at)),
        }
    }

    /// Requests that it runs or queues, by the newest word.
    pub(super) fn load(&self) -> u32 {
        let told = i64::from(self.told_in_use) + self.since_told;
        let told = u32::try_from(told.max(0)).unwrap_or(u32::MAX);
        told.max(self.outstanding)
    }

    pub(super) fn begin_request(&mut self, target: Option<(&str, Option<&str>)>) {
        self.outstanding += 1;
        self.since_told += 1;
        let Some((model, adapter)) = target else {
            return;
        };
        let active = self.active.entry(model.to_owned()).or_default();
        active.requests += 1;
        if let Some(adapter) = adapter {
            *active.adapters.entry(adapter.to_owned()).or_default() += 1;
        }
    }

    pub(super) fn begin_prefill(&mut self, prompt_tokens: u32, now: Duration) {
        let time = Duration::from_millis((prompt_tokens / PREFILL_TOKENS_PER_MS).into());
        self.prefill_until = self.prefill_until.max(now) + time;
    }

    /// Time until it has read the prompts that this gateway sent.
    pub(super) fn prefill_time(&self, now: Duration) -> Duration {
        self.prefill_until.saturating_sub(now)
    }

    pub(super) fn end_request(
        &mut self,
        target: Option<(&str, Option<&str>)>,
        outcome: RequestOutcome,
        now: Duration,
    ) {
        // An endpoint that restarted meanwhile has no account of the request.
        self.outstanding = self.outstanding.saturating_sub(1);
        self.since_told -= 1;
        if let Some((model, adapter)) = target {
            self.end_active(model, adapter);
        }
        match outcome {
            RequestOutcome::Served { .. } => {
                self.unreachable = 0;
                self.update_failure_rate(0.0);
            }
            RequestOutcome::Failed => self.update_failure_rate(1.0),
            RequestOutcome::Unreachable => self.suspect(now),
            RequestOutcome::Misdirected => {
                if let Some((model, _)) = target {
                    self.missing.insert(model.to_owned());
                }
            }
            RequestOutcome::Refused | RequestOutcome::Canceled => {}
        }
    }

    fn end_active(&mut self, model: &str, adapter: Option<&str>) {
        let Some(active) = self.active.get_mut(model) else {
            return;
        };
        active.requests = active.requests.saturating_sub(1);
        if let Some(adapter) = adapter
            && let Some(requests) = active.adapters.get_mut(adapter)
        {
            *requests = requests.saturating_sub(1);
            if *requests == 0 {
                active.adapters.remove(adapter);
            }
        }
        if active.requests == 0 {
            self.active.remove(model);
        }
    }

    fn update_failure_rate(&mut self, sample: f32) {
        self.failure_rate += (sample - self.failure_rate) * FAILURE_WEIGHT;
    }

    fn suspect(&mut self, now: Duration) {
        /// Doublings after which the time no longer grows.
        const DOUBLINGS_MAX: u32 = 4;
        let doubled = SUSPECT_MIN * (1 << self.unreachable.min(DOUBLINGS_MAX));
        self.unreachable += 1;
        self.suspected_until = now + doubled.min(SUSPECT_MAX);
    }

    /// Share of its recent requests that failed, 0 to 1.
    pub(super) fn failure_rate(&self) -> f32 {
        self.failure_rate
    }

    /// Whether it takes new requests, as far as is known.
    pub(super) fn accepts_requests(&self, now: Duration) -> bool {
        self.entry.phase == EndpointPhase::Ready
            && now >= self.suspected_until
            && self.status.as_ref().is_none_or(|status| status.engine_up)
    }

    /// Whether its sidecar can be asked for loads.
    pub(super) fn accepts_loads(&self) -> bool {
        self.entry.phase == EndpointPhase::Ready
            && self.status.as_ref().is_some_and(|status| status.engine_up)
    }

    /// Whether it carries out an order on a model, and so takes none on adapters.
    pub(super) fn is_busy(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.busy)
    }

    /// Models that it holds, by the newest word.
    pub(super) fn held_models(&self) -> impl Iterator<Item = &ModelId> {
        let told = self.status.as_ref().filter(|_| self.status_is_current());
        let told_models = told.map(|status| status.models.keys());
        let listed = told.is_none().then(|| self.entry.models.keys());
        told_models
            .into_iter()
            .flatten()
            .chain(listed.into_iter().flatten())
    }

    /// Whether it serves a model.
    pub(super) fn serves(&self, model: &str) -> bool {
        if self.replaced || self.missing.contains(model) {
            return false;
        }
        match &self.status {
            Some(status) if self.status_is_current() => {
                let held = status.models.get(model);
                held.is_some_and(|held| !held.leaving)
            }
            _ => self.entry.models.contains_key(model),
        }
    }

    pub(super) fn has_adapter(&self, model: &str, adapter: &str) -> bool {
        match &self.status {
            Some(status) if self.status_is_current() => {
                let held = status.models.get(model);
                held.is_some_and(|held| held.adapters.contains(adapter))
            }
            _ => {
                let held = self.entry.models.get(model);
                held.is_some_and(|held| held.adapters.contains(adapter))
            }
        }
    }

    /// Whether the sidecar's word is of the engine's present life.
    fn status_is_current(&self) -> bool {
        self.status
            .as_ref()
            .is_some_and(|status| status.engine_started_unix_ms >= self.entry.started_unix_ms)
    }
}
