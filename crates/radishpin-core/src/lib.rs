//! Decision logic of radishpin without IO, clocks or random number generators.
//!
//! Callers pass in the time, as a [`std::time::Duration`] since the start of the process, and
//! random numbers. Modules are grouped by the lifetime of their state: a request, one version of
//! the configuration, or the process.

#[cfg(feature = "mutations")]
#[doc(hidden)]
pub mod mutation;
#[cfg(not(feature = "mutations"))]
mod mutation;
pub mod process;
mod rendezvous;
pub mod request;
pub mod version;
