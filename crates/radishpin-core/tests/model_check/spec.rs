//! The specification: its state, its steps, and how they are explored.

mod agent;
mod control;
pub mod explore;
mod fault;
pub mod recovery;
mod start;
pub mod steps;
pub mod system;
