//! Rate limit of a sidecar's loads from the weight store.

use radishpin_protocol::prelude::*;

/// One sidecar's share of the loads that the weight store permits to all sidecars. Sidecars do not
/// coordinate: each stays within its share regardless of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLoadShare {
    /// Number of loads that the sidecar may start per window, at least 1.
    pub loads: usize,
    /// Length of the sliding window.
    pub window: Duration,
}

impl StoreLoadShare {
    /// Computes the share if `engines` sidecars together may start `loads_per_s`, counted over
    /// `window`. With more sidecars than loads per window, each may start one load per several
    /// windows.
    pub fn new(engines: u32, loads_per_s: f64, window: Duration) -> Self {
        let engines = f64::from(engines.max(1));
        let allowed = (loads_per_s * window.as_secs_f64()).max(1.0);
        let windows = (engines / allowed).ceil().max(1.0);
        Self {
            loads: ((allowed / engines) as usize).max(1),
            window: window.mul_f64(windows),
        }
    }
}
