//! Follows other sidecars for the gateways, as the relay of their group.

use super::{Sidecar, empty_response, json_response, read_json, requested_wait};
use crate::connection::{Connection, post};
use event_listener::Event;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use parking_lot::Mutex;
use radishpin_core::process::{GatewayReport, Relay, RelayAnswer, RelayPoll, RelayedState, Status};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Path at which a sidecar takes the reports of several gateways.
pub(super) const REPORTS_PATH: &str = "/reports";
/// Time after which a sidecar responds even without a change.
const EXCHANGE_WAIT: Duration = Duration::from_millis(200);
/// Longest time for an exchange in addition to its wait for a change.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause between two exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(80);
/// Pause after a failed exchange.
const EXCHANGE_BACKOFF: Duration = Duration::from_millis(300);
/// Largest status that is read, in bytes.
const STATUS_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Reports of several gateways to one sidecar.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(super) struct RelayedReports {
    /// Incarnation of the sidecar whose status the relay received last; 0 before the first.
    pub(super) seen_incarnation: Incarnation,
    /// Version of that status.
    pub(super) seen_version: u64,
    pub(super) reports: Vec<GatewayReport>,
}

/// What a sidecar relays.
#[derive(Debug)]
pub(super) struct RelayState {
    relay: Mutex<Relay>,
    /// Notified when the state of a followed sidecar has changed.
    changed: Event,
}

impl RelayState {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self {
            relay: Mutex::new(Relay::new(incarnation)),
            changed: Event::new(),
        }
    }

    fn return_reports(&self, member: SocketAddr, reports: &RelayedReports) {
        let mut relay = self.relay.lock();
        relay.return_reports(member, &reports.reports);
    }

    fn record_state(&self, member: SocketAddr, state: RelayedState, now: Duration) {
        let changed = self.relay.lock().record_state(member, state, now);
        if changed {
            self.changed.notify(usize::MAX);
        }
    }
}

/// Answers a gateway's [`RelayPoll`], as JSON, once something has changed or its wait ends.
pub(super) async fn handle_relay(
    sidecar: Arc<Sidecar>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let wait = requested_wait(request.uri().query().unwrap_or_default());
    let Some(poll) = read_json::<RelayPoll>(request).await else {
        log::warn!(event = "relay_poll_unreadable"; "cannot read a gateway's poll");
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let now = sidecar.clock.now();
    let new = sidecar.relayed.relay.lock().record_poll(&poll, now);
    for member in new {
        log::info!(event = "relay_follows", sidecar:% = member; "following a sidecar for the gateways");
        let follower = Arc::clone(&sidecar);
        let follow = async move { follower.follow(member).await };
        sidecar.runtime.spawn_detached(follow);
    }
    let answer = timeout(wait, sidecar.next_answer(&poll)).await;
    // A change may have come just when the wait ended.
    let answer = answer.unwrap_or_else(|| sidecar.relayed.relay.lock().answer_now(&poll));
    json_response(&answer)
}

impl Sidecar {
    async fn next_answer(&self, poll: &RelayPoll) -> RelayAnswer {
        loop {
            let listener = self.relayed.changed.listen();
            if let Some(answer) = self.relayed.relay.lock().answer(poll) {
                return answer;
            }
            listener.await;
        }
    }

    /// Exchanges reports and status with another sidecar until no gateway asks for it any more.
    async fn follow(&self, member: SocketAddr) {
        let mut connection = None;
        let mut seen = (0, 0);
        while self.is_followed(member) {
            let reports = RelayedReports {
                seen_incarnation: seen.0,
                seen_version: seen.1,
                reports: self.relayed.relay.lock().take_reports(member),
            };
            let exchange = self.exchange_reports(&mut connection, member, &reports);
            let state = match timeout(EXCHANGE_WAIT + EXCHANGE_TIMEOUT, exchange).await {
                Some(Ok(status)) => {
                    seen = (status.incarnation, status.version);
                    RelayedState::Up(Box::new(status))
                }
                Some(Err(cause)) => {
                    log::debug!(event = "follow_failed", sidecar:% = member, cause:% = cause; "a followed sidecar does not answer");
                    RelayedState::Disconnected
                }
                None => RelayedState::TimedOut,
            };
            let failed = !matches!(state, RelayedState::Up(_));
            if failed {
                connection = None;
                self.relayed.return_reports(member, &reports);
            }
            self.relayed.record_state(member, state, self.clock.now());
            let pause = match failed {
                true => EXCHANGE_BACKOFF,
                false => EXCHANGE_INTERVAL,
            };
            Runtime::sleep(pause).await;
        }
        log::info!(event = "relay_unfollows", sidecar:% = member; "no gateway asks for a sidecar any more");
    }

    fn is_followed(&self, member: SocketAddr) -> bool {
        let now = self.clock.now();
        self.relayed.relay.lock().is_followed(member, now)
    }

    async fn exchange_reports(
        &self,
        slot: &mut Option<Connection>,
        member: SocketAddr,
        reports: &RelayedReports,
    ) -> Result<Status, Box<dyn std::error::Error + Send + Sync>> {
        let mut connection = match slot.take() {
            Some(connection) => connection,
            None => Connection::open(&self.runtime, member).await?,
        };
        let path = format!("{REPORTS_PATH}?wait_ms={}", EXCHANGE_WAIT.as_millis());
        let body = serde_json::to_vec(reports)?;
        let response = post(&mut connection, member, &path, &[], body, STATUS_BYTES_MAX).await?;
        if response.status != 200 {
            return Err(format!("sidecar responded with status {}", response.status).into());
        }
        let status = serde_json::from_slice(&response.body)?;
        *slot = Some(connection);
        Ok(status)
    }
}
