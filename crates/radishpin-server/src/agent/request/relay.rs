//! Forwards a started attempt to the endpoint and relays the response in chunks.

use super::{AttemptRefusal, Frames};
use crate::agent::{
    Agent,
    connection::{EndpointError, EndpointResponse, StreamEvent},
};
use radishpin_protocol::{
    prelude::*,
    wire::{Chunk, ExecuteRequest, Head, execute_reply::Frame},
};
use radishpin_runtime::timeout;

/// Number of stream events from one that carries the endpoint's load to the next.
const EVENTS_PER_LOAD: u64 = 16;

/// Calls the endpoint and sends the response as frames.
///
/// # Errors
/// The endpoint refused the call, or its response is missing, incomplete or for another attempt.
pub(super) async fn relay(
    agent: &Agent,
    request: &ExecuteRequest,
    frames: &Frames,
    deadline: Duration,
) -> Result<(), AttemptRefusal> {
    let left = deadline.saturating_sub(agent.clock.now());
    let call = agent.endpoint.call(request);
    let response = match timeout(left, call).await {
        Some(response) => response.map_err(|e| refusal_of(agent, &e))?,
        None => {
            let detail = "the endpoint did not begin its answer before the deadline";
            return Err(AttemptRefusal::unknown(
                ResultCode::DeadlinePassedStarted,
                detail,
            ));
        }
    };
    frames.send(Frame::Head(head_of(&response)), None).await;
    if response.is_event_stream() {
        relay_events(agent, request, response, frames).await
    } else {
        relay_body(agent, response, frames).await
    }
}

fn head_of(response: &EndpointResponse) -> Head {
    Head {
        status: u32::from(response.status()),
        headers: response.headers(),
    }
}

async fn relay_events(
    agent: &Agent,
    request: &ExecuteRequest,
    mut response: EndpointResponse,
    frames: &Frames,
) -> Result<(), AttemptRefusal> {
    let mut offset = request.resume_offset;
    loop {
        match response
            .next_event()
            .await
            .map_err(|e| refusal_of(agent, &e))?
        {
            StreamEvent::Data(data) => {
                let chunk = Chunk { offset, data };
                let load = offset.is_multiple_of(EVENTS_PER_LOAD).then(|| agent.load());
                frames.send(Frame::Chunk(chunk), load).await;
                offset = offset.saturating_add(1);
                if agent.leaving_state.must_move_streams(agent.clock.now()) {
                    let detail = "the endpoint stops soon and the stream goes on elsewhere";
                    return Err(AttemptRefusal::unknown(ResultCode::EndpointLeaving, detail));
                }
            }
            StreamEvent::Done => return Ok(()),
        }
    }
}

async fn relay_body(
    agent: &Agent,
    mut response: EndpointResponse,
    frames: &Frames,
) -> Result<(), AttemptRefusal> {
    let mut offset = 0;
    loop {
        let data = response
            .next_bytes()
            .await
            .map_err(|e| refusal_of(agent, &e))?;
        if data.is_empty() {
            return Ok(());
        }
        frames
            .send(Frame::Chunk(Chunk { offset, data }), None)
            .await;
        offset += 1;
    }
}

fn refusal_of(agent: &Agent, error: &EndpointError) -> AttemptRefusal {
    let detail = error.to_string();
    match error {
        EndpointError::Connect(_) => AttemptRefusal::not_run(ResultCode::NoEndpoint, detail),
        EndpointError::NotLoaded => {
            // The endpoint lost the model, most likely in a restart, so read its report now.
            agent.report_requested.notify(1);
            AttemptRefusal::not_run(ResultCode::LoadFailed, detail)
        }
        EndpointError::Refused => AttemptRefusal::not_run(ResultCode::NoEndpoint, detail),
        EndpointError::Malformed(_) => AttemptRefusal::not_run(ResultCode::InvalidField, detail),
        EndpointError::Crossed => AttemptRefusal::unknown(ResultCode::AnswerCrossed, detail),
        EndpointError::Failed(_) | EndpointError::Broken(_) => {
            AttemptRefusal::unknown(ResultCode::OutcomeUnknown, detail)
        }
        EndpointError::Truncated => AttemptRefusal::unknown(ResultCode::AnswerBroken, detail),
    }
}
