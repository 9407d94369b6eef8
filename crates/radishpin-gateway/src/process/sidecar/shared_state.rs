//! State that gateways share, kept for all of them.

use super::{Sidecar, empty_response};
use crate::connection::SHARED_BYTES_MAX;
use event_listener::Event;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use parking_lot::Mutex;
use radishpin_core::{
    process::{
        CrashTable, EndpointLimit, EndpointLimits, LIMITS_MAX, QuotaHolder, SeenNews, SendSlots,
        SharedReply, SharedRequest, SoftwareVersions, SuspectCrashes,
    },
    request::StreamOrigins,
};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};

/// Time after which a gateway that waits for news is answered without any.
pub(crate) const NEWS_WAIT: Duration = Duration::from_secs(5);

/// Time for which changes are gathered before gateways are told.
const NEWS_BATCH_DELAY: Duration = Duration::from_millis(15);

/// What this sidecar keeps for the gateways.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    origins: Mutex<StreamOrigins>,
    crashes: Mutex<CrashTable>,
    limits: Mutex<EndpointLimits>,
    slots: Mutex<SendSlots>,
    quotas: Mutex<QuotaHolder>,
    versions: Mutex<SoftwareVersions>,
    /// Notified when crashes or limits have changed.
    news: Event,
}

/// Answers a [`SharedRequest`], as JSON.
pub(super) async fn handle_shared_state(
    sidecar: &Sidecar,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), SHARED_BYTES_MAX)
        .collect()
        .await;
    let request = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
    let Some(request) = request else {
        log::warn!(event = "shared_request_unreadable"; "cannot read a gateway's request about shared state");
        return empty_response(StatusCode::BAD_REQUEST);
    };
    match serde_json::to_vec(&sidecar.answer_shared(request).await) {
        Ok(body) => Response::new(Full::from(body)),
        Err(cause) => {
            log::error!(event = "shared_state_failed", cause:% = cause; "cannot serialize shared state");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

impl Sidecar {
    async fn answer_shared(&self, request: SharedRequest) -> SharedReply {
        let now = self.clock.now();
        match request {
            SharedRequest::RecordOrigin(origin) => {
                self.shared.origins.lock().record(origin, now);
                SharedReply::Kept
            }
            SharedRequest::FindOrigin(attempt) => {
                let origins = self.shared.origins.lock();
                SharedReply::Origin(origins.find(&attempt, now).cloned())
            }
            SharedRequest::MergeCrashes(crashes) => {
                self.merge_crashes(crashes);
                SharedReply::Kept
            }
            SharedRequest::RecordLimits(limits) => {
                self.record_limits(limits);
                SharedReply::Kept
            }
            SharedRequest::Watch(seen) => self.watch_news(seen).await,
            SharedRequest::MergeVersions(history) => {
                let mut versions = self.shared.versions.lock();
                versions.merge(&history, now);
                SharedReply::Versions(versions.history(now))
            }
            SharedRequest::TrySuspects(suspects) => {
                let granted = self.shared.crashes.lock().grant_trial(&suspects, now);
                log::info!(event = "trial_asked", suspects:% = suspects, granted = granted; "a gateway asked to try a refused request or prompt part");
                SharedReply::Permit(granted)
            }
            SharedRequest::ReturnTrial(suspects) => {
                self.shared.crashes.lock().return_trial(&suspects);
                SharedReply::Kept
            }
            SharedRequest::TakeSlot {
                endpoint,
                rate,
                wait_max_ms,
            } => {
                let wait_max = Duration::from_millis(wait_max_ms);
                let mut slots = self.shared.slots.lock();
                SharedReply::Slot(slots.take(&endpoint, rate, wait_max, now))
            }
            SharedRequest::LeaseCredit(request) => {
                let mut quotas = self.shared.quotas.lock();
                SharedReply::Credit(quotas.answer(&request, now))
            }
        }
    }

    fn merge_crashes(&self, crashes: Vec<SuspectCrashes>) {
        let now = self.clock.now();
        let changed = self.shared.crashes.lock().merge(crashes, now);
        if changed {
            self.shared.news.notify(usize::MAX);
        }
    }

    fn record_limits(&self, limits: Vec<EndpointLimit>) {
        let now = self.clock.now();
        let mut known = self.shared.limits.lock();
        let before = known.version();
        for limit in limits.into_iter().take(LIMITS_MAX) {
            known.record(limit, now);
        }
        if known.version() > before {
            self.shared.news.notify(usize::MAX);
        }
    }

    async fn watch_news(&self, seen: SeenNews) -> SharedReply {
        let has_restarted = seen.incarnation != self.incarnation;
        let seen = match has_restarted {
            true => SeenNews::default(),
            false => seen,
        };
        let news = async {
            loop {
                let listener = self.shared.news.listen();
                if has_restarted || self.has_news(&seen) {
                    return;
                }
                listener.await;
            }
        };
        if timeout(NEWS_WAIT, news).await.is_some() {
            // Several gateways learn of one event at the same time.
            Runtime::sleep(NEWS_BATCH_DELAY).await;
        }
        let now = self.clock.now();
        let crashes = self.shared.crashes.lock();
        let limits = self.shared.limits.lock();
        SharedReply::News {
            seen: SeenNews {
                incarnation: self.incarnation,
                crashes_version: crashes.version(),
                limits_version: limits.version(),
            },
            crashes: crashes.messages_since(seen.crashes_version, now),
            limits: limits.since(seen.limits_version, now),
        }
    }

    fn has_news(&self, seen: &SeenNews) -> bool {
        let now = self.clock.now();
        let crashes = self.shared.crashes.lock();
        let has_crashes = crashes.version() > seen.crashes_version
            && !crashes.messages_since(seen.crashes_version, now).is_empty();
        has_crashes || self.shared.limits.lock().version() > seen.limits_version
    }
}
