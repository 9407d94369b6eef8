//! State and tasks that last for the lifetime of the process.

mod clock;
mod error;
mod gateway;
mod memory_budget;
mod metrics;
mod settings;
mod shutdown;
mod sidecar;
mod store;

pub(crate) use clock::{Clock, boot_time};
pub use error::GatewayError;
pub(crate) use gateway::{CreditPermit, Gateway, TrialPermit};
pub use gateway::{GatewayProcess, run_gateway};
pub(crate) use memory_budget::{BudgetExceeded, MemoryBudget, MemoryReservation};
pub(crate) use metrics::{Metrics, serve_metrics};
pub use settings::read_settings;
pub(crate) use settings::{ReloadSignal, apply_settings, watch_settings};
pub(crate) use shutdown::{ListenerGuard, Shutdown};
pub(crate) use sidecar::NEWS_WAIT;
pub use sidecar::{SidecarProcess, run_sidecar};
pub(crate) use store::{StoreAddress, StoreClient, StoreError};
