//! Polls the list of endpoints in the platform's store.

use crate::process::{Clock, StoreClient};
use radishpin_adapter::{Row, Table, decode_endpoint};
use radishpin_core::process::{EndpointChange, EndpointList, EndpointListing};
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;

/// Time between two reads. The table is polled instead of followed through its feed, because
/// endpoints write far more often than their entries change.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Calls `on_update` with the list and its changes after each successful read.
///
/// `services` returns the services of the active configuration.
pub(crate) async fn watch_endpoint_list(
    mut store: StoreClient,
    clock: Clock,
    services: impl Fn() -> Option<BTreeSet<ServiceId>>,
    mut on_update: impl FnMut(&EndpointList, &[EndpointChange]),
) {
    let mut endpoint_list = EndpointList::default();
    let mut reachable = true;
    let mut unreadable = BTreeSet::new();
    let mut last_source = None;
    loop {
        match store.rows(Table::Endpoints).await {
            Ok(page) => {
                if !std::mem::replace(&mut reachable, true) {
                    log::info!(event = "store_regained", feed = "endpoints"; "store answers again");
                }
                // Stores at different addresses may state the same era.
                let source = (page.store, page.position.era);
                if let Some(last) = last_source.replace(source)
                    && last != source
                {
                    // Endpoints write the entries again that the store has lost, or never had, as after an outage.
                    if last.0 == source.0 {
                        log::info!(event = "store_era_changed", feed = "endpoints"; "the store has come back from an older copy");
                    } else {
                        log::info!(event = "store_moved", feed = "endpoints", store:% = source.0; "the store is read at another address");
                    }
                    endpoint_list.record_read_failure();
                }
                let mut listing = decode(page.rows, &mut unreadable);
                listing.services = services();
                let changes = endpoint_list.apply(listing, clock.now());
                changes.iter().for_each(log_change);
                on_update(&endpoint_list, &changes);
                Runtime::sleep(READ_INTERVAL).await;
            }
            Err(cause) => {
                endpoint_list.record_read_failure();
                if std::mem::replace(&mut reachable, false) {
                    log::warn!(event = "store_lost", feed = "endpoints", cause:% = cause; "store does not answer");
                }
                Runtime::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Decodes the rows. Those that cannot be decoded are logged unless `unreadable`, the keys of such rows in
/// the previous read, contains them.
fn decode(rows: Vec<Row>, unreadable: &mut BTreeSet<EndpointId>) -> EndpointListing {
    let mut listing = EndpointListing::default();
    for row in rows {
        let decoded = match &row.value {
            Some(value) => decode_endpoint(value).map_err(|cause| cause.to_string()),
            None => Err("value is not base64".to_owned()),
        };
        match decoded {
            Ok(entry) => {
                listing.entries.insert(row.key, entry);
            }
            Err(cause) => {
                if !unreadable.contains(&row.key) {
                    log::warn!(event = "entry_unreadable", endpoint = row.key, cause = cause; "cannot decode the entry of an endpoint; ignoring it");
                }
                listing.unusable.insert(row.key);
            }
        }
    }
    unreadable.clone_from(&listing.unusable);
    listing
}

fn log_change(change: &EndpointChange) {
    let (change_name, endpoint) = match change {
        EndpointChange::Joined(id) => ("joined", id),
        EndpointChange::Restarted(id) => ("restarted", id),
        EndpointChange::Draining(id) => ("draining", id),
        EndpointChange::Gone(id) => ("gone", id),
    };
    log::info!(event = "endpoint_changed", change = change_name, endpoint = endpoint; "list of endpoints changed");
}
