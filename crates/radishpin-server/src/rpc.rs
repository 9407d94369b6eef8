//! `tonic` over hyper's HTTP/2 on smol: the transport between radishpin's own processes.

mod channel;
mod listener;
mod preface;
mod token;

pub use channel::{Channel, ChannelError};
pub use listener::serve_rpc;
pub use token::require_token;
