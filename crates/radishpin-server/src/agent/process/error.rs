//! Why an agent cannot start.

use quick_error::quick_error;

quick_error! {
    /// Why an agent cannot start.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum AgentError {
        /// The listening address is taken or not of this host.
        Listen(address: std::net::SocketAddr, cause: std::io::Error) {
            display("cannot listen at {address}: {cause}; an earlier agent may still run there")
            source(cause)
        }
        /// The registration is refused for good.
        Registration(cause: String) {
            display("cannot register the endpoint: {cause}")
        }
    }
}
