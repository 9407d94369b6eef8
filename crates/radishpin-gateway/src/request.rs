//! What lives as long as a request.

mod answer;
mod attempt;
mod call;
mod events;
mod forward;
mod place;
mod stream;

pub(crate) use forward::serve_request;
