//! Keeps requests with prompt parts that crash engines from reaching more of them.

use super::{Gateway, news::NEWS_KEY};
use crate::request::Call;
use parking_lot::Mutex;
use radishpin_core::{
    process::{
        EndpointChange, Exposure, ExposureEnd, PartCrashes, PromptCrashes, PromptExposures,
        PromptVerdict, Refusal, RequestOutcome, SharedReply, SharedRequest, Status,
    },
    request::{PromptPartId, SharedParts},
};
use radishpin_protocol::{UnixMs, prelude::*};

/// What this gateway knows of prompt parts that crash engines.
#[derive(Debug, Default)]
pub(crate) struct PromptGuard {
    exposures: Mutex<PromptExposures>,
    crashes: Mutex<PromptCrashes>,
}

/// Whether a request may be sent although parts of its prompt are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PromptTrial {
    /// It may not.
    No,
    /// It may, to find out whether engines still crash under them.
    Granted,
}

impl Gateway {
    /// Records that a request is sent to an engine that started at this time.
    pub(crate) fn begin_exposure(
        &self,
        endpoint: &str,
        started_unix_ms: UnixMs,
        parts: &SharedParts,
    ) -> Option<Exposure> {
        let mut exposures = self.prompts.exposures.lock();
        exposures.begin(endpoint, started_unix_ms, parts)
    }

    /// Records how a request at an engine ended.
    pub(crate) fn end_exposure(&self, exposure: Exposure, outcome: RequestOutcome) {
        let end = match outcome {
            RequestOutcome::Served { .. } => ExposureEnd::Served,
            RequestOutcome::Broken => ExposureEnd::Broken,
            RequestOutcome::Refused | RequestOutcome::Misdirected | RequestOutcome::Unreachable => {
                ExposureEnd::NotRun
            }
            RequestOutcome::Failed | RequestOutcome::Canceled => ExposureEnd::Other,
        };
        let now = self.clock.now();
        self.prompts.exposures.lock().end(exposure, end, now);
        if end == ExposureEnd::Broken {
            self.settle_exposures();
        }
    }

    /// Records that an engine accepts no connections, or is no longer listed.
    pub(crate) fn engine_unreachable(&self, endpoint: &str) {
        let now = self.clock.now();
        self.prompts.exposures.lock().engine_down(endpoint, now);
        self.settle_exposures();
    }

    /// Records what a sidecar's status tells about the life of its engine.
    pub(super) fn observe_engine(&self, endpoint: &str, status: &Status) {
        let now = self.clock.now();
        let replaced = status.engine_id.as_ref().is_some_and(|id| id != endpoint);
        let mut exposures = self.prompts.exposures.lock();
        if exposures.is_settled() {
            return;
        }
        match status.engine_up {
            false => exposures.engine_down(endpoint, now),
            true if replaced => exposures.engine_started(endpoint, UnixMs::MAX, now),
            true => exposures.engine_started(endpoint, status.engine_started_unix_ms, now),
        }
        drop(exposures);
        self.settle_exposures();
    }

    /// Records what the platform's list tells about the lives of engines.
    pub(super) fn observe_changes(&self, changes: &[EndpointChange]) {
        for change in changes {
            match change {
                EndpointChange::Gone(id) | EndpointChange::Restarted(id) => {
                    self.engine_unreachable(id);
                }
                EndpointChange::Joined(_) | EndpointChange::Draining(_) => {}
            }
        }
    }

    /// Draws the conclusions from requests that have ended, and tells the holders.
    pub(super) fn settle_exposures(&self) {
        let now = self.clock.now();
        let news = self.prompts.exposures.lock().settle(now);
        let mut messages = news.crashes;
        if !messages.is_empty() {
            self.merge_crashes(messages.clone());
        }
        messages.extend(self.clear_sound(&news.sound));
        self.send_crashes(messages);
    }

    /// Clears parts that are sound; returns what to tell the holders.
    fn clear_sound(&self, sound: &BTreeSet<PromptPartId>) -> Vec<PartCrashes> {
        if sound.is_empty() || self.prompts.crashes.lock().is_empty() {
            return Vec::new();
        }
        let now = self.clock.now();
        self.change_crashes(|crashes| {
            let cleared = sound.iter().filter_map(|part| {
                // A single crash is known to nobody but its holders, and refuses nothing.
                let is_shared = crashes.count(*part) > 1;
                crashes.clear(*part, now).filter(|_| is_shared)
            });
            cleared.collect()
        })
    }

    fn merge_crashes(&self, parts: Vec<PartCrashes>) {
        let now = self.clock.now();
        self.change_crashes(|crashes| crashes.merge(parts, now));
    }

    /// Changes the crashes, and logs which parts are refused and allowed by it.
    fn change_crashes<T>(&self, change: impl FnOnce(&mut PromptCrashes) -> T) -> T {
        let mut crashes = self.prompts.crashes.lock();
        let before = crashes.refused().clone();
        let result = change(&mut crashes);
        let after = crashes.refused();
        for part in after.difference(&before) {
            log::warn!(event = "prompt_part_refused", part:% = format_args!("{part:x}"), crashes = crashes.count(*part); "engines crashed under a prompt part; its requests are refused");
        }
        for part in before.difference(after) {
            log::info!(event = "prompt_part_allowed", part:% = format_args!("{part:x}"), crashes = crashes.count(*part); "a refused prompt part is no longer suspected");
        }
        let refused = i64::try_from(after.len()).unwrap_or(i64::MAX);
        self.metrics.refused_prompt_parts.set(refused);
        result
    }

    fn send_crashes(&self, messages: Vec<PartCrashes>) {
        if !messages.is_empty() {
            self.tell_holders(&SharedRequest::MergeCrashes(messages));
        }
    }

    /// What to tell a holder of news that may know no crashes; `None` if none is known here.
    pub(super) fn known_crashes(&self) -> Option<SharedRequest> {
        let now = self.clock.now();
        let messages = self.prompts.crashes.lock().messages_since(0, now);
        (!messages.is_empty()).then_some(SharedRequest::MergeCrashes(messages))
    }

    /// Why a request may not be sent to an engine now; `None` if it may.
    pub(crate) fn refused_prompt(&self, parts: &SharedParts, random: u64) -> Option<Refusal> {
        let now = self.clock.now();
        match self.prompts.crashes.lock().verdict(parts, now) {
            PromptVerdict::Allowed => None,
            PromptVerdict::Refused { trial_in, .. } => {
                Some(Refusal::crashing_prompt(trial_in, random))
            }
        }
    }

    /// Decides whether a request may be sent to an engine as far as its prompt is concerned. Of all
    /// gateways one gets the permit for a trial.
    ///
    /// # Errors
    /// Engines crashed under a part of the prompt, and no trial is due.
    pub(crate) async fn admit_prompt(&self, call: &Call) -> Result<PromptTrial, Refusal> {
        let now = self.clock.now();
        let parts = &call.shared_parts;
        let (part, trial_in, due) = {
            let mut crashes = self.prompts.crashes.lock();
            match crashes.verdict(parts, now) {
                PromptVerdict::Allowed => return Ok(PromptTrial::No),
                PromptVerdict::Refused { part, trial_in } => {
                    (part, trial_in, crashes.grant_trial(parts, now))
                }
            }
        };
        let granted = due && self.ask_for_trial(parts).await;
        log::info!(
            event = "prompt_refused", request = call.id, part:% = format_args!("{part:x}"),
            trial_in_ms = trial_in.as_millis() as u64, tried = granted;
            "engines crashed under a part of the prompt"
        );
        match granted {
            true => Ok(PromptTrial::Granted),
            false => Err(Refusal::crashing_prompt(trial_in, call.random)),
        }
    }

    async fn ask_for_trial(&self, parts: &SharedParts) -> bool {
        let request = |_| SharedRequest::TryPrompt(parts.clone());
        let answer = self.ask_holders(NEWS_KEY, request).await;
        answer == Some(SharedReply::Permit(true))
    }

    /// Merges what a holder knows, and clears parts that are sound here.
    pub(super) fn learn_crashes(&self, parts: Vec<PartCrashes>) {
        self.merge_crashes(parts);
        let now = self.clock.now();
        let exposures = self.prompts.exposures.lock();
        let suspects = self.prompts.crashes.lock();
        let sound = suspects
            .suspects()
            .filter(|part| exposures.is_sound(*part, now));
        let sound: BTreeSet<PromptPartId> = sound.collect();
        drop((exposures, suspects));
        let cleared = self.clear_sound(&sound);
        self.send_crashes(cleared);
    }
}
