//! What the commands that run a role have in common.

use crate::{CommandError, signals::wait_for_stop_signal};
use radishpin_http::{Client, ClientLimits, Shutdown};
use radishpin_platform::{HttpPlatform, Platform};
use std::{future::Future, net::SocketAddr, sync::Arc};

/// The platform at an address.
pub(crate) fn platform_client(address: SocketAddr) -> Result<Arc<dyn Platform>, CommandError> {
    let client = Client::new(ClientLimits::default());
    Ok(Arc::new(HttpPlatform::new(client, address)?))
}

/// Says that the role is ready and at which addresses, waits until the process is asked to stop, and drains.
pub(crate) async fn run_until_stop_signal(
    addresses: &str,
    shutdown: Shutdown,
    stopped: impl Future<Output = ()>,
) -> Result<(), CommandError> {
    // One write: whoever starts the role may stop reading after its first line.
    println!("ready {addresses}");
    wait_for_stop_signal().await?;
    shutdown.begin();
    stopped.await;
    Ok(())
}
