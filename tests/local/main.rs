//! Operators' commands against the whole system: what the pages for operators promise.

mod change;
mod outage;
mod planned_stop;
mod system;
