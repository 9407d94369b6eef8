//! Reading documents: from the table, or from the node's view while the platform does not answer.

use super::{api::OperatorContext, document::Source, refusal::Refusal};
use radishpin_platform::Listing;
use radishpin_protocol::{ClusterView, DocumentFault, ResultCode, RowError, read_document};
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// A view with where it was read.
pub(super) struct ReadView {
    pub(super) view: Arc<ClusterView>,
    pub(super) source: Source,
}

/// The rows under `prefixes` as a view: fresh where the platform answers.
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
            // One row at fault must not hide the others.
            log::warn!(error:% = error; "row left out");
            Ok(())
        })?;
    }
    Ok(ReadView {
        view: Arc::new(view),
        source: Source::Platform,
    })
}

/// Takes the rows of a listing; `on_unreadable_row` decides about those that are not readable.
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

/// The view in force, unless the node has none yet.
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

/// Reads the record in a row's value.
pub(super) fn record<T: DeserializeOwned>(key: &str, value: &str) -> Result<T, Refusal> {
    serde_json::from_str(value).map_err(|e| {
        let reason = format!("row {key} is not readable: {e}");
        Refusal::new(ResultCode::Internal, reason)
    })
}

/// Reads the document in a request's body.
pub(super) fn body_document<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    let text = body_text(body)?;
    read_document(text).map_err(|fault: DocumentFault| invalid(fault.to_string()))
}

/// The text of a request's body.
pub(super) fn body_text(body: &[u8]) -> Result<&str, Refusal> {
    std::str::from_utf8(body).map_err(|_| invalid(".: not UTF-8 text".to_owned()))
}

/// The refusal of a document.
pub(super) fn invalid(reason: String) -> Refusal {
    Refusal::new(ResultCode::DocumentInvalid, reason)
}

/// The value that a row gets.
pub(super) fn value_of<T: serde::Serialize>(record: &T) -> Result<String, Refusal> {
    serde_json::to_string(record).map_err(|e| Refusal::new(ResultCode::Internal, e.to_string()))
}
