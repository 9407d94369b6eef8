//! Errors of commands.

use crate::settings::Fault;
use quick_error::quick_error;
use std::net::SocketAddr;

quick_error! {
    /// The reason why a command failed, as printed to standard error.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum CommandError {
        /// Settings are missing or invalid; holds every fault that was found.
        Settings(faults: Vec<Fault>) {
            display("{}", lines(faults))
            from()
        }
        /// A file that the command reads could not be opened or read.
        File { path: String, cause: std::io::Error } {
            display("{path}: {cause}; check the path and its permissions")
            source(cause)
        }
        /// A document is invalid; holds one line per fault that was found.
        Document { lines: Vec<String> } {
            display("{}", lines.join("\n"))
        }
        /// The operators' API cannot be reached, or its response cannot be read.
        Server { address: SocketAddr, cause: String } {
            display("{address}: {cause}; check --server and whether the node runs")
        }
        /// A change was sent, but no complete response arrived, so it may or may not have been
        /// accepted.
        NoResponse { address: SocketAddr, cause: String, outcome_hint: String } {
            display("{address}: {cause}; whether the order was accepted is not known: {outcome_hint}")
        }
        /// The operators' API refused the request; holds the text to print.
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
        /// The platform's address cannot be used.
        Platform(cause: radishpin_platform::PlatformError) {
            display("{cause}; check --platform")
            source(cause)
            from()
        }
        /// A load run cannot be started or completed.
        Load { cause: String } {
            display("{cause}")
        }
        /// A load run found a violated guarantee; its report has the details.
        GuaranteeViolated { text: String } {
            display("{text}")
        }
        /// The given log files contain no line about the request.
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
