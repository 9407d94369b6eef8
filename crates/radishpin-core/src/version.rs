//! Decisions that depend on one version of the configuration: routes, grants of models to
//! endpoints, and which version a process uses.

mod access;
mod catalog;
mod customer;
mod grants;
mod monotone;
mod placement;

pub use access::{AccessQuery, CatalogFreshness, Credential};
pub use catalog::{
    CallerLimits, Catalog, EngineSpec, ModelSpec, RequestSemantics, Route, Service, Split,
};
pub use customer::{Customer, CustomerId, CustomerKey, Customers, Quota, QuotaUnit};
#[cfg(feature = "mutations")]
#[doc(hidden)]
pub use grants::plan_grants_with_mutation;
pub use grants::{Confirmation, EndpointSummary, GrantChange, GrantPlanInput, plan_grants};
pub use monotone::{Monotone, StartDecision, decide_start};
