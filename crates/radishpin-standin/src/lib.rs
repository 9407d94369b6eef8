//! Stand-ins for the outside systems: platform, model engines, weight store, plain services.
//!
//! They serve tests, measurements and `radishpin try`; each has switches for its faults, and
//! engines and plain services keep a [`Journal`] of what really ran.

mod broken_body;
mod clock;
mod lagged;
mod rate;
mod reply;

mod engine;
mod journal;
mod plain_service;
mod platform;
mod weight_store;

pub use clock::Clock;
pub use engine::{Call, CallRequest, Engine, EngineFaults, EngineSettings, token};
pub use journal::{Journal, JournalSnapshot, Overcommit, Run, RunEnd, RunGuard};
pub use plain_service::{PlainService, PlainServiceFaults, PlainServiceSettings, ServiceReply};
pub use platform::{Counts, Faults, MemoryPlatform, Outage, SecondCounts};
pub use rate::Rate;
pub use weight_store::{
    Lane, WeightStore, WeightStoreError, WeightStoreFaults, WeightStoreSettings,
};
