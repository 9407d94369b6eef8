//! Gateways and sidecars: the serving path on a platform with a table store.
//!
//! A gateway receives callers' requests and forwards them directly to the endpoints. A sidecar
//! runs next to each model engine and is the only process that sends orders to it. Their decision
//! logic is in `radishpin-core`, the platform's names and formats are in `radishpin-adapter`.

mod connection;
mod process;
mod request;
mod version;

pub use process::{
    GatewayError, GatewayProcess, SidecarProcess, read_settings, run_gateway, run_sidecar,
};
