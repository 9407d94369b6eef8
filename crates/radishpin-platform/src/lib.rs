//! Edge of the platform: table service, object store and host list, and the client over it.
//!
//! [`Platform`] is the outside system, met as an in-memory stand-in, over HTTP, or by an
//! adapter to the real service. [`PlatformClient`] adds timeouts, retries, a breaker and the
//! settling of unknown outcomes; the rest of radishpin uses that alone.

mod edge;

pub mod wire;

pub use edge::*;
