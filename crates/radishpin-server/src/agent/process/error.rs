//! Errors on starting an agent.

use quick_error::quick_error;

quick_error! {
    /// Why an agent cannot start.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum AgentError {
        /// The listening address is in use or does not belong to this host.
        Listen(address: std::net::SocketAddr, cause: std::io::Error) {
            display("cannot listen at {address}: {cause}; an earlier agent may still be running there")
            source(cause)
        }
        /// The registration was refused and retrying cannot help.
        Registration(cause: String) {
            display("cannot register the endpoint: {cause}")
        }
    }
}
