//! Why the embedded system cannot start.

use quick_error::quick_error;

quick_error! {
    /// Why the embedded system cannot start.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum LocalError {
        /// A loopback address cannot be taken.
        Listen(cause: std::io::Error) {
            display("cannot listen on loopback: {cause}")
            source(cause)
            from()
        }
        /// A node cannot start.
        Node(cause: radishpin_server::NodeError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// An agent cannot start.
        Agent(cause: radishpin_server::AgentError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A token is malformed.
        Token(cause: radishpin_server::TokenError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A seeded record cannot be written as JSON.
        Record(cause: serde_json::Error) {
            display("cannot write a record: {cause}")
            source(cause)
            from()
        }
    }
}
