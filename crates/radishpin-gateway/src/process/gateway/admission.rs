//! Decides whether requests may be sent, as far as crashes of endpoints are concerned.

use super::{Gateway, news::NEWS_KEY};
use crate::request::Call;
use radishpin_core::{
    process::{
        CrashVerdict, Refusal, SharedReply, SharedRequest, Suspect, Suspects, endpoint_variant,
    },
    request::RequestFingerprint,
};
use radishpin_protocol::prelude::*;
use std::sync::Arc;

/// A permit to send a request once although endpoints crashed under it, to find out whether they still do.
/// Dropping it unused gives it back.
#[derive(Debug)]
pub(crate) struct TrialPermit {
    gateway: Arc<Gateway>,
    suspects: Suspects,
    /// Software version of the endpoints that the request may be sent to; `None` if it is not known.
    pub(crate) software_version: Option<SoftwareVersion>,
    is_used: bool,
}

impl TrialPermit {
    /// Records whether an endpoint may have run the request. It may from the moment that it is sent.
    pub(crate) fn set_used(&mut self, is_used: bool) {
        self.is_used = is_used;
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        if !self.is_used {
            self.gateway.return_trial(&self.suspects);
        }
    }
}

/// Why a request may not be sent to any endpoint of its service.
#[derive(Debug)]
struct RefusedSuspects {
    suspects: Suspects,
    software_version: Option<SoftwareVersion>,
    suspect: Suspect,
    trial_in: Duration,
}

impl Gateway {
    /// Decides whether a request may be sent, as far as crashes are concerned; returns the software version
    /// of the endpoints that it may be sent to, `None` if it may be sent to all.
    ///
    /// # Errors
    /// Endpoints of each version that the service runs crashed under it or a part of its prompt.
    pub(crate) fn check_crashes(
        &self,
        call: &Call,
        software_version: Option<&str>,
    ) -> Result<Option<SoftwareVersion>, Refusal> {
        let refused = |refused: RefusedSuspects| refused.refusal(call);
        self.allowed_version(call, software_version)
            .map_err(refused)
    }

    fn allowed_version(
        &self,
        call: &Call,
        needed: Option<&str>,
    ) -> Result<Option<SoftwareVersion>, RefusedSuspects> {
        let needed = needed.map(str::to_owned);
        if self.crash_guard.crashes.lock().refused().is_empty() {
            return Ok(needed);
        }
        let fingerprint = self.fingerprint_if_suspected(call);
        let versions = match &needed {
            Some(version) => BTreeSet::from([Some(version.clone())]),
            None => self.fleet.lock().ready_versions(&call.service),
        };
        let mut allowed = None;
        let mut refused: Option<RefusedSuspects> = None;
        for version in versions {
            match self.judge_version(call, fingerprint, version) {
                Ok(version) => allowed = allowed.or(version),
                Err(other)
                    if refused
                        .as_ref()
                        .is_none_or(|one| other.trial_in < one.trial_in) =>
                {
                    refused = Some(other);
                }
                Err(_) => {}
            }
        }
        match (refused, allowed) {
            (None, _) => Ok(needed),
            (Some(_), Some(allowed)) => Ok(Some(allowed)),
            (Some(refused), None) => Err(refused),
        }
    }

    /// Returns a software version if a request may be sent to its endpoints.
    fn judge_version(
        &self,
        call: &Call,
        fingerprint: Option<RequestFingerprint>,
        software_version: Option<SoftwareVersion>,
    ) -> Result<Option<SoftwareVersion>, RefusedSuspects> {
        let variant = endpoint_variant(&call.service, software_version.as_deref());
        let suspects = Suspects::new(&call.shared_parts, fingerprint, variant);
        let now = self.clock.now();
        let verdict = self.crash_guard.crashes.lock().verdict(&suspects, now);
        match verdict {
            CrashVerdict::Allowed => Ok(software_version),
            CrashVerdict::Refused { suspect, trial_in } => Err(RefusedSuspects {
                suspects,
                software_version,
                suspect,
                trial_in,
            }),
        }
    }

    /// Fingerprint of a request, if a crash is held against any whole request.
    fn fingerprint_if_suspected(&self, call: &Call) -> Option<RequestFingerprint> {
        let suspects_requests = self.crash_guard.crashes.lock().suspects_requests();
        suspects_requests.then(|| call.fingerprint())
    }

    /// Decides whether a request may be sent, as far as crashes are concerned. Of all gateways one gets the
    /// permit for a trial; there is none where none is needed.
    ///
    /// # Errors
    /// Endpoints crashed under the request or a part of its prompt, and no trial is due.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        call: &Call,
        software_version: Option<&str>,
    ) -> Result<Option<TrialPermit>, Refusal> {
        let Err(refused) = self.allowed_version(call, software_version) else {
            return Ok(None);
        };
        let granted = self.obtain_trial(&refused.suspects).await;
        log::info!(
            event = "crash_refusal", request = call.id, suspect = refused.suspect.kind(),
            id:% = format_args!("{:x}", refused.suspect.id()),
            trial_in_ms = refused.trial_in.as_millis() as u64, tried = granted;
            "endpoints crashed under the request or a part of its prompt"
        );
        if !granted {
            return Err(refused.refusal(call));
        }
        Ok(Some(TrialPermit {
            gateway: Arc::clone(self),
            suspects: refused.suspects,
            software_version: refused.software_version,
            is_used: false,
        }))
    }

    /// Obtains a trial if one is due. One that no holder permits does not count.
    async fn obtain_trial(&self, suspects: &Suspects) -> bool {
        let now = self.clock.now();
        let due = self.crash_guard.crashes.lock().grant_trial(suspects, now);
        if !due {
            return false;
        }
        let permitted = self.ask_for_trial(suspects).await;
        if !permitted {
            self.crash_guard.crashes.lock().return_trial(suspects);
        }
        permitted
    }

    fn return_trial(&self, suspects: &Suspects) {
        self.crash_guard.crashes.lock().return_trial(suspects);
        self.tell_holders(&SharedRequest::ReturnTrial(suspects.clone()));
    }

    async fn ask_for_trial(&self, suspects: &Suspects) -> bool {
        let request = |_| SharedRequest::TrySuspects(suspects.clone());
        let answer = self.ask_holders(NEWS_KEY, request).await;
        answer == Some(SharedReply::Permit(true))
    }
}

impl RefusedSuspects {
    fn refusal(&self, call: &Call) -> Refusal {
        match self.suspect {
            Suspect::PromptPart(_) => Refusal::crashing_prompt(self.trial_in, call.random),
            Suspect::Request(_) => Refusal::crashing_request(self.trial_in, call.random),
        }
    }
}
