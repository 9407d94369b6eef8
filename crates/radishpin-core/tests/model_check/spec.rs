//! Specification of the core protocol: the system's state, its steps and their exploration.

mod agent;
mod control;
pub mod explore;
mod fault;
pub mod recovery;
mod start;
pub mod steps;
pub mod system;
