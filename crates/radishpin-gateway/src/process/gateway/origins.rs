//! What a gateway knows of the software versions that began streams: its own streams, copies at
//! sidecars, and the versions that were listed.

use super::{Gateway, news::NEWS_KEY};
use crate::connection::SharedJob;
use parking_lot::Mutex;
use radishpin_core::{
    process::{EndpointEntry, SharedReply, SharedRequest, SoftwareVersions, VersionHistory},
    request::{StreamOrigin, StreamOrigins},
};
use radishpin_protocol::prelude::*;
use radishpin_runtime::timeout;

/// Sidecars that get a copy of each origin, so that one likely survives if many processes are killed
/// at once.
const ORIGIN_COPIES: usize = 3;
/// Sidecars that are asked for a copy: more than have one, as lists of endpoints differ for a while.
const COPIES_ASKED: usize = 5;
/// Longest time to look for a copy; its caller waits meanwhile.
const FIND_TIMEOUT: Duration = Duration::from_millis(700);

/// Origins of this gateway's streams, and the software versions that were listed lately.
#[derive(Debug)]
pub(crate) struct OriginDirectory {
    own: Mutex<StreamOrigins>,
    pub(crate) versions: Mutex<SoftwareVersions>,
}

impl OriginDirectory {
    /// Creates an empty directory. If the whole system is started for the first time, no stream
    /// began before.
    pub(super) fn new(first_start: bool) -> Self {
        Self {
            own: Mutex::default(),
            versions: Mutex::new(SoftwareVersions::new(first_start)),
        }
    }
}

impl Gateway {
    /// Records the versions of a list of endpoints, and tells the holders of shared state of new ones.
    pub(super) fn record_versions(&self, entries: &BTreeMap<EndpointId, EndpointEntry>) {
        let now = self.clock.now();
        let has_new = self.origins.versions.lock().record(entries, now);
        if has_new {
            self.tell_holders(&self.known_versions());
        }
    }

    /// The request that tells a holder of shared state what this gateway knows of versions.
    pub(super) fn known_versions(&self) -> SharedRequest {
        let history = self.origins.versions.lock().history(self.clock.now());
        SharedRequest::MergeVersions(history)
    }

    /// Asks the holders of shared state, until one answers, what other gateways know of versions.
    pub(crate) async fn ask_for_versions(&self) {
        let request = |_| self.known_versions();
        if let Some(SharedReply::Versions(history)) = self.ask_holders(NEWS_KEY, request).await {
            self.learn_versions(&history);
        }
    }

    /// Merges what the gateways that told a holder know of versions.
    pub(super) fn learn_versions(&self, history: &VersionHistory) {
        let now = self.clock.now();
        self.origins.versions.lock().merge(history, now);
    }

    /// Records the origin of a stream that this gateway begins, and sends copies to sidecars.
    pub(crate) fn record_origin(&self, origin: StreamOrigin) {
        let now = self.clock.now();
        for (_, jobs) in self.holders(&origin.attempt, ORIGIN_COPIES) {
            let request = SharedRequest::RecordOrigin(origin.clone());
            let job = SharedJob {
                request,
                reply: None,
            };
            if jobs.try_send(job).is_err() {
                log::debug!(event = "origin_not_copied", request = origin.attempt; "too many copies wait for a sidecar");
            }
        }
        self.origins.own.lock().record(origin, now);
    }

    /// The origin of a stream that this gateway began; `None` if it did not, or long ago.
    pub(crate) fn own_origin(&self, attempt: &str) -> Option<StreamOrigin> {
        let own = self.origins.own.lock();
        own.find(attempt, self.clock.now()).cloned()
    }

    /// Asks sidecars for the origin of a stream that another gateway, or an earlier process of this
    /// one, began; `None` if no copy was found in time.
    pub(crate) async fn find_copy(&self, attempt: &str) -> Option<StreamOrigin> {
        let (reply, replies) = async_channel::bounded(COPIES_ASKED);
        for (_, jobs) in self.holders(attempt, COPIES_ASKED) {
            let job = SharedJob {
                request: SharedRequest::FindOrigin(attempt.to_owned()),
                reply: Some(reply.clone()),
            };
            // A sidecar whose queue is full does not answer in time either.
            let _ = jobs.try_send(job);
        }
        drop(reply);
        let first = async {
            // The channel closes when all sidecars have answered or failed.
            while let Ok(answer) = replies.recv().await {
                if let SharedReply::Origin(Some(origin)) = answer {
                    return Some(origin);
                }
            }
            None
        };
        timeout(FIND_TIMEOUT, first).await.flatten()
    }
}
