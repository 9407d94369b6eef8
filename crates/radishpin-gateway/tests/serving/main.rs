//! Gateways and sidecars over loopback sockets, against stand-ins of the store and the endpoints.

mod caller;
mod cluster;
mod endpoint;
mod faults;
mod loads;
mod requests;
mod store;
mod streams;
