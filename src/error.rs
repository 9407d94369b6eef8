//! Why a command failed.

use crate::settings::Fault;
use quick_error::quick_error;
use std::net::SocketAddr;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum CommandError {
        /// Settings are missing or out of range; all faults found.
        Settings(faults: Vec<Fault>) {
            display("{}", lines(faults))
            from()
        }
        /// A file cannot be read.
        File { path: String, cause: std::io::Error } {
            display("{path}: {cause}; check the path and its permissions")
            source(cause)
        }
        /// A document is not valid; all faults found.
        Document { lines: Vec<String> } {
            display("{}", lines.join("\n"))
        }
        /// The operators' API cannot be reached, or its answer cannot be read.
        Server { address: SocketAddr, cause: String } {
            display("{address}: {cause}; check --server and whether the node runs")
        }
        /// The order was sent, and no answer came.
        NoResponse { address: SocketAddr, cause: String, outcome_hint: String } {
            display("{address}: {cause}; whether the order was accepted is not known: {outcome_hint}")
        }
        /// The operators' API refused the order.
        Refused { text: String } {
            display("{text}")
        }
        /// A node cannot start.
        Node(cause: radishpin_server::NodeError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// A gateway or sidecar cannot start.
        Gateway(cause: radishpin_gateway::GatewayError) {
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
        /// The embedded system cannot start.
        Local(cause: radishpin_local::LocalError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The platform's address is of no use.
        Platform(cause: radishpin_platform::PlatformError) {
            display("{cause}; check --platform")
            source(cause)
            from()
        }
        /// A measured run cannot be made.
        Load { cause: String } {
            display("{cause}")
        }
        /// A measured run found a broken promise; its report tells more.
        GuaranteeViolated { text: String } {
            display("{text}")
        }
        /// No line of the logs is about the request.
        NotInLogs { id: String, covered: String } {
            display("no line about request {id} in {covered}; check the id, and whether the logs of all gateways of that time are given")
        }
        /// Standard output or another local resource failed.
        Io(cause: std::io::Error) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
