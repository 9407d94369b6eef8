//! What follows the platform's store: the configuration, and the list of endpoints.

mod catalog_watch;
mod roster_watch;

pub(crate) use catalog_watch::watch_catalog;
pub(crate) use roster_watch::watch_roster;
