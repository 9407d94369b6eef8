//! Errors on starting a node.

use quick_error::quick_error;

quick_error! {
    /// Why a node cannot start.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum NodeError {
        /// A listening address is in use or does not belong to this host.
        Listen(address: std::net::SocketAddr, cause: std::io::Error) {
            display("cannot listen at {address}: {cause}; choose a free address of this host")
            source(cause)
        }
    }
}
