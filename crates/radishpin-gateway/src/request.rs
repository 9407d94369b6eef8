//! Handling of one request: from its routing to the end of its response.

mod assignment;
mod attempt;
mod body;
mod call;
mod events;
mod fingerprint;
mod forward;
mod origin;
mod response;
mod sender;
mod stream;
mod stream_version;

pub(crate) use assignment::Assignment;
pub(crate) use call::Call;
pub(crate) use forward::serve_request;
pub(crate) use sender::Sender;
