//! Tasks that follow the configuration and the list of endpoints in the platform's store.

mod catalog_contact;
mod catalog_watch;
mod endpoint_list_watch;

pub(crate) use catalog_contact::CatalogContact;
pub(crate) use catalog_watch::watch_catalog;
pub(crate) use endpoint_list_watch::watch_endpoint_list;
