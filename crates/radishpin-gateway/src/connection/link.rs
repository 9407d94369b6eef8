//! The link from a gateway to one sidecar.
//!
//! One loop waits at the sidecar for changes; another one tells it at once of new demands. Both
//! are the same exchange: the gateway's report goes out, the sidecar's status comes back.

use super::{Connection, post};
use crate::process::Gateway;
use event_listener::Event;
use futures_lite::future;
use radishpin_core::process::{LinkLoss, Status};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use std::{net::SocketAddr, sync::Arc};

/// Path of the exchange; the time to wait for a change follows, in milliseconds.
pub(crate) const EXCHANGE_PATH: &str = "/exchange?wait_ms=";
/// How long a sidecar waits for a change before it answers all the same.
const EXCHANGE_WAIT: Duration = Duration::from_millis(400);
/// Time that an exchange may take beyond its wait.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after an exchange that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest such pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);
/// Shortest time between two exchanges that wait: changes in a row are taken in one go.
const EXCHANGE_GAP: Duration = Duration::from_millis(15);
/// Bytes of a status at most.
const STATUS_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Runs the link until it is dropped.
pub(crate) async fn run_link(gateway: Arc<Gateway>, endpoint: EndpointId, sidecar: SocketAddr) {
    let link = Link {
        gateway: &gateway,
        endpoint: &endpoint,
        sidecar,
    };
    let urgent = gateway.demand_event(&endpoint);
    future::or(link.follow(), link.push(&urgent)).await;
}

struct Link<'a> {
    gateway: &'a Arc<Gateway>,
    endpoint: &'a str,
    sidecar: SocketAddr,
}

impl Link<'_> {
    /// Follows the sidecar's status.
    async fn follow(&self) {
        let mut connection = None;
        let mut pause = RETRY_PAUSE;
        loop {
            match self.exchange(&mut connection, EXCHANGE_WAIT).await {
                Ok(()) => {
                    pause = RETRY_PAUSE;
                    Runtime::sleep(EXCHANGE_GAP).await;
                    continue;
                }
                Err(loss) => self.gateway.link_lost(self.endpoint, loss),
            }
            Runtime::sleep(pause).await;
            pause = (pause * 2).min(RETRY_PAUSE_MAX);
        }
    }

    /// Tells the sidecar of new demands.
    async fn push(&self, urgent: &Event) {
        let mut connection = None;
        loop {
            urgent.listen().await;
            // The other loop retries and reports a sidecar that is lost.
            let _ = self.exchange(&mut connection, Duration::ZERO).await;
        }
    }

    /// Makes one exchange, which brings a status.
    async fn exchange(
        &self,
        connection: &mut Option<Connection>,
        wait: Duration,
    ) -> Result<(), LinkLoss> {
        let limit = wait + EXCHANGE_TIMEOUT;
        let status = match timeout(limit, self.call(connection, wait)).await {
            Some(Ok(status)) => status,
            Some(Err(cause)) => {
                log::debug!(event = "exchange_failed", endpoint = self.endpoint, cause:% = cause; "no status");
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
        let answer = post(
            &mut connection,
            self.sidecar,
            &path,
            &[],
            body,
            STATUS_BYTES_MAX,
        )
        .await?;
        if answer.status != 200 {
            return Err(format!("sidecar answered {}", answer.status).into());
        }
        let status = serde_json::from_slice(&answer.body)?;
        *slot = Some(connection);
        Ok(status)
    }
}
