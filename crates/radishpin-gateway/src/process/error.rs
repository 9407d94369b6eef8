//! The error of gateway and sidecar processes.

use quick_error::quick_error;
use radishpin_adapter::DecodeError;
use std::{io, net::SocketAddr, path::PathBuf};

quick_error! {
    /// Why a gateway or sidecar cannot start or keep running.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum GatewayError {
        /// The settings file cannot be read.
        SettingsFile(path: PathBuf, cause: io::Error) {
            display("cannot read the settings file {}: {cause}; check the path and its permissions", path.display())
            source(cause)
        }
        /// The settings file is not valid JSON, or a field is missing or invalid.
        Settings(path: PathBuf, cause: DecodeError) {
            display("settings file {}: {cause}; correct the file and start again", path.display())
            source(cause)
        }
        /// A setting that this role requires is missing.
        MissingSetting(setting: &'static str) {
            display("the settings contain no {setting}, which this role requires; run it on hosts whose settings contain one")
        }
        /// Listening on an address failed.
        Listen(address: SocketAddr, cause: io::Error) {
            display("cannot listen on {address}: {cause}; is another process using it?")
            source(cause)
        }
        /// Threads, signal handlers or metrics cannot be set up.
        Process(cause: io::Error) {
            display("cannot set up the process: {cause}")
            source(cause)
            from()
        }
    }
}
