//! State that gateways share, kept for all of them.

use super::{Sidecar, empty_response};
use crate::connection::SHARED_BYTES_MAX;
use event_listener::Event;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use parking_lot::Mutex;
use radishpin_core::{
    process::{PartCrashes, PromptCrashes, SharedReply, SharedRequest},
    request::StreamOrigins,
};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};

/// Time after which a gateway that waits for news about crashes is answered without any.
pub(crate) const CRASH_WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which changes are gathered before gateways are told.
const CRASH_BATCH_DELAY: Duration = Duration::from_millis(15);

/// What this sidecar keeps for the gateways.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    origins: Mutex<StreamOrigins>,
    crashes: Mutex<PromptCrashes>,
    /// Notified when the crashes have changed.
    crashes_changed: Event,
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
            SharedRequest::MergeCrashes(parts) => {
                self.merge_crashes(parts);
                SharedReply::Kept
            }
            SharedRequest::WatchCrashes {
                seen_incarnation,
                seen_version,
            } => self.watch_crashes(seen_incarnation, seen_version).await,
            SharedRequest::TryPrompt(parts) => {
                let granted = self.shared.crashes.lock().grant_trial(&parts, now);
                log::info!(event = "prompt_trial", shared_parts:% = parts, granted = granted; "a gateway asked to try a refused prompt part");
                SharedReply::Permit(granted)
            }
        }
    }

    fn merge_crashes(&self, parts: Vec<PartCrashes>) {
        let changed = self.shared.crashes.lock().merge(parts, self.clock.now());
        if changed {
            self.shared.crashes_changed.notify(usize::MAX);
        }
    }

    async fn watch_crashes(&self, seen_incarnation: Incarnation, seen_version: u64) -> SharedReply {
        let incarnation = self.incarnation;
        let seen_version = match seen_incarnation == incarnation {
            true => seen_version,
            false => 0,
        };
        let changed = async {
            loop {
                let listener = self.shared.crashes_changed.listen();
                if seen_incarnation != incarnation || self.has_crash_news(seen_version) {
                    return;
                }
                listener.await;
            }
        };
        if timeout(CRASH_WATCH_TIMEOUT, changed).await.is_some() {
            // Several gateways report one crash at the same time.
            Runtime::sleep(CRASH_BATCH_DELAY).await;
        }
        let crashes = self.shared.crashes.lock();
        SharedReply::Crashes {
            incarnation,
            version: crashes.version(),
            parts: crashes.messages_since(seen_version, self.clock.now()),
        }
    }

    fn has_crash_news(&self, seen_version: u64) -> bool {
        let crashes = self.shared.crashes.lock();
        crashes.version() > seen_version
            && !crashes
                .messages_since(seen_version, self.clock.now())
                .is_empty()
    }
}
