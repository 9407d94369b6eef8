//! The platform's client as nodes and agents make it.

use prometheus::Registry;
use radishpin_platform::{ClientSettings, Platform, PlatformClient, PlatformMetrics};
use std::sync::Arc;

/// A client whose metrics are in `registry`.
pub(crate) fn platform_client(platform: Arc<dyn Platform>, registry: &Registry) -> PlatformClient {
    let metrics = match PlatformMetrics::register(registry) {
        Ok(metrics) => metrics,
        // Names of metrics are constants, so this is a fault of the program.
        Err(cause) => panic!("the platform's metrics are malformed: {cause}"),
    };
    PlatformClient::new(platform, ClientSettings::default(), metrics, rand::random())
}
