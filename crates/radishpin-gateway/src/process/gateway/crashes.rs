//! Keeps requests, and prompt parts, that crash endpoints from reaching more of them.

use super::Gateway;
use crate::{connection::CONNECT_TIMEOUT, request::Call};
use parking_lot::Mutex;
use radishpin_core::{
    process::{
        CrashTable, EndpointChange, ExposedRequest, Exposure, ExposureEnd, Exposures,
        RequestOutcome, SharedRequest, Status, Suspect, SuspectCrashes, endpoint_variant,
    },
    request::PromptPartId,
};
use radishpin_protocol::{UnixMs, prelude::*};
use radishpin_runtime::{Runtime, timeout};
use smol::net::TcpStream;
use std::{io, net::SocketAddr, sync::Arc};

/// Time after which an endpoint that accepts connections just after one broke is checked again: it may
/// not have ended yet.
const RECHECK_DELAY: Duration = Duration::from_millis(150);

/// What this gateway knows of requests and prompt parts that crash endpoints.
#[derive(Debug, Default)]
pub(crate) struct CrashGuard {
    exposures: Mutex<Exposures>,
    pub(super) crashes: Mutex<CrashTable>,
    /// Endpoints that are being checked for whether they still accept connections.
    checks: Mutex<BTreeSet<EndpointId>>,
}

impl Gateway {
    /// Records that a request is sent to an endpoint that started at this time.
    pub(crate) fn begin_exposure(
        &self,
        endpoint: &str,
        started_unix_ms: UnixMs,
        exposed: ExposedRequest,
    ) -> Exposure {
        let mut exposures = self.crash_guard.exposures.lock();
        exposures.begin(endpoint, started_unix_ms, exposed)
    }

    /// Records how a request at an endpoint ended.
    pub(crate) fn end_exposure(&self, exposure: Exposure, outcome: RequestOutcome, call: &Call) {
        let end = match outcome {
            RequestOutcome::Served { .. } => ExposureEnd::Served,
            RequestOutcome::Broken => ExposureEnd::Broken,
            RequestOutcome::Refused | RequestOutcome::Misdirected | RequestOutcome::Unreachable => {
                ExposureEnd::NotRun
            }
            RequestOutcome::Failed | RequestOutcome::Canceled => ExposureEnd::Other,
        };
        // A request without an answer may have been running when its endpoint crashed.
        let is_unanswered = matches!(outcome, RequestOutcome::Broken | RequestOutcome::Canceled);
        let fingerprint = is_unanswered.then(|| call.fingerprint());
        let now = self.clock.now();
        let mut exposures = self.crash_guard.exposures.lock();
        exposures.end(exposure, end, fingerprint, now);
        drop(exposures);
        if end == ExposureEnd::Broken {
            self.settle_exposures();
        }
    }

    /// Records that an endpoint answered a request, whatever the answer, so that it did not crash under it.
    pub(crate) fn request_answered(&self, call: &Call, software_version: Option<&str>) {
        if !self.crash_guard.crashes.lock().suspects_requests() {
            return;
        }
        let fingerprint = call.fingerprint();
        let variant = endpoint_variant(&call.service, software_version);
        let now = self.clock.now();
        let cleared =
            self.change_crashes(|crashes| crashes.clear_request(fingerprint, variant, now));
        self.send_crashes(cleared.into_iter().collect());
    }

    /// Checks whether an endpoint still accepts connections after one broke.
    pub(crate) fn check_endpoint(self: &Arc<Self>, endpoint: &EndpointId, address: SocketAddr) {
        let is_new = self.crash_guard.checks.lock().insert(endpoint.clone());
        if !is_new {
            return;
        }
        let gateway = Arc::clone(self);
        let endpoint = endpoint.clone();
        self.runtime.spawn_detached(async move {
            let mut refuses = refuses_connections(address).await;
            if !refuses {
                Runtime::sleep(RECHECK_DELAY).await;
                refuses = refuses_connections(address).await;
            }
            gateway.crash_guard.checks.lock().remove(&endpoint);
            log::info!(event = "endpoint_checked", endpoint = endpoint, refuses_connections = refuses; "checked an endpoint whose connection broke");
            if refuses {
                gateway.endpoint_refuses_connections(&endpoint);
            }
        });
    }

    /// Records that an endpoint refuses connections, so that its process has ended. The end of one that
    /// drains is no crash.
    pub(crate) fn endpoint_refuses_connections(&self, endpoint: &str) {
        if !self.fleet.lock().is_ready(endpoint) {
            return;
        }
        let now = self.clock.now();
        let mut exposures = self.crash_guard.exposures.lock();
        exposures.endpoint_refuses(endpoint, now);
        drop(exposures);
        self.settle_exposures();
    }

    /// Records what a sidecar's status tells about the life of its engine.
    pub(super) fn observe_engine(&self, endpoint: &str, status: &Status) {
        let now = self.clock.now();
        let replaced = status.engine_id.as_ref().is_some_and(|id| id != endpoint);
        let mut exposures = self.crash_guard.exposures.lock();
        if exposures.is_settled() {
            return;
        }
        match status.engine_up {
            false => exposures.endpoint_down(endpoint, now),
            true if replaced => exposures.endpoint_started(endpoint, UnixMs::MAX, now),
            true => exposures.endpoint_started(endpoint, status.engine_started_unix_ms, now),
        }
        drop(exposures);
        self.settle_exposures();
    }

    /// The endpoints that ended without having drained, by changes that are yet to be applied.
    pub(super) fn crashed_endpoints(&self, changes: &[EndpointChange]) -> Vec<EndpointId> {
        let fleet = self.fleet.lock();
        let ended = changes.iter().filter_map(|change| match change {
            EndpointChange::Gone(id) | EndpointChange::Restarted(id) => Some(id),
            EndpointChange::Joined(_) | EndpointChange::Draining(_) => None,
        });
        ended.filter(|id| fleet.is_ready(id)).cloned().collect()
    }

    /// Records that endpoints ended, as the platform's list tells.
    pub(super) fn observe_crashed(&self, endpoints: &[EndpointId]) {
        let now = self.clock.now();
        let mut exposures = self.crash_guard.exposures.lock();
        for endpoint in endpoints {
            exposures.endpoint_down(endpoint, now);
        }
        drop(exposures);
        self.settle_exposures();
    }

    /// Draws the conclusions from requests that have ended, and tells the holders.
    pub(super) fn settle_exposures(&self) {
        let now = self.clock.now();
        let news = self.crash_guard.exposures.lock().settle(now);
        let mut messages = news.crashes;
        if !messages.is_empty() {
            log_crashes(&messages);
            self.merge_crashes(messages.clone());
        }
        messages.extend(self.clear_sound(&news.sound));
        self.send_crashes(messages);
    }

    /// Clears prompt parts that are sound; returns what to tell the holders.
    fn clear_sound(&self, sound: &BTreeSet<PromptPartId>) -> Vec<SuspectCrashes> {
        if sound.is_empty() || self.crash_guard.crashes.lock().is_empty() {
            return Vec::new();
        }
        let now = self.clock.now();
        self.change_crashes(|crashes| {
            let cleared = sound.iter().filter_map(|part| {
                // A single crash is known to nobody but its holders, and refuses nothing.
                let is_shared = crashes.count(Suspect::PromptPart(*part)) > 1;
                crashes.clear_part(*part, now).filter(|_| is_shared)
            });
            cleared.collect()
        })
    }

    fn merge_crashes(&self, crashes: Vec<SuspectCrashes>) {
        let now = self.clock.now();
        self.change_crashes(|table| table.merge(crashes, now));
    }

    /// Changes the crashes, and logs which suspects are refused and allowed by it.
    fn change_crashes<T>(&self, change: impl FnOnce(&mut CrashTable) -> T) -> T {
        let mut crashes = self.crash_guard.crashes.lock();
        let before = crashes.refused().clone();
        let result = change(&mut crashes);
        let after = crashes.refused();
        for suspect in after.difference(&before) {
            log_refused(*suspect, crashes.count(*suspect));
        }
        for suspect in before.difference(after) {
            log_allowed(*suspect, crashes.count(*suspect));
        }
        let is_part = |suspect: &&Suspect| matches!(suspect, Suspect::PromptPart(_));
        let parts = after.iter().filter(is_part).count();
        let requests = after.len() - parts;
        let gauges = &self.metrics;
        gauges.refused_prompt_parts.set(as_gauge(parts));
        gauges.refused_requests.set(as_gauge(requests));
        result
    }

    fn send_crashes(&self, messages: Vec<SuspectCrashes>) {
        if !messages.is_empty() {
            self.tell_holders(&SharedRequest::MergeCrashes(messages));
        }
    }

    /// What to tell a holder of news that may know no crashes; `None` if none is known here.
    pub(super) fn known_crashes(&self) -> Option<SharedRequest> {
        let now = self.clock.now();
        let messages = self.crash_guard.crashes.lock().messages_since(0, now);
        (!messages.is_empty()).then_some(SharedRequest::MergeCrashes(messages))
    }

    /// Merges what a holder knows, and clears prompt parts that are sound here.
    pub(super) fn learn_crashes(&self, crashes: Vec<SuspectCrashes>) {
        self.merge_crashes(crashes);
        let now = self.clock.now();
        let exposures = self.crash_guard.exposures.lock();
        let crashes = self.crash_guard.crashes.lock();
        let sound = crashes
            .suspected_parts()
            .filter(|part| exposures.is_sound(*part, now));
        let sound: BTreeSet<PromptPartId> = sound.collect();
        drop((exposures, crashes));
        let cleared = self.clear_sound(&sound);
        self.send_crashes(cleared);
    }
}

/// Whether connections to an address are refused; a host that does not answer at all may be silent only.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    connected.is_some_and(|connected| connected.as_ref().is_err_and(refused))
}

fn as_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn log_crashes(messages: &[SuspectCrashes]) {
    for message in messages {
        let Suspect::Request(_) = message.suspect else {
            continue;
        };
        let trial = message.crashes.iter().any(|crash| crash.trial);
        log::warn!(event = "crash_under_request", fingerprint:% = format_args!("{:x}", message.suspect.id()), trial = trial; "an endpoint crashed while it ran a request");
    }
}

fn log_refused(suspect: Suspect, crashes: usize) {
    match suspect {
        Suspect::PromptPart(_) => {
            log::warn!(event = "prompt_part_refused", part:% = format_args!("{:x}", suspect.id()), crashes = crashes; "engines crashed under a prompt part; its requests are refused");
        }
        Suspect::Request(_) => {
            log::warn!(event = "fingerprint_refused", fingerprint:% = format_args!("{:x}", suspect.id()), crashes = crashes; "endpoints crashed under a request; it is refused");
        }
    }
}

fn log_allowed(suspect: Suspect, crashes: usize) {
    match suspect {
        Suspect::PromptPart(_) => {
            log::info!(event = "prompt_part_allowed", part:% = format_args!("{:x}", suspect.id()), crashes = crashes; "a refused prompt part is no longer suspected");
        }
        Suspect::Request(_) => {
            log::info!(event = "fingerprint_allowed", fingerprint:% = format_args!("{:x}", suspect.id()), crashes = crashes; "a refused request is no longer suspected");
        }
    }
}
