//! Conditional changes: the operator's expected version must still be current.

use super::{
    document::Accepted,
    refusal::{Refusal, json_response},
    table::Table,
};
use http_types::{Request, Response};
use radishpin_platform::{ChangeOutcome, Condition, Row};
use radishpin_protocol::{ResultCode, Version};

const IF_MATCH: &str = "if-match";
const CREATED: u16 = 201;
const OK: u16 = 200;

/// The version in `If-Match`; 0, also if the header is missing, for a document to be created.
pub(super) fn expected_version(request: &Request) -> Result<Version, Refusal> {
    let Some(values) = request.header(IF_MATCH) else {
        return Ok(0);
    };
    let text = values.last().as_str().trim().trim_matches('"');
    text.parse().map_err(|_| {
        let reason = "If-Match: not a version; allowed: a whole number, 0 for a new document";
        Refusal::new(ResultCode::InvalidField, reason)
    })
}

/// Refuses a change whose expected version is not the current one.
pub(super) fn check_expected_version(
    key: &str,
    row: &Row,
    expected: Version,
) -> Result<(), Refusal> {
    let current = current_version(row);
    if current == expected {
        return Ok(());
    }
    Err(conflict(key, current, expected))
}

/// The version to send in `If-Match`: 0 if there is no document.
pub(super) fn current_version(row: &Row) -> Version {
    match row.value {
        Some(_) => row.version,
        None => 0,
    }
}

/// The refusal of a change whose expected version is outdated.
pub(super) fn conflict(key: &str, current: Version, expected: Version) -> Refusal {
    let reason = match (current, expected) {
        (0, _) => format!("{key} does not exist (any more); the order names version {expected}"),
        (_, 0) => format!("{key} exists at version {current}; the order names none"),
        _ => format!("{key} stands at version {current}; the order names {expected}"),
    };
    Refusal::new(ResultCode::VersionConflict, reason).with_current_version(current)
}

/// The condition that the row still has the version that was read.
pub(super) fn unchanged(key: &str, row: &Row) -> Condition {
    Condition {
        key: key.to_owned(),
        version: row.version,
    }
}

/// The version of a committed change, or the refusal of one that conflicted with another.
///
/// `row` is the document's row as read before the change.
pub(super) async fn committed_version(
    table: &Table,
    key: &str,
    row: &Row,
    outcome: ChangeOutcome,
) -> Result<Version, Refusal> {
    match outcome {
        ChangeOutcome::Accepted(version) => Ok(version),
        ChangeOutcome::Conflict { key: changed, .. } if changed == key => {
            let latest = table.get(key).await?;
            Err(conflict(
                key,
                current_version(&latest),
                current_version(row),
            ))
        }
        ChangeOutcome::Conflict { key: changed, .. } => {
            let reason = format!("{changed} changed while {key} was being changed");
            Err(Refusal::new(ResultCode::VersionConflict, reason)
                .with_current_version(current_version(row)))
        }
    }
}

/// The response to a durable change; `row` is the document's row before it.
pub(super) fn accepted(
    row: &Row,
    version: Version,
    warnings: Vec<String>,
) -> Result<Response, Refusal> {
    let status = if row.value.is_some() { OK } else { CREATED };
    let mut response = answer(status, &Accepted { version, warnings })?;
    response.insert_header("etag", format!("\"{version}\""));
    Ok(response)
}

/// A response whose body is a JSON document.
pub(super) fn answer<T: serde::Serialize>(status: u16, document: &T) -> Result<Response, Refusal> {
    let body = serde_json::to_string(document)
        .map_err(|e| Refusal::new(ResultCode::Internal, e.to_string()))?;
    Ok(json_response(status, body))
}
