//! RPC transport between radishpin's processes: `tonic` over hyper's HTTP/2 on `smol`.

mod channel;
mod listener;
mod preface;
mod token;

pub use channel::{Channel, ChannelError};
pub use listener::serve_rpc;
pub use token::require_token;
