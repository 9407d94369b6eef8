//! The operators' API over the platform in memory.

mod faults;
mod fixture;
mod loopback;
mod profiles;
mod races;
mod random;
mod status;
mod stops;
mod token;
