//! Functions shared by the commands that run a role.

use crate::CommandError;
use radishpin_http::{Client, ClientLimits, Shutdown};
use radishpin_platform::{HttpPlatform, Platform};
use radishpin_runtime::StopSignals;
use std::{future::Future, net::SocketAddr, sync::Arc};

/// Creates a client of the platform at `address`, with default limits.
pub(crate) fn platform_client(address: SocketAddr) -> Result<Arc<dyn Platform>, CommandError> {
    let client = Client::new(ClientLimits::default());
    Ok(Arc::new(HttpPlatform::new(client, address)?))
}

/// Prints `ready` with the role's addresses, waits for a stop signal, then starts the shutdown and
/// waits for `stopped`, which completes when the role has drained.
pub(crate) async fn run_until_stop_signal(
    addresses: &str,
    shutdown: Shutdown,
    stopped: impl Future<Output = ()>,
) -> Result<(), CommandError> {
    let mut stop_signals = StopSignals::register()?;
    // Written as a single line: the parent process may stop reading after it.
    println!("ready {addresses}");
    stop_signals.wait().await?;
    shutdown.begin();
    stopped.await;
    Ok(())
}
