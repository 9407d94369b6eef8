//! Exchange of reports and status between a gateway and one sidecar.
//!
//! One loop long-polls the sidecar for changes of its status; another one sends new demand at once.
//! Both make the same exchange: the gateway posts its report, and the sidecar returns its status.

use super::{Connection, post};
use crate::process::Gateway;
use event_listener::Event;
use futures_lite::future;
use radishpin_core::process::{LinkLoss, Status};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use std::{net::SocketAddr, sync::Arc};

/// Path and query of the exchange, without the time to wait for a change, in milliseconds.
pub(crate) const EXCHANGE_PATH: &str = "/exchange?wait_ms=";
/// Time after which a sidecar responds to a long poll even without a change.
const EXCHANGE_WAIT: Duration = Duration::from_millis(400);
/// Longest time for an exchange in addition to its wait for a change.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after the first failed exchange; it doubles with each further failure.
const RETRY_BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest pause after a failed exchange.
const RETRY_BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Pause between two long polls, so that one of them returns several changes in quick succession.
const EXCHANGE_INTERVAL_MIN: Duration = Duration::from_millis(15);
/// Largest status that is read, in bytes.
const STATUS_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Exchanges reports and status with a sidecar until the future is dropped.
pub(crate) async fn run_link(gateway: Arc<Gateway>, endpoint: EndpointId, sidecar: SocketAddr) {
    let link = Link {
        gateway: &gateway,
        endpoint: &endpoint,
        sidecar,
    };
    let demand_changed = gateway.demand_event(&endpoint);
    future::or(link.poll_status(), link.push_demand(&demand_changed)).await;
}

/// Sends demand to a sidecar whose status comes through a relay, and follows it as long as callers wait there,
/// until the future is dropped.
pub(crate) async fn run_demand_link(
    gateway: Arc<Gateway>,
    endpoint: EndpointId,
    sidecar: SocketAddr,
) {
    let link = Link {
        gateway: &gateway,
        endpoint: &endpoint,
        sidecar,
    };
    let demand_changed = gateway.demand_event(&endpoint);
    future::or(
        link.push_demand(&demand_changed),
        link.follow_while_callers_wait(&demand_changed),
    )
    .await;
}

struct Link<'a> {
    gateway: &'a Arc<Gateway>,
    endpoint: &'a str,
    sidecar: SocketAddr,
}

impl Link<'_> {
    /// Long-polls the sidecar's status and reports the loss of the sidecar to the gateway.
    async fn poll_status(&self) {
        let mut connection = None;
        let mut backoff = RETRY_BACKOFF_MIN;
        loop {
            match self.exchange(&mut connection, EXCHANGE_WAIT).await {
                Ok(()) => {
                    backoff = RETRY_BACKOFF_MIN;
                    Runtime::sleep(EXCHANGE_INTERVAL_MIN).await;
                    continue;
                }
                Err(loss) => self.gateway.link_lost(self.endpoint, loss),
            }
            Runtime::sleep(backoff).await;
            backoff = (backoff * 2).min(RETRY_BACKOFF_MAX);
        }
    }

    /// Sends a report to the sidecar as soon as demand for its endpoint changes.
    async fn push_demand(&self, demand_changed: &Event) {
        let mut connection = None;
        loop {
            demand_changed.listen().await;
            // `poll_status` retries, and reports the loss of a sidecar.
            let _ = self.exchange(&mut connection, Duration::ZERO).await;
        }
    }

    /// Long-polls the sidecar as long as callers of this gateway wait for what it loads.
    async fn follow_while_callers_wait(&self, demand_changed: &Event) {
        loop {
            let demand = demand_changed.listen();
            let mut connection = None;
            while self.gateway.has_waiting_callers(self.endpoint) {
                if self.exchange(&mut connection, EXCHANGE_WAIT).await.is_err() {
                    break;
                }
                Runtime::sleep(EXCHANGE_INTERVAL_MIN).await;
            }
            demand.await;
        }
    }

    /// Makes one exchange and records the status that it returns.
    async fn exchange(
        &self,
        connection: &mut Option<Connection>,
        wait: Duration,
    ) -> Result<(), LinkLoss> {
        let time_limit = wait + EXCHANGE_TIMEOUT;
        let status = match timeout(time_limit, self.call(connection, wait)).await {
            Some(Ok(status)) => status,
            Some(Err(cause)) => {
                log::debug!(event = "exchange_failed", endpoint = self.endpoint, cause:% = cause; "status exchange with the sidecar failed");
                *connection = None;
                return Err(LinkLoss::Disconnected);
            }
            None => {
                *connection = None;
                return Err(LinkLoss::TimedOut);
            }
        };
        self.gateway.record_status(self.endpoint, status);
        Ok(())
    }

    async fn call(
        &self,
        slot: &mut Option<Connection>,
        wait: Duration,
    ) -> Result<Status, Box<dyn std::error::Error + Send + Sync>> {
        let mut connection = match slot.take() {
            Some(connection) => connection,
            None => Connection::open(&self.gateway.runtime, self.sidecar).await?,
        };
        let report = self.gateway.next_report(self.endpoint);
        let path = format!("{EXCHANGE_PATH}{}", wait.as_millis());
        let body = serde_json::to_vec(&report)?;
        let response = post(
            &mut connection,
            self.sidecar,
            &path,
            &[],
            body,
            STATUS_BYTES_MAX,
        )
        .await?;
        if response.status != 200 {
            return Err(format!("sidecar responded with status {}", response.status).into());
        }
        let status = serde_json::from_slice(&response.body)?;
        *slot = Some(connection);
        Ok(status)
    }
}
