//! Keeps to what endpoints state about when they take requests.

use super::Gateway;
use crate::request::{Assignment, Call};
use radishpin_core::process::Refusal;
use radishpin_protocol::prelude::*;

impl Gateway {
    /// Records that an endpoint said in its answer to a request that it drains. This is held against each process
    /// that may have given the answer, as all but one of them have ended.
    pub(crate) fn record_draining(&self, request: &str, assignment: &Assignment) {
        let started_unix_ms = assignment.endpoint_started_unix_ms;
        let mut fleet = self.fleet.lock();
        let mut is_news = fleet.record_draining(&assignment.endpoint, started_unix_ms);
        for other_start in &assignment.other_starts_unix_ms {
            is_news |= fleet.record_draining(&assignment.endpoint, *other_start);
        }
        if !is_news {
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

    /// Records that an endpoint turned a request away and wants none for a while.
    pub(crate) fn record_backoff(&self, request: &str, assignment: &Assignment, backoff: Duration) {
        let started_unix_ms = assignment.endpoint_started_unix_ms;
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        fleet.record_backoff(&assignment.endpoint, started_unix_ms, backoff, now);
        drop(fleet);
        log::info!(
            event = "endpoint_backoff", request = request, endpoint = assignment.endpoint,
            started_unix_ms = started_unix_ms,
            backoff_ms = u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX);
            "an endpoint asks for a backoff"
        );
        self.fleet_changed.notify(usize::MAX);
    }

    /// The refusal of a request that endpoints turned away, if all that could serve it asked for
    /// backoffs.
    pub(crate) fn backoff_refusal(
        &self,
        call: &Call,
        software_version: Option<&str>,
    ) -> Option<Refusal> {
        let model = call.target().map(|(model, _)| model);
        let now = self.clock.now();
        let fleet = self.fleet.lock();
        let left = fleet.backoff_left(&call.service, model, software_version, now)?;
        Some(Refusal::endpoint_backoff(left, call.random))
    }
}
