//! What a gateway knows of the software versions that began streams: its own streams, copies at
//! sidecars, and the versions that were listed.

use super::Gateway;
use crate::connection::SharedJob;
use parking_lot::Mutex;
use radishpin_core::{
    process::{SharedReply, SharedRequest, SoftwareVersions},
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
const FIND_TIMEOUT: Duration = Duration::from_millis(200);

/// Origins of this gateway's streams, and the software versions that were listed lately.
#[derive(Debug, Default)]
pub(crate) struct OriginDirectory {
    own: Mutex<StreamOrigins>,
    pub(crate) versions: Mutex<SoftwareVersions>,
}

impl Gateway {
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
