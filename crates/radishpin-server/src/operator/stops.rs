//! Requests on planned stops.

use super::{
    api::OperatorContext,
    change::{accepted, answer, committed_version, conflict},
    document::{StopEntry, StopList, StopPlan},
    is_name,
    read::{body_document, invalid, read_view, record, value_of},
    refusal::Refusal,
    table::Change,
    warning::{phase, stop_warnings},
};
use http_types::Response;
use radishpin_http::ReceivedRequest;
use radishpin_platform::Row;
use radishpin_protocol::{
    ClusterView, ResultCode, STOP_PREFIX, StopRecord, StopTarget, UnixMs, VIEW_PREFIXES,
};
use std::time::Duration;

const OK: u16 = 200;
/// Time for which a stop is kept after its window.
const ENDED_STOP_RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);
/// Maximum number of expired stops deleted by one plan request.
const MAX_DELETED_PER_PLAN: usize = 20;

/// `GET /v1/stops`
pub(super) async fn list(context: &OperatorContext) -> Result<Response, Refusal> {
    let read = read_view(context, &VIEW_PREFIXES).await?;
    let stops = entries(context, &read.view);
    answer(OK, &StopList { stops })
}

/// `GET /v1/stops/ID`
pub(super) async fn show(context: &OperatorContext, id: &str) -> Result<Response, Refusal> {
    let read = read_view(context, &VIEW_PREFIXES).await?;
    let stop = read.view.stops.get(id).ok_or_else(|| unknown_stop(id))?;
    answer(OK, &entry(context, &read.view, stop))
}

/// `POST /v1/stops`
pub(super) async fn plan(
    context: &OperatorContext,
    received: &ReceivedRequest,
) -> Result<Response, Refusal> {
    let plan: StopPlan = body_document(&received.body)?;
    let stop = StopRecord::from(plan);
    let now_unix_ms = context.now_unix_ms();
    check_plan(&stop, now_unix_ms)?;
    let key = key_of(&stop.id);
    let table = &context.table;
    let row = table.get(&key).await?;
    let warnings = stop_warnings(&(context.view)(), &context.status_cache, &stop, now_unix_ms);
    if let Some(value) = &row.value {
        let existing: StopRecord = record(&key, value)?;
        // The client repeats the plan because it lost the response.
        if existing == stop {
            return accepted(&row, row.version, warnings);
        }
        return Err(conflict(&key, row.version, 0));
    }
    let change = Change::new(&key, &row, Some(value_of(&stop)?));
    let outcome = table.commit(change).await?;
    let version = committed_version(table, &key, &row, outcome).await?;
    delete_expired(context, now_unix_ms).await;
    accepted(&row, version, warnings)
}

/// Deletes stops that ended more than [`ENDED_STOP_RETENTION`] ago, so that they do not fill the
/// view. It ends at the first failure; the next plan request deletes the rest.
async fn delete_expired(context: &OperatorContext, now_unix_ms: UnixMs) {
    let view = (context.view)();
    let is_expired = |stop: &&StopRecord| {
        let ended_ms_ago = now_unix_ms.saturating_sub(stop.to_unix_ms);
        u128::from(ended_ms_ago) > ENDED_STOP_RETENTION.as_millis()
    };
    for stop in view
        .stops
        .values()
        .filter(is_expired)
        .take(MAX_DELETED_PER_PLAN)
    {
        let key = key_of(&stop.id);
        let row = Row {
            version: view.row_versions.get(&key).copied().unwrap_or_default(),
            value: None,
        };
        if let Err(refusal) = context.table.commit(Change::new(&key, &row, None)).await {
            log::info!(
                event = "old_stop_kept",
                stop = stop.id.as_str(),
                name = refusal.code().name();
                "{}", refusal.reason()
            );
            return;
        }
    }
}

/// `DELETE /v1/stops/ID`
pub(super) async fn cancel(context: &OperatorContext, id: &str) -> Result<Response, Refusal> {
    let key = key_of(id);
    let table = &context.table;
    let row = table.get(&key).await?;
    if row.value.is_none() {
        return Err(unknown_stop(id));
    }
    let outcome = table.commit(Change::new(&key, &row, None)).await?;
    let version = committed_version(table, &key, &row, outcome).await?;
    accepted(&row, version, Vec::new())
}

/// All stops of a view with their phases and warnings.
pub(super) fn entries(context: &OperatorContext, view: &ClusterView) -> Vec<StopEntry> {
    let stops = view.stops.values();
    stops.map(|stop| entry(context, view, stop)).collect()
}

fn entry(context: &OperatorContext, view: &ClusterView, stop: &StopRecord) -> StopEntry {
    let now_unix_ms = context.now_unix_ms();
    let version = view.row_versions.get(&key_of(&stop.id)).copied();
    StopEntry {
        stop: stop.clone(),
        version: version.unwrap_or_default(),
        phase: phase(stop, now_unix_ms),
        warnings: stop_warnings(view, &context.status_cache, stop, now_unix_ms),
    }
}

/// Checks names and times, which parsing does not, and reports all faults together.
fn check_plan(stop: &StopRecord, now_unix_ms: UnixMs) -> Result<(), Refusal> {
    let mut faults = Vec::new();
    if !is_name(&stop.id) {
        faults.push("id: not a name");
    }
    let (field, name) = match &stop.target {
        StopTarget::Host(host) => ("target.host: not a name", host),
        StopTarget::AvailabilityZone(zone) => ("target.availability_zone: not a name", zone),
    };
    if !is_name(name) {
        faults.push(field);
    }
    if stop.to_unix_ms <= stop.from_unix_ms {
        faults.push("to_unix_ms: must be after from_unix_ms");
    }
    if stop.to_unix_ms <= now_unix_ms {
        faults.push("to_unix_ms: is in the past");
    }
    if faults.is_empty() {
        return Ok(());
    }
    Err(invalid(faults.join("; ")))
}

fn unknown_stop(id: &str) -> Refusal {
    Refusal::new(ResultCode::UnknownStop, format!("no planned stop {id}"))
}

fn key_of(id: &str) -> String {
    format!("{STOP_PREFIX}{id}")
}
