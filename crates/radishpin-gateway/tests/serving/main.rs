//! Tests gateways and sidecars over loopback sockets with fakes of the store and the endpoints.

mod backoffs;
mod caller;
mod cluster;
mod draining;
mod endless;
mod endpoint;
mod endpoint_runs;
mod faults;
mod framing;
mod gateways_lost;
mod limits;
mod load;
mod loads;
mod next_endpoint_errors;
mod odd_entries;
mod prompt_crash_runs;
mod prompt_crashes;
mod raw_endpoint;
mod relays;
mod repeated_refusals;
mod request_crashes;
mod requests;
mod resumptions;
mod store;
mod streams;
mod versions;
