//! Tests of the operators' API with an in-memory platform.

mod faults;
mod fixture;
mod loopback;
mod profiles;
mod races;
mod random;
mod status;
mod stops;
mod token;
