//! Follows the configuration in the platform's store.

use super::CatalogContact;
use crate::process::{StoreClient, StoreError};
use radishpin_adapter::{CATALOG_KEY, Row, Table, decode_catalog};
use radishpin_core::{process::StorePosition, version::Catalog};
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;
use std::sync::Arc;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Calls `on_update` with each newer configuration, for the lifetime of the process.
///
/// When the store comes back from an older copy, its table is read anew; its configuration is applied only if
/// that is newer than the one in force, as its `version` increases across all eras.
///
/// `contact` learns of each call. `wait` is the longest time that a call waits for changes. It also bounds how long a hung
/// connection goes unnoticed.
pub(crate) async fn watch_catalog(
    mut store: StoreClient,
    wait: Duration,
    contact: &CatalogContact,
    mut on_update: impl FnMut(Arc<Catalog>),
) {
    let mut current_version = 0;
    let mut after: Option<StorePosition> = None;
    let mut reachable = true;
    // Whether the feed has started over, without a response of the feed since.
    let mut restarted = false;
    loop {
        let started_at = contact.call_starts();
        let page = match after {
            None => store.rows(Table::Operators).await,
            Some(position) => store.feed(Table::Operators, position, wait).await,
        };
        match page {
            Ok(page) => {
                if !std::mem::replace(&mut reachable, true) {
                    log::info!(event = "store_regained", feed = "configuration", version = current_version; "store answers again");
                }
                restarted &= after.is_none();
                after = Some(page.position);
                if let Some(catalog) = newer_catalog(&page.rows, current_version) {
                    current_version = catalog.version;
                    log::info!(event = "configuration_in_force", version = current_version; "configuration in force");
                    on_update(Arc::new(catalog));
                }
                contact.confirm(started_at, page.waited);
            }
            Err(StoreError::HistoryGone) => {
                log::info!(event = "feed_restarted", feed = "configuration"; "the feed's history was discarded; reading the whole table again");
                contact.fail();
                after = None;
                if std::mem::replace(&mut restarted, true) {
                    Runtime::sleep(RETRY_PAUSE).await;
                }
            }
            Err(StoreError::EraChanged) => {
                log::info!(event = "feed_restarted", feed = "configuration", version = current_version; "the store has come back from an older copy; reading the whole table again");
                contact.fail();
                after = None;
                if std::mem::replace(&mut restarted, true) {
                    Runtime::sleep(RETRY_PAUSE).await;
                }
            }
            Err(cause) => {
                contact.fail();
                if std::mem::replace(&mut reachable, false) {
                    log::warn!(event = "store_lost", feed = "configuration", version = current_version, cause:% = cause; "store does not answer");
                }
                Runtime::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns the configuration in `rows` if it is newer than `current_version`.
fn newer_catalog(rows: &[Row], current_version: u64) -> Option<Catalog> {
    let row = rows.iter().rfind(|row| row.key == CATALOG_KEY)?;
    let value = row.value.as_ref()?;
    match decode_catalog(value) {
        Ok(catalog) => (catalog.version > current_version).then_some(catalog),
        Err(cause) => {
            log::error!(event = "configuration_unreadable", version = current_version, cause:% = cause; "cannot decode the configuration; the previous one stays in force");
            None
        }
    }
}
