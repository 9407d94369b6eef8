//! Sends origins of streams to one sidecar, which keeps copies of them, and asks it for copies.

use super::{Connection, post};
use async_channel::{Receiver, Sender};
use radishpin_core::request::{OriginRequest, StreamOrigin};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use std::net::SocketAddr;

/// Path at which sidecars take [`OriginRequest`]s.
pub(crate) const ORIGINS_PATH: &str = "/stream-origins";
/// Longest time for one exchange, connecting included.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest answer that is read, in bytes.
const ORIGIN_BYTES_MAX: usize = 16 * 1024;

/// A request to a sidecar's copies; the answer goes to `reply`, where the sender waits for one.
#[derive(Debug)]
pub(crate) struct OriginJob {
    pub(crate) request: OriginRequest,
    pub(crate) reply: Option<Sender<Option<StreamOrigin>>>,
}

/// Carries out jobs over one connection until the channel is closed. A job that fails gets no
/// answer: other sidecars have copies too.
pub(crate) async fn run_origin_link(
    runtime: Runtime,
    sidecar: SocketAddr,
    jobs: Receiver<OriginJob>,
) {
    let mut connection = None;
    while let Ok(job) = jobs.recv().await {
        let exchange = exchange(&runtime, sidecar, &mut connection, &job.request);
        let cause = match timeout(ORIGIN_TIMEOUT, exchange).await {
            Some(Ok(found)) => {
                if let Some(reply) = job.reply {
                    // The request that waited may have been answered by another sidecar.
                    let _ = reply.try_send(found);
                }
                continue;
            }
            Some(Err(cause)) => cause.to_string(),
            None => "no answer in time".to_owned(),
        };
        connection = None;
        log::debug!(event = "origin_exchange_failed", sidecar:% = sidecar, cause = cause; "sidecar has no copy");
    }
}

async fn exchange(
    runtime: &Runtime,
    sidecar: SocketAddr,
    slot: &mut Option<Connection>,
    request: &OriginRequest,
) -> Result<Option<StreamOrigin>, Box<dyn std::error::Error + Send + Sync>> {
    let body = serde_json::to_vec(request)?;
    if let Some(mut connection) = slot.take()
        && let Ok(found) = send(&mut connection, sidecar, body.clone()).await
    {
        *slot = Some(connection);
        return Ok(found);
    }
    // The sidecar may have closed an idle connection, and both requests may be repeated.
    let mut connection = Connection::open(runtime, sidecar).await?;
    let found = send(&mut connection, sidecar, body).await?;
    *slot = Some(connection);
    Ok(found)
}

async fn send(
    connection: &mut Connection,
    sidecar: SocketAddr,
    body: Vec<u8>,
) -> Result<Option<StreamOrigin>, Box<dyn std::error::Error + Send + Sync>> {
    let response = post(
        connection,
        sidecar,
        ORIGINS_PATH,
        &[],
        body,
        ORIGIN_BYTES_MAX,
    )
    .await?;
    if response.status != 200 {
        return Err(format!("sidecar responded with status {}", response.status).into());
    }
    Ok(serde_json::from_slice(&response.body)?)
}
