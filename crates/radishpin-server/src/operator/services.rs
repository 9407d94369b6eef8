//! Requests on services, which choose the profile of a service.

use super::{
    api::OperatorContext,
    change::{
        accepted, answer, check_expected_version, committed_version, expected_version, unchanged,
    },
    document::{ServiceChange, ServiceEntry},
    read::{body_document, invalid, read_view, record, value_of},
    refusal::Refusal,
    table::Change,
};
use http_types::Response;
use radishpin_http::ReceivedRequest;
use radishpin_platform::Row;
use radishpin_protocol::{
    ClusterView, PROFILE_PREFIX, ResultCode, SERVICE_PREFIX, ServiceKind, ServiceRecord, Version,
};

const OK: u16 = 200;

/// `GET /v1/services/NAME`
pub(super) async fn show(context: &OperatorContext, name: &str) -> Result<Response, Refusal> {
    let read = read_view(context, &[SERVICE_PREFIX]).await?;
    let service =
        read.view.services.get(name).ok_or_else(|| {
            Refusal::new(ResultCode::UnknownService, format!("no service {name}"))
        })?;
    answer(
        OK,
        &ServiceEntry {
            name: name.to_owned(),
            version: version_of(&read.view, name),
            kind: service.kind,
            profile: service.profile.clone(),
            source: read.source,
        },
    )
}

/// `PUT /v1/services/NAME`
pub(super) async fn put(
    context: &OperatorContext,
    name: &str,
    received: &ReceivedRequest,
) -> Result<Response, Refusal> {
    let expected = expected_version(&received.request)?;
    let change: ServiceChange = body_document(&received.body)?;
    let key = key_of(name);
    let table = &context.table;
    let row = table.get(&key).await?;
    check_expected_version(&key, &row, expected)?;
    let service = ServiceRecord {
        kind: kind_of(&key, &row, &change)?,
        profile: change.profile,
    };
    // The condition on the profile's row prevents a concurrent deletion of the profile.
    let profile_key = format!("{PROFILE_PREFIX}{}", service.profile);
    let profile_row = table.get(&profile_key).await?;
    if profile_row.value.is_none() {
        let reason = format!("profile: no profile {}", service.profile);
        return Err(Refusal::new(ResultCode::UnknownProfile, reason));
    }
    let change = Change {
        unchanged: vec![unchanged(&profile_key, &profile_row)],
        ..Change::new(&key, &row, Some(value_of(&service)?))
    };
    let outcome = table.commit(change).await?;
    let version = committed_version(table, &key, &row, outcome).await?;
    accepted(&row, version, Vec::new())
}

/// The service's kind: as requested for a new service, unchanged for an existing one.
fn kind_of(key: &str, row: &Row, change: &ServiceChange) -> Result<ServiceKind, Refusal> {
    let Some(value) = &row.value else {
        let missing_kind = || invalid("kind: needed for a new service".to_owned());
        return change.kind.ok_or_else(missing_kind);
    };
    let existing: ServiceRecord = record(key, value)?;
    match change.kind {
        Some(kind) if kind != existing.kind => Err(invalid(
            "kind: cannot change; name a new service".to_owned(),
        )),
        _ => Ok(existing.kind),
    }
}

/// Version of a service's row in a view; 0 if the view has none.
pub(super) fn version_of(view: &ClusterView, name: &str) -> Version {
    let version = view.row_versions.get(&key_of(name));
    version.copied().unwrap_or_default()
}

fn key_of(name: &str) -> String {
    format!("{SERVICE_PREFIX}{name}")
}
