//! What lives as long as a request.

mod attempt;
mod call;
mod events;
mod forward;
mod place;
mod response;
mod stream;

pub(crate) use forward::serve_request;
