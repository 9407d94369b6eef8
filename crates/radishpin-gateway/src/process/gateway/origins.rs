//! What a gateway knows of the software versions that began streams: its own streams, copies at
//! sidecars, and the versions that were listed.

use super::Gateway;
use crate::connection::OriginJob;
use parking_lot::Mutex;
use radishpin_core::{
    process::SoftwareVersions,
    request::{OriginRequest, StreamOrigin, StreamOrigins, copy_holders},
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
        for jobs in self.origin_links(&origin.attempt, ORIGIN_COPIES) {
            let request = OriginRequest::Record(origin.clone());
            let job = OriginJob {
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
        for jobs in self.origin_links(attempt, COPIES_ASKED) {
            let job = OriginJob {
                request: OriginRequest::Find(attempt.to_owned()),
                reply: Some(reply.clone()),
            };
            // A sidecar whose queue is full does not answer in time either.
            let _ = jobs.try_send(job);
        }
        drop(reply);
        let first = async {
            // The channel closes when all sidecars have answered or failed.
            while let Ok(found) = replies.recv().await {
                if found.is_some() {
                    return found;
                }
            }
            None
        };
        timeout(FIND_TIMEOUT, first).await.flatten()
    }

    /// The links to the sidecars that hold copies of an attempt's origin, the first one first.
    fn origin_links(&self, attempt: &str, count: usize) -> Vec<async_channel::Sender<OriginJob>> {
        let links = self.links.lock();
        let senders = links.values().map(|link| (link.sidecar, &link.origins));
        let holders = copy_holders(attempt, senders, count);
        holders.into_iter().cloned().collect()
    }
}
