//! Pure decisions of radishpin: no IO, no clock and no randomness of their own.
//!
//! Time comes in as an argument: a [`std::time::Duration`] since the start of the process;
//! randomness comes in as words that the process draws. Modules are grouped by life span: what
//! lives as long as a request, as one version of the configuration, and as a process.

#[cfg(feature = "mutations")]
#[doc(hidden)]
pub mod mutation;
#[cfg(not(feature = "mutations"))]
mod mutation;
pub mod process;
pub mod request;
pub mod version;
