//! The node's background work on the configuration: reading it, distributing it to agents, and
//! writing grants.

mod control;
mod grants;
mod leases;
mod peers;
mod poll;
mod stops;
mod sweep;
mod sync;

pub(super) use leases::Leases;
