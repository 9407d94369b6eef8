//! A caller's request, understood: whose profile governs it, and how long its caller waits.

use radishpin_protocol::{prelude::*, wire::Header};

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::node) enum CallKind {
    /// A completion by a model.
    Model {
        /// The model.
        model: ModelId,
        /// The adapter on top of it, with its size.
        adapter: Option<(AdapterId, SizeMb)>,
        /// Whether the answer is a stream of events.
        stream: bool,
    },
    /// A call to a plain service.
    Service,
}

/// A request that is well-formed and names something that exists.
#[derive(Clone, Debug)]
pub(in crate::node) struct Call {
    /// Id made by this node; unique among all nodes.
    pub id: RequestId,
    /// Id that the caller gave, or `id`.
    pub external_id: String,
    /// What it asks for.
    pub kind: CallKind,
    /// The service whose profile governs it.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path and query at the endpoint.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
    /// Priority, 0 (lowest) to 9.
    pub priority: u32,
    /// Whether it may run more than once without harm.
    pub idempotent: bool,
    /// The caller's key for a call that may run once only.
    pub idempotency_key: Option<String>,
    /// How long the caller waits for the start of the answer.
    pub patience: Duration,
    /// When the caller stops waiting for the start of the answer, on the node's clock.
    pub deadline: Duration,
}

impl Call {
    /// Whether the answer is a stream of events.
    pub(in crate::node) const fn is_stream(&self) -> bool {
        matches!(self.kind, CallKind::Model { stream: true, .. })
    }

    /// Name of the model; `None` for a plain service.
    pub(in crate::node) const fn model(&self) -> Option<&ModelId> {
        match &self.kind {
            CallKind::Model { model, .. } => Some(model),
            CallKind::Service => None,
        }
    }

    /// Time left until the deadline.
    pub(in crate::node) const fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }
}
