//! A gateway's view of one endpoint: load, failures and loaded models.

use super::{EndpointSnapshot, StatusNews, availability::Availability, stated_limit::StatedLimit};
use crate::process::{EndpointEntry, EndpointPhase, Status, StatusLoad};
use radishpin_protocol::{UnixMs, prelude::*};

/// Backoff after the first failure to connect to an endpoint; doubles with each further one.
const UNREACHABLE_BACKOFF_MIN: Duration = Duration::from_millis(300);
/// Longest backoff after failures to connect.
const UNREACHABLE_BACKOFF_MAX: Duration = Duration::from_secs(3);
/// Weight of the newest outcome in the failure rate, an exponential moving average.
const FAILURE_WEIGHT: f32 = 0.25;

/// Approximate prefill speed of an engine; serves only to compare endpoints.
const PREFILL_TOKENS_PER_MS: u32 = 40;

/// How a request sent to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer arrived.
    Served {
        /// Time from sending the request to the end of the answer.
        took: Duration,
    },
    /// The endpoint did not run the request because it is full or shutting down, or no
    /// connection to it was available.
    Refused,
    /// The endpoint did not run the request because it has not loaded the model, or because
    /// another endpoint now has its address.
    Misdirected,
    /// The connection broke before the whole answer arrived.
    Broken,
    /// The request failed otherwise, or the answer was invalid.
    Failed,
    /// No connection could be made, or it ended before the request was sent.
    Unreachable,
    /// The request was dropped before it had another outcome, usually because its caller left.
    Canceled,
}

/// How a gateway lost contact with a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkLoss {
    /// The connection was closed or refused, or the answer was invalid: the host is up, the
    /// sidecar process may not be.
    Disconnected,
    /// No answer arrived in time: the host, and its engine with it, may be frozen or unreachable.
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
    /// Whether the sidecar reports an engine under another id, which the platform does not list
    /// yet.
    pub(super) replaced: bool,
    /// Whether the last exchange with its sidecar timed out: its host may be frozen.
    pub(super) unresponsive: bool,
    status_at: Duration,
    /// Requests of this gateway in progress there.
    outstanding: u32,
    /// Running and queued requests that the endpoint reported last.
    reported_in_use: u32,
    /// Requests that this gateway began less those that ended since that report.
    in_use_change: i64,
    pub(super) active: BTreeMap<ModelId, ActiveRequests>,
    failure_rate: f32,
    connect_failures: u32,
    backoff_until: Duration,
    /// Estimated end of the prefill of all prompts that this gateway has sent.
    prefill_until: Duration,
    /// Limit that it states for all gateways together.
    pub(super) limit: StatedLimit,
    pub(super) availability: Availability,
    /// Start of a process that may have taken its place, as the first entry of that process tells.
    pub(super) unconfirmed_start_unix_ms: Option<UnixMs>,
    /// Models whose requests it refused as misdirected since its last status.
    misdirected_models: BTreeSet<ModelId>,
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
            reported_in_use: 0,
            in_use_change: 0,
            active: BTreeMap::new(),
            failure_rate: 0.0,
            connect_failures: 0,
            backoff_until: Duration::ZERO,
            prefill_until: Duration::ZERO,
            limit: StatedLimit::default(),
            availability: Availability::default(),
            unconfirmed_start_unix_ms: None,
            misdirected_models: BTreeSet::new(),
        }
    }

    /// Replaces its entry. A process that was listed as draining drains for good: an older copy of the store
    /// may bring back an entry from before.
    pub(super) fn update_entry(&mut self, entry: &EndpointEntry) {
        self.entry = entry.clone();
        // Processes whose start is unknown cannot be told apart.
        if entry.phase == EndpointPhase::Draining && entry.started_unix_ms > 0 {
            self.availability.record_draining(entry.started_unix_ms);
        }
    }

    /// Records that its process which started at this time says that it drains; returns whether that is
    /// news.
    pub(super) fn record_draining(&mut self, started_unix_ms: UnixMs) -> bool {
        let is_current = started_unix_ms == self.started_unix_ms();
        let is_news = self.availability.record_draining(started_unix_ms);
        if is_current {
            // Only the status tells that the listed process was followed by this one, and it may be lost.
            self.availability
                .record_draining(self.entry.started_unix_ms);
        }
        is_news
    }

    /// Discards the status of a lost sidecar; returns whether there was one.
    pub(super) fn link_lost(&mut self, loss: LinkLoss) -> bool {
        self.unresponsive = loss == LinkLoss::TimedOut;
        self.status.take().is_some()
    }

    /// Applies a sidecar's status unless it is older than the last one.
    pub(super) fn update_status(&mut self, status: Status, now: Duration) -> StatusNews {
        self.unresponsive = false;
        let newer = self.status.as_ref().is_none_or(|last| {
            last.incarnation != status.incarnation || last.version <= status.version
        });
        if !newer {
            return StatusNews::None;
        }
        let changed = self.status.as_ref().is_none_or(|last| {
            last.incarnation != status.incarnation || last.version != status.version
        });
        if changed {
            self.misdirected_models.clear();
        }
        let news = match changed {
            true => status_news(self.status.as_ref(), &status),
            false => StatusNews::None,
        };
        let came_up = status.engine_up && !self.status.as_ref().is_some_and(|last| last.engine_up);
        if came_up {
            self.backoff_until = Duration::ZERO;
            self.connect_failures = 0;
        }
        self.record_load(status.running.saturating_add(status.waiting));
        self.status = Some(status);
        self.status_at = now;
        news
    }

    /// Applies a load that belongs to the last status.
    pub(super) fn update_status_load(&mut self, load: StatusLoad, now: Duration) {
        self.unresponsive = false;
        let status = self.status.as_mut();
        let Some(status) = status.filter(|status| load.belongs_to(status)) else {
            return;
        };
        load.apply(status);
        self.status_at = now;
        self.record_load(load.running.saturating_add(load.waiting));
    }

    /// Records the running and queued requests that the endpoint reports.
    pub(super) fn record_load(&mut self, in_use: u32) {
        self.reported_in_use = in_use;
        self.in_use_change = 0;
    }

    /// State of the endpoint, for the logs.
    pub(super) fn snapshot(&self, now: Duration) -> EndpointSnapshot {
        let status = self.status.as_ref();
        EndpointSnapshot {
            load: self.load(),
            is_full: !self.has_free_slot(),
            status_version: status.map_or(0, |status| status.version),
            status_age: status.map_or(Duration::ZERO, |_| now.saturating_sub(self.status_at)),
            software_version: self.software_version().cloned(),
            started_unix_ms: self.started_unix_ms(),
            other_starts_unix_ms: self.other_starts_unix_ms(),
            limit: self.limit.rate(),
        }
    }

    /// Latest known start of its process.
    fn started_unix_ms(&self) -> UnixMs {
        let listed = self.entry.started_unix_ms;
        let status = self.status.as_ref();
        status.map_or(listed, |status| status.engine_started_unix_ms.max(listed))
    }

    /// Starts of the processes other than that of [`Self::started_unix_ms`] that may answer under its id.
    fn other_starts_unix_ms(&self) -> BTreeSet<UnixMs> {
        let status = self.status.as_ref();
        let starts = [
            Some(self.entry.started_unix_ms),
            status.map(|status| status.engine_started_unix_ms),
            self.unconfirmed_start_unix_ms,
        ];
        let latest = self.started_unix_ms();
        let others = starts.into_iter().flatten();
        // Zero means that the start is unknown.
        others
            .filter(|start| *start != latest && *start > 0)
            .collect()
    }

    /// Estimated number of requests that it runs or queues, at least those of this gateway.
    pub(super) fn load(&self) -> u32 {
        let in_use = i64::from(self.reported_in_use) + self.in_use_change;
        let in_use = u32::try_from(in_use.max(0)).unwrap_or(u32::MAX);
        in_use.max(self.outstanding)
    }

    /// Whether it runs and queues fewer requests than it has slots.
    pub(super) fn has_free_slot(&self) -> bool {
        self.load() < self.entry.slots.max(1)
    }

    pub(super) fn begin_request(&mut self, target: Option<(&str, Option<&str>)>) {
        self.outstanding += 1;
        self.in_use_change += 1;
        let Some((model, adapter)) = target else {
            return;
        };
        let active = self.active.entry(model.to_owned()).or_default();
        active.requests += 1;
        if let Some(adapter) = adapter {
            *active.adapters.entry(adapter.to_owned()).or_default() += 1;
        }
    }

    /// Adds a prompt to the estimated prefill time.
    pub(super) fn begin_prefill(&mut self, prompt_tokens: u32, now: Duration) {
        let time = Duration::from_millis((prompt_tokens / PREFILL_TOKENS_PER_MS).into());
        self.prefill_until = self.prefill_until.max(now) + time;
    }

    /// Estimated time until it has prefilled the prompts that this gateway sent.
    pub(super) fn prefill_time(&self, now: Duration) -> Duration {
        self.prefill_until.saturating_sub(now)
    }

    pub(super) fn end_request(
        &mut self,
        target: Option<(&str, Option<&str>)>,
        outcome: RequestOutcome,
        now: Duration,
    ) {
        // Zero if the endpoint restarted meanwhile: a restart resets the counter.
        self.outstanding = self.outstanding.saturating_sub(1);
        self.in_use_change -= 1;
        if let Some((model, adapter)) = target {
            self.end_active(model, adapter);
        }
        match outcome {
            RequestOutcome::Served { .. } => {
                self.connect_failures = 0;
                self.update_failure_rate(0.0);
            }
            RequestOutcome::Broken | RequestOutcome::Failed => self.update_failure_rate(1.0),
            RequestOutcome::Unreachable => self.back_off(now),
            RequestOutcome::Misdirected => {
                if let Some((model, _)) = target {
                    self.misdirected_models.insert(model.to_owned());
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

    fn back_off(&mut self, now: Duration) {
        /// Caps the shift against overflow.
        const DOUBLINGS_MAX: u32 = 4;
        let backoff = UNREACHABLE_BACKOFF_MIN * (1 << self.connect_failures.min(DOUBLINGS_MAX));
        self.connect_failures += 1;
        self.backoff_until = now + backoff.min(UNREACHABLE_BACKOFF_MAX);
    }

    /// Moving average of failed requests, from 0 to 1.
    pub(super) fn failure_rate(&self) -> f32 {
        self.failure_rate
    }

    /// Whether it is listed as ready and has not said that it drains.
    pub(super) fn is_ready(&self) -> bool {
        let draining = self.availability.is_draining(self.started_unix_ms());
        self.entry.phase == EndpointPhase::Ready && !draining
    }

    /// Time until the backoff ends that it asked for; zero if none is in force.
    pub(super) fn requested_backoff_left(&self, now: Duration) -> Duration {
        let started_unix_ms = self.started_unix_ms();
        self.availability.backoff_left(started_unix_ms, now)
    }

    /// Whether it is ready, its engine is not reported down, and no backoff after
    /// failures to connect is in force.
    pub(super) fn accepts_requests(&self, now: Duration) -> bool {
        self.is_ready()
            && now >= self.backoff_until
            && self.status.as_ref().is_none_or(|status| status.engine_up)
    }

    /// Whether it is ready and its sidecar reports that the engine is up.
    pub(super) fn accepts_loads(&self) -> bool {
        self.is_ready() && self.status.as_ref().is_some_and(|status| status.engine_up)
    }

    /// Whether it is loading or unloading a model, during which it accepts no adapter orders.
    pub(super) fn is_busy(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.busy)
    }

    /// Models that it has loaded, from the sidecar's status if current, or else from the
    /// platform's list.
    pub(super) fn held_models(&self) -> impl Iterator<Item = &ModelId> {
        let status = self.status.as_ref().filter(|_| self.status_is_current());
        let status_models = status.map(|status| status.models.keys());
        let listed_models = status.is_none().then(|| self.entry.models.keys());
        status_models
            .into_iter()
            .flatten()
            .chain(listed_models.into_iter().flatten())
    }

    /// Whether requests for a model can be sent to it; false for a model about to be unloaded.
    pub(super) fn serves(&self, model: &str) -> bool {
        if self.replaced || self.misdirected_models.contains(model) {
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

    /// Version of its software; `None` if it is not listed, or if the sidecar reports a later start
    /// than the listed one, with which the version may have changed.
    pub(super) fn software_version(&self) -> Option<&SoftwareVersion> {
        let listed_start = self.entry.started_unix_ms;
        let restarted = self
            .status
            .as_ref()
            .is_some_and(|status| status.engine_started_unix_ms > listed_start);
        self.entry
            .software_version
            .as_ref()
            .filter(|_| !restarted && !self.replaced)
    }

    /// Whether it runs the software version that a request needs; `None` if any will do.
    pub(super) fn may_serve_version(&self, needed: Option<&str>) -> bool {
        needed.is_none_or(|needed| self.software_version().is_some_and(|own| own == needed))
    }

    /// Whether the sidecar's status was made since the engine's last listed start.
    fn status_is_current(&self) -> bool {
        self.status
            .as_ref()
            .is_some_and(|status| status.engine_started_unix_ms >= self.entry.started_unix_ms)
    }
}

/// What a changed status means for callers that wait.
fn status_news(before: Option<&Status>, after: &Status) -> StatusNews {
    let Some(before) = before.filter(|before| before.engine_up == after.engine_up) else {
        return StatusNews::Engine;
    };
    // Adapters wait until the engine has loaded or unloaded a model.
    let is_free_again = before.busy && !after.busy;
    let changed = after.models.iter().filter(|(model, held)| {
        let known = before.models.get(*model);
        let is_same =
            known.is_some_and(|k| k.adapters == held.adapters && k.leaving == held.leaving);
        is_free_again || !is_same
    });
    let lost = before.models.keys();
    let lost = lost.filter(|model| !after.models.contains_key(*model));
    let models = changed.map(|(model, _)| model).chain(lost);
    StatusNews::Models(models.cloned().collect())
}
