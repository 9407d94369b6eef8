//! Keeps to what endpoints state about when they take requests.

use super::Gateway;
use crate::request::Assignment;

impl Gateway {
    /// Records that an endpoint said in its answer to a request that it drains.
    pub(crate) fn record_draining(&self, request: &str, assignment: &Assignment) {
        let started_unix_ms = assignment.endpoint_started_unix_ms;
        let mut fleet = self.fleet.lock();
        if !fleet.record_draining(&assignment.endpoint, started_unix_ms) {
            return;
        }
        drop(fleet);
        log::info!(
            event = "endpoint_drains", request = request, endpoint = assignment.endpoint,
            started_unix_ms = started_unix_ms;
            "an endpoint says that it drains"
        );
        // Requests that wait for a load or a slot there look for another endpoint.
        self.fleet_changed.notify(usize::MAX);
    }
}
