//! Tables of the status report.

use crate::{
    command::stop::table::stops,
    output::{span_text, table, table_text},
};
use radishpin_protocol::{GrantState, ServiceKind};
use radishpin_server::operator::document::{
    EndpointReport, EndpointStatus, ModelStatus, ProcessKind, ProcessStatus, ServiceStatus,
    StatusReport,
};

/// Formats the status report as one table for each section.
pub(super) fn report(report: &StatusReport) -> String {
    let heading = format!(
        "node {} has version {} in force",
        report.node, report.view_version
    );
    [
        heading,
        section("Endpoints", &endpoints(&report.endpoints)),
        section("Models", &models(&report.models)),
        section("Services", &services(&report.services)),
        section("Planned stops", &stops(&report.stops)),
        section("Versions in force elsewhere", &processes(&report.processes)),
    ]
    .join("\n\n")
}

fn section(title: &str, rows: &str) -> String {
    format!("{title}\n{rows}")
}

fn endpoints(endpoints: &[EndpointStatus]) -> String {
    let mut rows = table(&[
        "ENDPOINT",
        "HOST",
        "ZONE",
        "SERVICE",
        "MEMORY MB",
        "RUNNING",
        "QUEUED",
        "STATE",
        "HEARD",
        "REPLICAS",
    ]);
    for endpoint in endpoints {
        let mut row = vec![
            endpoint.name.clone(),
            endpoint.host.clone(),
            endpoint.availability_zone.clone(),
            endpoint.service.clone(),
        ];
        row.extend(report_cells(endpoint));
        rows.add_row(row);
    }
    table_text(&rows)
}

fn report_cells(endpoint: &EndpointStatus) -> [String; 6] {
    let unknown = || "?".to_owned();
    let Some(report) = &endpoint.report else {
        let memory = format!("?/{}", endpoint.memory_mb);
        return [
            memory,
            unknown(),
            unknown(),
            "not heard".to_owned(),
            unknown(),
            unknown(),
        ];
    };
    [
        format!("{}/{}", report.memory_used_mb, endpoint.memory_mb),
        report.running.to_string(),
        report.queued.to_string(),
        if report.leaving {
            "leaving"
        } else {
            "in service"
        }
        .to_owned(),
        format!("{} ago", span_text(report.heard_ms_ago)),
        replicas(report),
    ]
}

fn replicas(report: &EndpointReport) -> String {
    let replicas = report.replicas.iter().map(|replica| {
        let adapters: String = replica.adapters.iter().map(|a| format!("+{a}")).collect();
        format!("{}{adapters}:{}", replica.model, replica.state)
    });
    replicas.collect::<Vec<_>>().join(" ")
}

fn models(models: &[ModelStatus]) -> String {
    let mut rows = table(&["MODEL", "SERVICE", "SIZE MB", "REPLICAS", "GRANTS"]);
    for model in models {
        let grants = model.grants.iter().map(|(endpoint, grant)| {
            let state = match grant.state {
                GrantState::Held => "held",
                GrantState::Revoking => "revoking",
            };
            format!("{endpoint}:{state}@{}", grant.since_version)
        });
        rows.add_row([
            model.name.clone(),
            model.service.clone(),
            model.size_mb.to_string(),
            model.replicas.to_string(),
            grants.collect::<Vec<_>>().join(" "),
        ]);
    }
    table_text(&rows)
}

fn services(services: &[ServiceStatus]) -> String {
    let mut rows = table(&["SERVICE", "KIND", "PROFILE", "VERSION"]);
    for service in services {
        let kind = match service.kind {
            ServiceKind::Models => "models",
            ServiceKind::Plain => "plain",
        };
        rows.add_row([
            service.name.clone(),
            kind.to_owned(),
            service.profile.clone(),
            service.version.to_string(),
        ]);
    }
    table_text(&rows)
}

fn processes(processes: &[ProcessStatus]) -> String {
    let mut rows = table(&["PROCESS", "NAME", "VERSION", "HEARD"]);
    for process in processes {
        let kind = match process.kind {
            ProcessKind::Node => "node",
            ProcessKind::Agent => "agent",
        };
        rows.add_row([
            kind.to_owned(),
            process.name.clone(),
            process.version.to_string(),
            format!("{} ago", span_text(process.heard_ms_ago)),
        ]);
    }
    table_text(&rows)
}
