//! Reads documents from the table, or from the node's view while the platform is unavailable.

use super::{api::OperatorContext, document::Source, refusal::Refusal};
use radishpin_platform::Listing;
use radishpin_protocol::{ClusterView, DocumentError, ResultCode, RowError, read_document};
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// A view with the source that it was read from.
pub(super) struct ReadView {
    pub(super) view: Arc<ClusterView>,
    pub(super) source: Source,
}

/// Reads the rows under `prefixes` from the platform; if that fails, returns the current view.
pub(super) async fn read_view(
    context: &OperatorContext,
    prefixes: &[&str],
) -> Result<ReadView, Refusal> {
    let mut view = ClusterView::default();
    for prefix in prefixes {
        let listing = match context.table.list(prefix).await {
            Ok(listing) => listing,
            Err(refusal) => return current_view(context, refusal),
        };
        apply_rows(&mut view, listing, |error| {
            // One unreadable row must not hide the others.
            log::warn!(error:% = error; "skipping an unreadable row");
            Ok(())
        })?;
    }
    Ok(ReadView {
        view: Arc::new(view),
        source: Source::Platform,
    })
}

/// Applies the rows of a listing to `view`; an error of `on_unreadable_row` ends it.
pub(super) fn apply_rows(
    view: &mut ClusterView,
    listing: Listing,
    on_unreadable_row: impl Fn(RowError) -> Result<(), Refusal>,
) -> Result<(), Refusal> {
    for listed in listing.rows {
        let row = listed.row;
        let applied = view.apply_row(&listed.key, row.version, row.value.as_deref());
        applied.or_else(&on_unreadable_row)?;
    }
    Ok(())
}

/// The node's current view, or `refusal` if it has none yet.
fn current_view(context: &OperatorContext, refusal: Refusal) -> Result<ReadView, Refusal> {
    let view = (context.view)();
    if view.version == 0 {
        return Err(refusal);
    }
    Ok(ReadView {
        view,
        source: Source::View,
    })
}

/// Parses a row's value as a record; `key` is for the error message.
pub(super) fn record<T: DeserializeOwned>(key: &str, value: &str) -> Result<T, Refusal> {
    serde_json::from_str(value).map_err(|e| {
        let reason = format!("row {key} is not readable: {e}");
        Refusal::new(ResultCode::Internal, reason)
    })
}

/// Parses a request's body as a document; the refusal names the path of the invalid field.
pub(super) fn body_document<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    let text = body_text(body)?;
    read_document(text).map_err(|fault: DocumentError| invalid(fault.to_string()))
}

/// The body of a request as UTF-8 text.
pub(super) fn body_text(body: &[u8]) -> Result<&str, Refusal> {
    std::str::from_utf8(body).map_err(|_| invalid(".: not UTF-8 text".to_owned()))
}

/// The refusal of an invalid document.
pub(super) fn invalid(reason: String) -> Refusal {
    Refusal::new(ResultCode::DocumentInvalid, reason)
}

/// Serializes a record as the value of a row.
pub(super) fn value_of<T: serde::Serialize>(record: &T) -> Result<String, Refusal> {
    serde_json::to_string(record).map_err(|e| Refusal::new(ResultCode::Internal, e.to_string()))
}
