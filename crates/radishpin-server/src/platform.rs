//! Creation of the platform client that nodes and agents use.

use prometheus::Registry;
use radishpin_platform::{ClientSettings, Platform, PlatformClient, PlatformMetrics};
use std::sync::Arc;

/// Creates a platform client with default settings whose metrics are in `registry`.
///
/// The seed is random, so that no two clients share operation IDs.
pub(crate) fn platform_client(platform: Arc<dyn Platform>, registry: &Registry) -> PlatformClient {
    let metrics = match PlatformMetrics::register(registry) {
        Ok(metrics) => metrics,
        // Metric names are constants, so an invalid one is a bug.
        Err(cause) => panic!("the platform's metrics are malformed: {cause}"),
    };
    PlatformClient::new(platform, ClientSettings::default(), metrics, rand::random())
}
