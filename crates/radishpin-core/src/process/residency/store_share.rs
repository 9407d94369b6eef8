//! How many loads from the weight store one sidecar may begin.

use radishpin_protocol::prelude::*;

/// One sidecar's share of the loads that the weight store allows to all of them. Sidecars don't
/// ask each other: each keeps to its share whatever the others do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLoadShare {
    /// Loads that it may begin in a window.
    pub loads: usize,
    /// The window; it slides.
    pub window: Duration,
}

impl StoreLoadShare {
    /// The share where `engines` sidecars together may begin `loads_per_s`, counted in windows of
    /// `window`. Where there are more sidecars than loads, each takes one in several windows.
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
