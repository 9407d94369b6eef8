//! Which endpoints can serve a request at all.

use super::{Fleet, PickQuery, endpoint::Endpoint};
use radishpin_protocol::prelude::*;

impl Fleet {
    /// Time until the first endpoint that could serve a request is back from the backoff that it asked
    /// for; `None` if there is one without backoff, or none at all.
    pub fn backoff_left(
        &self,
        service: &str,
        model: Option<&str>,
        software_version: Option<&str>,
        now: Duration,
    ) -> Option<Duration> {
        let could_serve = self.endpoints.values().filter(|endpoint| {
            endpoint.entry.service == service
                && endpoint.is_ready()
                && endpoint.may_serve_version(software_version)
                && model
                    .is_none_or(|model| endpoint.accepts_requests(now) && endpoint.serves(model))
        });
        let backoffs = could_serve.map(|endpoint| endpoint.requested_backoff_left(now));
        backoffs.min().filter(|left| !left.is_zero())
    }
}

/// Whether an endpoint can serve a request but for its limit.
pub(super) fn is_usable(
    id: &str,
    endpoint: &Endpoint,
    query: &PickQuery<'_>,
    now: Duration,
) -> bool {
    endpoint.entry.service == query.service
        && endpoint.accepts_requests(now)
        && endpoint.requested_backoff_left(now).is_zero()
        && endpoint.may_serve_version(query.software_version)
        && !query.tried.contains(id)
        && query.target.is_none_or(|(model, _)| endpoint.serves(model))
}

/// Whether an endpoint has loaded the adapter that a request needs, if any.
pub(super) fn has_adapter(endpoint: &Endpoint, query: &PickQuery<'_>) -> bool {
    match query.target {
        Some((model, Some(adapter))) => endpoint.has_adapter(model, adapter),
        Some((_, None)) | None => true,
    }
}
