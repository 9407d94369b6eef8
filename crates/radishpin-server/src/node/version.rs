//! What lives as long as one version of the configuration.

mod control;
mod grants;
mod leases;
mod peers;
mod poll;
mod stops;
mod sweep;
mod sync;

pub(super) use leases::Leases;
