//! Pure decisions of radishpin: no IO, no clock, no randomness of their own.
//!
//! Time comes in as a [`std::time::Duration`] since the start of the process, randomness as words.

pub mod request;
