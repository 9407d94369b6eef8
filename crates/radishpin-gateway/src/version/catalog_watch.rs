//! Follows the configuration.

use crate::process::{StoreClient, StoreError};
use radishpin_adapter::{CATALOG_KEY, Row, Table, decode_catalog};
use radishpin_core::version::Catalog;
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;
use std::sync::Arc;

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the configuration and calls `accept` with each newer one. `wait` bounds a call that
/// waits for changes, and so the time for which a connection that went silent goes unnoticed.
pub(crate) async fn watch_catalog(
    mut store: StoreClient,
    wait: Duration,
    mut accept: impl FnMut(Arc<Catalog>),
) {
    let mut known = 0;
    let mut after: Option<Version> = None;
    let mut reachable = true;
    loop {
        let page = match after {
            None => store.rows(Table::Operators).await,
            Some(version) => store.feed(Table::Operators, version, wait).await,
        };
        match page {
            Ok(page) => {
                if !std::mem::replace(&mut reachable, true) {
                    log::info!(event = "store_regained", feed = "configuration", version = known; "store answers again");
                }
                after = Some(page.version);
                if let Some(catalog) = newest(&page.rows, known) {
                    known = catalog.version;
                    log::info!(event = "configuration_in_force", version = known; "configuration in force");
                    accept(Arc::new(catalog));
                }
            }
            Err(StoreError::HistoryGone) => {
                log::info!(event = "feed_restarted", feed = "configuration"; "history is gone; reading anew");
                after = None;
            }
            Err(cause) => {
                if std::mem::replace(&mut reachable, false) {
                    log::warn!(event = "store_lost", feed = "configuration", version = known, cause:% = cause; "store does not answer");
                }
                Runtime::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// The configuration among the rows, where it is newer than the one that is known.
fn newest(rows: &[Row], known: u64) -> Option<Catalog> {
    let row = rows.iter().rfind(|row| row.key == CATALOG_KEY)?;
    let value = row.value.as_ref()?;
    match decode_catalog(value) {
        Ok(catalog) => (catalog.version > known).then_some(catalog),
        Err(cause) => {
            log::error!(event = "configuration_unreadable", version = known, cause:% = cause; "the old configuration stays in force");
            None
        }
    }
}
