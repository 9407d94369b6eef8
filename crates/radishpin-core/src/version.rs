//! Decisions whose state lives as long as one version of the configuration.

mod catalog;
mod grants;
mod monotone;
mod placement;

pub use catalog::{
    CallerLimits, Catalog, EngineSpec, ModelSpec, RequestSemantics, Route, Service, Split,
};
#[cfg(feature = "mutations")]
#[doc(hidden)]
pub use grants::plan_grants_with_mutation;
pub use grants::{Confirmation, EndpointSummary, GrantChange, GrantPlanInput, plan_grants};
pub use monotone::{Monotone, StartDecision, decide_start};
