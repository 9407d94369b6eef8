//! A caller's request after parsing.

use radishpin_protocol::{prelude::*, wire::Header};

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::node) enum CallKind {
    /// A completion by a model.
    Model {
        /// ID of the model, also where the request names one of its adapters.
        model: ModelId,
        /// Adapter to apply to the model, with its size; `None` for the model alone.
        adapter: Option<(AdapterId, SizeMb)>,
        /// Whether the caller asked for a stream of events.
        stream: bool,
    },
    /// A call to a plain service, which runs no models.
    Service,
}

/// A valid request for a model or service that exists.
#[derive(Clone, Debug)]
pub(in crate::node) struct Call {
    /// ID assigned by this node; unique among all nodes.
    pub id: RequestId,
    /// ID for logs and for the caller: the one in the caller's `x-request-id` header, or else `id`.
    pub external_id: String,
    /// Target and type of the call.
    pub kind: CallKind,
    /// Service whose profile applies to the call: the model's, or the plain service itself.
    pub service: ServiceId,
    /// HTTP method, passed on to the endpoint.
    pub method: String,
    /// Path at the endpoint; with the query for a plain service.
    pub path: String,
    /// Headers that are forwarded to the endpoint.
    pub headers: Vec<Header>,
    /// Request body, forwarded unchanged.
    pub body: Vec<u8>,
    /// Priority, 0 (lowest) to 9.
    pub priority: u32,
    /// Whether the call may run more than once: by its profile or because its method is safe.
    pub idempotent: bool,
    /// Value of the `Idempotency-Key` header; has no effect if the call is idempotent.
    pub idempotency_key: Option<String>,
    /// How long the caller waits for the start of the response, and between two events of a stream.
    pub patience: Duration,
    /// When the caller stops waiting, by the node's clock; extended when a broken stream resumes.
    pub deadline: Duration,
}

impl Call {
    /// Whether the caller asked for a stream of events.
    pub(in crate::node) const fn is_stream(&self) -> bool {
        matches!(self.kind, CallKind::Model { stream: true, .. })
    }

    /// ID of the model; `None` for a plain service.
    pub(in crate::node) const fn model(&self) -> Option<&ModelId> {
        match &self.kind {
            CallKind::Model { model, .. } => Some(model),
            CallKind::Service => None,
        }
    }

    /// Time left until the deadline; zero once it has passed.
    pub(in crate::node) const fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }
}
