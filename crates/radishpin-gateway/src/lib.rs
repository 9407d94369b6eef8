//! Gateways and sidecars: the serving path on a platform with a table store.
//!
//! A gateway takes callers' requests and sends them straight to the endpoints. A sidecar runs
//! beside each model engine and is the only sender of orders to it. What each of them decides is
//! in `radishpin-core`; what the platform calls things is in `radishpin-adapter`.

mod connection;
mod process;
mod request;
mod version;

pub use process::{
    GatewayError, GatewayProcess, SidecarProcess, read_settings, run_gateway, run_sidecar,
};
