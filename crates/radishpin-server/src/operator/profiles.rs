//! Requests on profiles.

use super::{
    api::OperatorContext,
    change::{accepted, answer, check_expected_version, committed_version, expected_version},
    document::{HistoryEntry, ProfileEntry, ProfileHistory, ProfileList},
    read::{ReadView, apply_rows, body_text, invalid, read_view, record, value_of},
    refusal::Refusal,
    table::Change,
};
use http_types::{Request, Response};
use radishpin_http::ReceivedRequest;
use radishpin_platform::{ChangeOutcome, ProfileHistoryEntry};
use radishpin_protocol::{
    ClusterView, HEAD_KEY, PROFILE_PREFIX, Profile, ProfileId, ResultCode, SERVICE_PREFIX,
    ServiceId, Version,
};

const OK: u16 = 200;
const DELETE_ATTEMPTS: u32 = 5;
const PREFIXES: [&str; 2] = [PROFILE_PREFIX, SERVICE_PREFIX];

/// `GET /v1/profiles`
pub(super) async fn list(context: &OperatorContext) -> Result<Response, Refusal> {
    let read = read_view(context, &PREFIXES).await?;
    let names: Vec<&String> = read.view.profiles.keys().collect();
    let profiles = names
        .into_iter()
        .filter_map(|name| entry(&read, name))
        .collect();
    answer(OK, &ProfileList { profiles })
}

/// `GET /v1/profiles/NAME`
pub(super) async fn show(context: &OperatorContext, name: &str) -> Result<Response, Refusal> {
    let read = read_view(context, &PREFIXES).await?;
    let entry = entry(&read, name).ok_or_else(|| unknown_profile(name))?;
    let mut response = answer(OK, &entry)?;
    response.insert_header("etag", format!("\"{}\"", entry.version));
    Ok(response)
}

/// `GET /v1/profiles/NAME/history`
pub(super) async fn history(
    context: &OperatorContext,
    name: &ProfileId,
) -> Result<Response, Refusal> {
    let table = &context.table;
    let replaced = table.profile_history(name).await?;
    if replaced.is_empty() && table.get(&key_of(name)).await?.value.is_none() {
        return Err(unknown_profile(name));
    }
    let history = replaced
        .iter()
        .map(history_entry)
        .collect::<Result<Vec<_>, _>>()?;
    answer(OK, &ProfileHistory { history })
}

fn history_entry(entry: &ProfileHistoryEntry) -> Result<HistoryEntry, Refusal> {
    let key = format!("history at version {}", entry.version);
    Ok(HistoryEntry {
        version: entry.version,
        profile: record(&key, &entry.document)?,
    })
}

/// `PUT /v1/profiles/NAME`
pub(super) async fn put(
    context: &OperatorContext,
    name: &str,
    received: &ReceivedRequest,
) -> Result<Response, Refusal> {
    let expected = expected_version(&received.request)?;
    let profile = Profile::parse(body_text(&received.body)?).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        invalid(lines.join("; "))
    })?;
    let key = key_of(name);
    let table = &context.table;
    let row = table.get(&key).await?;
    check_expected_version(&key, &row, expected)?;
    let change = Change::new(&key, &row, Some(value_of(&profile)?));
    let outcome = table.commit_profile(name, change).await?;
    let version = committed_version(table, &key, &row, outcome).await?;
    accepted(&row, version, Vec::new())
}

/// `DELETE /v1/profiles/NAME`
pub(super) async fn delete(
    context: &OperatorContext,
    name: &str,
    request: &Request,
) -> Result<Response, Refusal> {
    let expected = expected_version(request)?;
    for _ in 0..DELETE_ATTEMPTS {
        if let Some(response) = try_delete(context, name, expected).await? {
            return Ok(response);
        }
    }
    let reason = "other changes came between each time; nothing was deleted";
    Err(Refusal::new(ResultCode::VersionConflict, reason).with_current_version(expected))
}

/// Deletes the profile, or returns `None` if a concurrent change of the view interfered.
async fn try_delete(
    context: &OperatorContext,
    name: &str,
    expected: Version,
) -> Result<Option<Response>, Refusal> {
    let key = key_of(name);
    let table = &context.table;
    // The head is read before the services: if it is unchanged at the commit, no service was
    // added in between.
    let head = table.get(HEAD_KEY).await?;
    let row = table.get(&key).await?;
    if row.value.is_none() {
        return Err(unknown_profile(name));
    }
    check_expected_version(&key, &row, expected)?;
    refuse_if_used(context, name).await?;
    let change = Change {
        whole_view: Some(head.version),
        ..Change::new(&key, &row, None)
    };
    match table.commit_profile(name, change).await? {
        ChangeOutcome::Accepted(version) => accepted(&row, version, Vec::new()).map(Some),
        ChangeOutcome::Conflict { .. } => Ok(None),
    }
}

async fn refuse_if_used(context: &OperatorContext, name: &str) -> Result<(), Refusal> {
    let listing = context.table.list(SERVICE_PREFIX).await?;
    let mut view = ClusterView::default();
    apply_rows(&mut view, listing, |error| {
        Err(Refusal::new(ResultCode::Internal, error.to_string()))
    })?;
    let services = services_using(&view, name);
    if services.is_empty() {
        return Ok(());
    }
    let reason = format!("profile {name} is used by {}", services.join(", "));
    Err(Refusal::new(ResultCode::ProfileInUse, reason))
}

fn entry(read: &ReadView, name: &str) -> Option<ProfileEntry> {
    let profile = read.view.profiles.get(name)?;
    let version = read.view.row_versions.get(&key_of(name)).copied();
    Some(ProfileEntry {
        name: name.to_owned(),
        version: version.unwrap_or_default(),
        profile: profile.clone(),
        services: services_using(&read.view, name),
        source: read.source,
    })
}

fn services_using(view: &ClusterView, profile: &str) -> Vec<ServiceId> {
    let services = view.services.iter();
    services
        .filter(|(_, service)| service.profile == profile)
        .map(|(name, _)| name.clone())
        .collect()
}

fn unknown_profile(name: &str) -> Refusal {
    Refusal::new(ResultCode::UnknownProfile, format!("no profile {name}"))
}

fn key_of(name: &str) -> String {
    format!("{PROFILE_PREFIX}{name}")
}
