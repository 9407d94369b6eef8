//! Requests to one sidecar that holds shared state.

use super::{Connection, post};
use async_channel::{Receiver, Sender};
use radishpin_core::process::{SharedReply, SharedRequest};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use std::net::SocketAddr;

/// Path at which sidecars take [`SharedRequest`]s.
pub(crate) const SHARED_STATE_PATH: &str = "/shared-state";
/// Longest time for one exchange, connecting included.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Largest message that is read, in bytes: a whole table of crashes takes less.
pub(crate) const SHARED_BYTES_MAX: usize = 1024 * 1024;

/// A request to a sidecar; the answer goes to `reply`, where the sender waits for one.
#[derive(Debug)]
pub(crate) struct SharedJob {
    pub(crate) request: SharedRequest,
    pub(crate) reply: Option<Sender<SharedReply>>,
}

/// Carries out jobs over one connection until the channel is closed. A job that fails gets no
/// answer: other sidecars hold the same state.
pub(crate) async fn run_shared_link(
    runtime: Runtime,
    sidecar: SocketAddr,
    jobs: Receiver<SharedJob>,
) {
    let mut connection = None;
    while let Ok(job) = jobs.recv().await {
        let exchange = exchange_shared(&runtime, sidecar, &mut connection, &job.request);
        let cause = match timeout(EXCHANGE_TIMEOUT, exchange).await {
            Some(Ok(answer)) => {
                if let Some(reply) = job.reply {
                    // The request that waited may have been answered by another sidecar.
                    let _ = reply.try_send(answer);
                }
                continue;
            }
            Some(Err(cause)) => cause.to_string(),
            None => "no answer in time".to_owned(),
        };
        connection = None;
        log::debug!(event = "shared_exchange_failed", sidecar:% = sidecar, cause = cause; "sidecar does not share its state");
    }
}

/// Makes one exchange over the connection in `slot`, or a new one.
pub(crate) async fn exchange_shared(
    runtime: &Runtime,
    sidecar: SocketAddr,
    slot: &mut Option<Connection>,
    request: &SharedRequest,
) -> Result<SharedReply, Box<dyn std::error::Error + Send + Sync>> {
    let body = serde_json::to_vec(request)?;
    if let Some(mut connection) = slot.take()
        && let Ok(answer) = send(&mut connection, sidecar, body.clone()).await
    {
        *slot = Some(connection);
        return Ok(answer);
    }
    // The sidecar may have closed an idle connection. A permit that is asked for twice is lost at worst.
    let mut connection = Connection::open(runtime, sidecar).await?;
    let answer = send(&mut connection, sidecar, body).await?;
    *slot = Some(connection);
    Ok(answer)
}

async fn send(
    connection: &mut Connection,
    sidecar: SocketAddr,
    body: Vec<u8>,
) -> Result<SharedReply, Box<dyn std::error::Error + Send + Sync>> {
    let response = post(
        connection,
        sidecar,
        SHARED_STATE_PATH,
        &[],
        body,
        SHARED_BYTES_MAX,
    )
    .await?;
    if response.status != 200 {
        return Err(format!("sidecar responded with status {}", response.status).into());
    }
    Ok(serde_json::from_slice(&response.body)?)
}
