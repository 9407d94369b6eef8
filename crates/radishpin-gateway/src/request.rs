//! What lives as long as a request.

mod assignment;
mod attempt;
mod call;
mod events;
mod forward;
mod response;
mod stream;

pub(crate) use forward::serve_request;
