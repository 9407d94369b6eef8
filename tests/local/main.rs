//! Operator commands against an embedded cluster, as documented in `docs/operators`.

mod change;
mod outage;
mod planned_stop;
mod system;
