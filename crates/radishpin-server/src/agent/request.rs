//! Execution of one attempt of a request, from admission to the last frame of its response.

mod attempt;
mod frames;
mod guards;
mod refusal;
mod relay;
mod target_loading;

pub(super) use frames::{AttemptStream, Frames};
pub(super) use refusal::AttemptRefusal;
