//! Decisions whose state lives as long as one version of the configuration.

mod grants;
mod monotone;
mod placement;

#[cfg(feature = "mutations")]
#[doc(hidden)]
pub use grants::plan_with_mutation;
pub use grants::{Confirmation, EndpointStanding, GrantChange, GrantFacts, plan};
pub use monotone::{Monotone, StartDecision, decide_start};
