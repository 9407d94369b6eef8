//! Why a process cannot start.

use quick_error::quick_error;
use radishpin_adapter::DecodeError;
use std::{io, net::SocketAddr, path::PathBuf};

quick_error! {
    /// Why a gateway or sidecar cannot start or go on.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum GatewayError {
        /// The settings file cannot be read.
        SettingsFile(path: PathBuf, cause: io::Error) {
            display("cannot read the settings file {}: {cause}; check the path and its rights", path.display())
            source(cause)
        }
        /// The settings file is not of the expected form.
        Settings(path: PathBuf, cause: DecodeError) {
            display("settings file {}: {cause}; correct the field and start again", path.display())
            source(cause)
        }
        /// A setting that this role needs is missing.
        MissingSetting(what: &'static str) {
            display("the settings hold no {what}, which this role needs; run it on another class of hosts")
        }
        /// An address cannot be listened on.
        Listen(address: SocketAddr, cause: io::Error) {
            display("cannot listen on {address}: {cause}; is another process using it?")
            source(cause)
        }
        /// Threads or signal handlers cannot be had.
        Process(cause: io::Error) {
            display("cannot set up the process: {cause}")
            source(cause)
            from()
        }
    }
}
