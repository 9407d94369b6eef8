//! Orders on profiles.

use super::{
    api::OperatorContext,
    change::{accepted, answer, check_seen, commit, seen_version, unchanged, write},
    document::{HistoryEntry, HistoryRecord, ProfileEntry, ProfileHistory, ProfileList},
    read::{Read, apply_rows, body_text, invalid, read_view, record, value_of},
    refusal::Refusal,
    table::Written,
};
use http_types::{Request, Response};
use radishpin_http::Received;
use radishpin_platform::{Row, Write};
use radishpin_protocol::{
    ClusterView, HEAD_KEY, HISTORY_PREFIX, PROFILE_PREFIX, Profile, ResultCode, SERVICE_PREFIX,
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
pub(super) async fn history(context: &OperatorContext, name: &str) -> Result<Response, Refusal> {
    let prefix = format!("{HISTORY_PREFIX}{name}/");
    let listing = context.table.list(&prefix).await?;
    let mut history = Vec::new();
    for listed in &listing.rows {
        let Some(value) = &listed.row.value else {
            continue;
        };
        let old: HistoryRecord = record(&listed.key, value)?;
        let version = listed.key[prefix.len()..].parse().unwrap_or_default();
        history.push(HistoryEntry {
            version,
            until_unix_ms: old.until_unix_ms,
            profile: old.profile,
        });
    }
    if history.is_empty() && context.table.get(&key_of(name)).await?.value.is_none() {
        return Err(unknown_profile(name));
    }
    answer(OK, &ProfileHistory { history })
}

/// `PUT /v1/profiles/NAME`
pub(super) async fn put(
    context: &OperatorContext,
    name: &str,
    received: &Received,
) -> Result<Response, Refusal> {
    let seen = seen_version(&received.request)?;
    let profile = Profile::parse(body_text(&received.body)?).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        invalid(lines.join("; "))
    })?;
    let key = key_of(name);
    let row = context.table.get(&key).await?;
    check_seen(&key, &row, seen)?;
    let mut writes = vec![write(&key, Some(value_of(&profile)?))];
    writes.extend(history_write(context, name, &row)?);
    let conditions = vec![unchanged(&key, &row)];
    let version = commit(&context.table, &key, &row, conditions, writes).await?;
    accepted(&row, version, Vec::new())
}

/// `DELETE /v1/profiles/NAME`
pub(super) async fn delete(
    context: &OperatorContext,
    name: &str,
    request: &Request,
) -> Result<Response, Refusal> {
    let seen = seen_version(request)?;
    for _ in 0..DELETE_ATTEMPTS {
        if let Some(response) = try_delete(context, name, seen).await? {
            return Ok(response);
        }
    }
    let reason = "other changes came between each time; nothing was deleted";
    Err(Refusal::new(ResultCode::VersionConflict, reason).with_current_version(seen))
}

/// Deletes the profile, or returns `None` where another change of the view came between.
async fn try_delete(
    context: &OperatorContext,
    name: &str,
    seen: Version,
) -> Result<Option<Response>, Refusal> {
    let key = key_of(name);
    // Read before the services: an unchanged head proves that no service was added meanwhile.
    let head = context.table.get(HEAD_KEY).await?;
    let row = context.table.get(&key).await?;
    if row.value.is_none() {
        return Err(unknown_profile(name));
    }
    check_seen(&key, &row, seen)?;
    refuse_if_used(context, name).await?;
    let conditions = vec![unchanged(&key, &row), unchanged(HEAD_KEY, &head)];
    let mut writes = vec![write(&key, None)];
    writes.extend(history_write(context, name, &row)?);
    match context.table.commit(&key, conditions, writes).await? {
        Written::Committed(version) => accepted(&row, version, Vec::new()).map(Some),
        Written::Conflict(_) => Ok(None),
    }
}

async fn refuse_if_used(context: &OperatorContext, name: &str) -> Result<(), Refusal> {
    let listing = context.table.list(SERVICE_PREFIX).await?;
    let mut view = ClusterView::default();
    apply_rows(&mut view, listing, |error| {
        Err(Refusal::new(ResultCode::Internal, error.to_string()))
    })?;
    let services = services_with(&view, name);
    if services.is_empty() {
        return Ok(());
    }
    let reason = format!("profile {name} is used by {}", services.join(", "));
    Err(Refusal::new(ResultCode::ProfileInUse, reason))
}

/// Keeps the document that `row` holds.
fn history_write(
    context: &OperatorContext,
    name: &str,
    row: &Row,
) -> Result<Option<Write>, Refusal> {
    let Some(value) = &row.value else {
        return Ok(None);
    };
    let old = HistoryRecord {
        until_unix_ms: context.now_unix_ms(),
        profile: record(&key_of(name), value)?,
    };
    let key = history_key(name, row.version);
    Ok(Some(write(&key, Some(value_of(&old)?))))
}

fn entry(read: &Read, name: &str) -> Option<ProfileEntry> {
    let profile = read.view.profiles.get(name)?;
    let version = read.view.row_versions.get(&key_of(name)).copied();
    Some(ProfileEntry {
        name: name.to_owned(),
        version: version.unwrap_or_default(),
        profile: profile.clone(),
        services: services_with(&read.view, name),
        source: read.source,
    })
}

fn services_with(view: &ClusterView, profile: &str) -> Vec<ServiceId> {
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

/// Twenty digits, so that keys sort as versions do.
fn history_key(name: &str, version: Version) -> String {
    format!("{HISTORY_PREFIX}{name}/{version:020}")
}
