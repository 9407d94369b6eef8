//! What lives for one attempt of a request.

mod attempt;
mod frames;
mod guards;
mod refusal;
mod relay;
mod target_loading;

pub(super) use frames::{AttemptStream, Frames};
pub(super) use refusal::AttemptRefusal;
