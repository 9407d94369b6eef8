//! The agent's gRPC service for nodes. Every call must carry the internal token.

use crate::{
    agent::{Agent, request::AttemptStream},
    rpc::require_token,
};
use radishpin_core::request::TombstoneOutcome;
use radishpin_protocol::{
    prelude::*,
    wire::{
        ExecuteRequest, SyncReply, SyncRequest, TombstoneReply, TombstoneRequest, agent_server,
        tombstone_reply,
    },
};
use std::sync::Arc;
use tonic::{Request, Response, Status};

/// Maximum length of a request ID.
const REQUEST_ID_BYTES_MAX: usize = 256;

/// Implements the gRPC service on top of an [`Agent`].
#[derive(Clone, Debug)]
pub(in crate::agent) struct AgentService {
    agent: Arc<Agent>,
}

impl AgentService {
    /// Creates the service; it holds a reference to `agent` for as long as it serves.
    pub(in crate::agent) fn new(agent: Arc<Agent>) -> Self {
        Self { agent }
    }
}

#[tonic::async_trait]
impl agent_server::Agent for AgentService {
    type ExecuteStream = AttemptStream;

    async fn execute(
        &self,
        request: Request<ExecuteRequest>,
    ) -> Result<Response<Self::ExecuteStream>, Status> {
        require_token(request.metadata(), &self.agent.settings.internal_token)?;
        let call = request.into_inner();
        check_request_id(&call.request_id, call.attempt)?;
        let agent = Arc::clone(&self.agent);
        let stream = AttemptStream::new(|frames| agent.run_attempt(call, frames));
        Ok(Response::new(stream))
    }

    async fn tombstone(
        &self,
        request: Request<TombstoneRequest>,
    ) -> Result<Response<TombstoneReply>, Status> {
        require_token(request.metadata(), &self.agent.settings.internal_token)?;
        let call = request.into_inner();
        check_request_id(&call.request_id, call.attempt)?;
        let id = AttemptId {
            request_id: call.request_id,
            number: call.attempt,
        };
        let outcome = wire_outcome(self.agent.tombstone(&id));
        Ok(Response::new(TombstoneReply {
            outcome: outcome.into(),
            incarnation: self.agent.incarnation(),
        }))
    }

    async fn sync(&self, request: Request<SyncRequest>) -> Result<Response<SyncReply>, Status> {
        require_token(request.metadata(), &self.agent.settings.internal_token)?;
        Ok(Response::new(self.agent.sync(request.into_inner())))
    }
}

// Tonic's handlers return `Status`, so its size cannot be avoided here.
#[allow(clippy::result_large_err)]
fn check_request_id(request_id: &str, attempt: u32) -> Result<(), Status> {
    // The ID is sent to the endpoint in a header, so it must be a valid header value.
    let visible = request_id.bytes().all(|byte| byte.is_ascii_graphic());
    let valid_id = visible && (1..=REQUEST_ID_BYTES_MAX).contains(&request_id.len());
    if !valid_id || attempt == 0 {
        return Err(Status::invalid_argument(
            "request_id must have 1 to 256 visible ASCII characters and attempt must be at least 1",
        ));
    }
    Ok(())
}

const fn wire_outcome(outcome: TombstoneOutcome) -> tombstone_reply::Outcome {
    match outcome {
        TombstoneOutcome::NeverRuns => tombstone_reply::Outcome::NeverRuns,
        TombstoneOutcome::Started => tombstone_reply::Outcome::Started,
        TombstoneOutcome::Finished => tombstone_reply::Outcome::Finished,
        TombstoneOutcome::Unknown => tombstone_reply::Outcome::Unspecified,
    }
}
