//! What the choice of an endpoint depends on, and its outcome.

use super::{LoadTarget, Refusal};
use crate::{process::Standing, request::RequestRate};
use radishpin_protocol::{UnixMs, prelude::*};
use std::net::SocketAddr;

/// Time from the end of a load to the first token; a request with no more time left than this
/// stops waiting.
pub const FIRST_TOKEN_LATENCY: Duration = Duration::from_millis(100);

/// A request to be routed, with what the choice depends on.
#[derive(Clone, Debug)]
pub struct PickQuery<'a> {
    /// Service whose endpoints may serve it.
    pub service: &'a str,
    /// Model and adapter that it needs; `None` for a plain service.
    pub target: Option<(&'a str, Option<&'a str>)>,
    /// Software version of the endpoints that may serve it: a stream is resumed only at the version that
    /// began it, and a request that crashed endpoints of one version is sent to those of another one.
    /// `None` if any may.
    pub software_version: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// How its customer stands compared with others; [`Standing::Within`] without customers.
    pub standing: Standing,
    /// Time until its caller leaves if no part of the answer arrives, or until the gateway refuses
    /// waiting requests before it exits, whichever comes first.
    pub time_left: Duration,
    /// Whether the gateway stops before the caller would leave; the caller should then retry at
    /// another gateway.
    pub stopping: bool,
    /// Time that it has waited for a load so far; zero before the first wait.
    pub waited: Duration,
    /// Whether a wait may move to another endpoint that could serve it sooner.
    pub reconsider: bool,
    /// Tokens of its prompt; 0 where there is none or the number is unknown.
    pub prompt_tokens: u32,
    /// Endpoints that it was already sent to; it is not sent to these again.
    pub tried: &'a BTreeSet<EndpointId>,
    /// Random number for the jitter of Retry-After times.
    pub random: u64,
}

impl PickQuery<'_> {
    /// What a caller with this request waits for; `None` for a plain service.
    pub fn load_target(&self) -> Option<LoadTarget> {
        let (model, adapter) = self.target?;
        Some(LoadTarget {
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
            software_version: self.software_version.map(str::to_owned),
        })
    }
}

/// Routing decision for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// Send it to this endpoint, where it is already counted as begun.
    Send {
        /// The endpoint.
        endpoint: EndpointId,
        /// Address for requests.
        address: SocketAddr,
        /// State of the endpoint before the request was counted, for the log line.
        snapshot: EndpointSnapshot,
    },
    /// Wait for a load.
    Wait(Wait),
    /// Take a slot under the limit of an endpoint, and wait for it.
    TakeSlot(SlotWait),
    /// Refuse it, as it cannot be served in time; it has not run.
    Refuse(Refusal),
}

/// State of an endpoint when a request was sent to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSnapshot {
    /// Estimated number of requests that the endpoint runs or queues.
    pub load: u32,
    /// Whether all its slots were in use.
    pub is_full: bool,
    /// Version of its sidecar's status; 0 if there is none and only the platform lists it.
    pub status_version: u64,
    /// Age of that status; zero if there is none.
    pub status_age: Duration,
    /// Version of its software; `None` if it is not known for the endpoint's last start.
    pub software_version: Option<SoftwareVersion>,
    /// Unix time of its last known start in milliseconds; 0 if unknown.
    pub started_unix_ms: UnixMs,
    /// Starts of the other processes that may answer: after a restart with the clock set back, the list, the
    /// sidecar and the first entry of the new process differ for a while. All but one of them have ended.
    pub other_starts_unix_ms: BTreeSet<UnixMs>,
    /// Requests a second that it takes from all gateways together; `None` if it states no limit.
    pub limit: Option<RequestRate>,
}

/// A wait for a load.
#[derive(Clone, Debug, PartialEq)]
pub struct Wait {
    /// Endpoint that is to load the model or adapter.
    pub endpoint: EndpointId,
    /// Estimated time until it serves the request; zero for an adapter.
    pub estimate: Duration,
}

/// A wait for a slot at an endpoint that states a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotWait {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests a second that it takes from all gateways together.
    pub limit: RequestRate,
    /// Longest useful wait: later the request is served sooner elsewhere, or not in time.
    pub wait_max: Duration,
}
