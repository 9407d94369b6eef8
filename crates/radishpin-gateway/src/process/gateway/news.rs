//! Follows what other gateways learned, at the sidecars that hold it.

use super::Gateway;
use crate::{
    connection::{Connection, SharedJob, exchange_shared},
    process::NEWS_WAIT,
};
use radishpin_core::process::{SeenNews, SharedReply, SharedRequest};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use std::{net::SocketAddr, sync::Arc};

/// Key of the news, by which their holders are chosen. They are rare, so all have the same holders.
pub(super) const NEWS_KEY: &str = "news";
/// Sidecars that hold the news, so that one likely survives if many processes are killed at once.
pub(super) const NEWS_HOLDERS: usize = 3;
/// Time that a watch may take in addition to its wait for news.
const WATCH_SLACK: Duration = Duration::from_millis(600);
/// Pause after a watch that failed or had no holder.
const WATCH_BACKOFF: Duration = Duration::from_millis(400);
/// Longest time to ask one holder for a permit; its caller waits meanwhile.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// What a gateway has seen of the news of one holder.
#[derive(Debug, Default)]
struct Watch {
    connection: Option<Connection>,
    holder: Option<SocketAddr>,
    seen: SeenNews,
    versions_exchanged_at: Option<Duration>,
}

impl Gateway {
    /// Tells the holders of news what this gateway learned.
    pub(super) fn tell_holders(&self, request: &SharedRequest) {
        for (sidecar, jobs) in self.holders(NEWS_KEY, NEWS_HOLDERS) {
            let job = SharedJob {
                request: request.clone(),
                reply: None,
            };
            if jobs.try_send(job).is_err() {
                log::warn!(event = "news_not_shared", sidecar:% = sidecar; "too many requests wait for a sidecar");
            }
        }
    }

    /// Asks the holders of a key, one after the other, until one answers. The request may depend on the
    /// rank of the holder, 0 for the first.
    pub(super) async fn ask_holders(
        &self,
        key: &str,
        request: impl Fn(usize) -> SharedRequest,
    ) -> Option<SharedReply> {
        let holders = self.holders(key, NEWS_HOLDERS).into_iter().enumerate();
        for (rank, (_, jobs)) in holders {
            let (reply, replies) = async_channel::bounded(1);
            let job = SharedJob {
                request: request(rank),
                reply: Some(reply),
            };
            if jobs.try_send(job).is_err() {
                continue;
            }
            if let Some(Ok(answer)) = timeout(ASK_TIMEOUT, replies.recv()).await {
                return Some(answer);
            }
        }
        None
    }

    /// Follows the news at the holder of this rank until the process exits.
    pub(super) async fn watch_news(self: &Arc<Self>, rank: usize) {
        let mut watch = Watch::default();
        loop {
            let holders = self.holders(NEWS_KEY, NEWS_HOLDERS);
            let holder = holders.get(rank).map(|(address, _)| *address);
            let answered = match holder {
                Some(holder) => watch.next(self, holder).await,
                None => false,
            };
            if !answered {
                watch = Watch::default();
                Runtime::sleep(WATCH_BACKOFF).await;
            }
        }
    }
}

impl Watch {
    /// Waits for news from a holder, or for its timeout; returns whether it answered.
    async fn next(&mut self, gateway: &Arc<Gateway>, holder: SocketAddr) -> bool {
        if self.holder != Some(holder) {
            *self = Self {
                holder: Some(holder),
                ..Self::default()
            };
        }
        self.exchange_versions(gateway, holder).await;
        let request = SharedRequest::Watch(self.seen);
        let time_limit = NEWS_WAIT + WATCH_SLACK;
        let answer = self.exchange(gateway, holder, &request, time_limit).await;
        let Some(SharedReply::News {
            seen,
            crashes,
            limits,
        }) = answer
        else {
            return false;
        };
        gateway.learn_crashes(crashes);
        gateway.learn_limits(&limits);
        let is_new = seen.incarnation != self.seen.incarnation;
        self.seen = seen;
        !is_new || self.tell_all(gateway, holder).await
    }

    /// Exchanges with a holder what both know of software versions, unless they just did. A holder
    /// that does not answer may be one of an earlier version of this program.
    async fn exchange_versions(&mut self, gateway: &Arc<Gateway>, holder: SocketAddr) {
        let now = gateway.clock.now();
        let last = self.versions_exchanged_at;
        if last.is_some_and(|last| now.saturating_sub(last) < NEWS_WAIT) {
            return;
        }
        self.versions_exchanged_at = Some(now);
        let request = gateway.known_versions();
        let answer = self.exchange(gateway, holder, &request, WATCH_SLACK).await;
        if let Some(SharedReply::Versions(history)) = answer {
            gateway.learn_versions(&history);
        }
    }

    /// Tells a holder, which may have just started, all that this gateway knows.
    async fn tell_all(&mut self, gateway: &Arc<Gateway>, holder: SocketAddr) -> bool {
        let requests = [gateway.known_crashes(), gateway.known_limits()];
        for request in requests.into_iter().flatten() {
            let answer = self.exchange(gateway, holder, &request, WATCH_SLACK).await;
            if answer.is_none() {
                return false;
            }
        }
        true
    }

    async fn exchange(
        &mut self,
        gateway: &Arc<Gateway>,
        holder: SocketAddr,
        request: &SharedRequest,
        time_limit: Duration,
    ) -> Option<SharedReply> {
        let exchange = exchange_shared(&gateway.runtime, holder, &mut self.connection, request);
        timeout(time_limit, exchange).await?.ok()
    }
}
