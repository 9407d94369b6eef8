//! Software versions of the endpoints of a service, and routing of requests that need one.

use insta::assert_snapshot;
use radishpin_core::{
    process::{
        EndpointEntry, EndpointPhase, FULL_LIST_DELAY, Fleet, ModelStatus, Pick, PickQuery,
        SoftwareVersions, Status,
    },
    request::ORIGIN_LIFETIME,
    version::{Catalog, EngineSpec, ModelSpec, Service},
};
use radishpin_protocol::prelude::*;
use std::sync::Arc;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entry(service: &str, version: Option<&str>) -> EndpointEntry {
    EndpointEntry {
        service: service.to_owned(),
        address: "10.0.0.1:80".parse().expect("address is valid"),
        zone: "north".to_owned(),
        slots: 10,
        phase: EndpointPhase::Ready,
        software_version: version.map(str::to_owned),
        started_unix_ms: 100,
        models: BTreeMap::new(),
    }
}

fn list(entries: &[(&str, &str, Option<&str>)]) -> BTreeMap<EndpointId, EndpointEntry> {
    let entries = entries.iter();
    let entries =
        entries.map(|(id, service, version)| ((*id).to_owned(), entry(service, *version)));
    entries.collect()
}

#[test]
fn a_version_is_the_only_one_until_another_was_listed_and_after_that_is_forgotten() {
    let mut versions = SoftwareVersions::default();
    assert_eq!(versions.only_version("drafts"), None);
    let v1 = list(&[("i1", "drafts", Some("v1")), ("e1", "shop", Some("v7"))]);
    versions.record(&v1, ms(0));
    assert_eq!(versions.only_version("drafts"), Some(&"v1".to_owned()));
    assert_eq!(versions.only_version("shop"), Some(&"v7".to_owned()));
    let both = list(&[("i1", "drafts", Some("v1")), ("i2", "drafts", Some("v2"))]);
    versions.record(&both, ms(500));
    assert_eq!(versions.only_version("drafts"), None);
    let v2 = list(&[("i2", "drafts", Some("v2"))]);
    versions.record(&v2, ms(1_000));
    assert_eq!(versions.only_version("drafts"), None);
    versions.record(&v2, ms(500) + ORIGIN_LIFETIME);
    assert_eq!(versions.only_version("drafts"), Some(&"v2".to_owned()));
}

#[test]
fn an_unknown_version_is_a_version_of_its_own() {
    let mut versions = SoftwareVersions::default();
    versions.record(&list(&[("i1", "drafts", None)]), ms(0));
    assert_eq!(versions.only_version("drafts"), None);
    let mixed = list(&[("i1", "drafts", None), ("i2", "drafts", Some("v1"))]);
    versions.record(&mixed, ms(500));
    assert_eq!(versions.only_version("drafts"), None);
}

#[test]
fn the_list_is_full_a_while_after_its_first_read() {
    let mut versions = SoftwareVersions::default();
    assert_eq!(versions.full_list_in(FULL_LIST_DELAY), FULL_LIST_DELAY);
    versions.record(&BTreeMap::new(), ms(700));
    assert_eq!(versions.full_list_in(FULL_LIST_DELAY), ms(700));
    assert_eq!(versions.full_list_in(ms(700) + FULL_LIST_DELAY), ms(0));
}

fn catalog() -> Catalog {
    let model = ModelSpec {
        weights_mb: 70,
        adapter_mb: 1,
        load_remote: ms(6_000),
        load_disk: ms(1_300),
        load_memory: ms(600),
    };
    let engine = EngineSpec {
        slots: 10,
        kv_cache_tokens: 100_000,
        memory_mb: 230,
        adapter_slots: 2,
        store_loads_per_s: 2.0,
        models: ["a", "b"]
            .map(|name| (name.to_owned(), model.clone()))
            .into(),
    };
    let service = |engine| {
        Arc::new(Service {
            connection_limit: 100,
            engine,
        })
    };
    let services = [
        ("drafts".to_owned(), service(Some(engine))),
        ("shop".to_owned(), service(None)),
    ];
    Catalog {
        services: services.into(),
        ..Catalog::default()
    }
}

/// Engines of v1 and v2; the one of v1 that holds model `a` has ten requests, so that one of v2
/// would be chosen, and only engines of v2 have model `b` on disk.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new("g1".into(), 1, "north".into());
    fleet.configure(Arc::new(catalog()));
    let engines = [
        ("i1", "v1", Some("a"), 10, None),
        ("i2", "v1", None, 0, None),
        ("i3", "v2", Some("a"), 0, Some("b")),
    ];
    let entries = engines.map(|(id, version, ..)| (id, "drafts", Some(version)));
    let plain = [("e1", "shop", Some("v1")), ("e2", "shop", Some("v2"))];
    fleet.update_endpoints(&list(&[entries.as_slice(), plain.as_slice()].concat()), &[]);
    for (id, _, model, running, on_disk) in engines {
        let models = model.map(|model| (model.to_owned(), ModelStatus::default()));
        let status = Status {
            incarnation: 1,
            version: 1,
            engine_up: true,
            engine_started_unix_ms: 100,
            running,
            models: models.into_iter().collect(),
            on_disk: on_disk.into_iter().map(str::to_owned).collect(),
            ..Status::default()
        };
        fleet.update_status(id, status, ms(0));
    }
    fleet
}

fn pick(
    fleet: &mut Fleet,
    service: &str,
    target: Option<(&str, Option<&str>)>,
    software_version: Option<&str>,
) -> String {
    let query = PickQuery {
        service,
        target,
        software_version,
        priority: 0,
        time_left: ms(8_000),
        stopping: false,
        waited: ms(0),
        reconsider: true,
        prompt_tokens: 0,
        tried: &BTreeSet::new(),
        random: 0,
    };
    match fleet.pick(&query, ms(0)) {
        Pick::Send { endpoint, .. } => format!("sent to {endpoint}"),
        Pick::Wait(wait) => format!("waits for {}", wait.endpoint),
        Pick::TakeSlot(slot) => format!("takes a slot at {}", slot.endpoint),
        Pick::Refuse(refusal) => format!("refused: {}", refusal.reason.name()),
    }
}

#[test]
fn a_request_that_needs_a_version_is_sent_to_it_waits_for_it_or_is_refused() {
    let mut fleet = fleet();
    let cases = [
        ("drafts", Some(("a", None)), None),
        ("drafts", Some(("a", None)), Some("v1")),
        ("drafts", Some(("b", None)), None),
        ("drafts", Some(("b", None)), Some("v1")),
        ("drafts", Some(("a", Some("x"))), Some("v1")),
        ("drafts", Some(("a", Some("x"))), Some("v2")),
        ("drafts", Some(("a", None)), Some("v3")),
        ("shop", None, Some("v2")),
        ("shop", None, Some("v3")),
    ];
    let lines = cases.map(|(service, target, version)| {
        let decision = pick(&mut fleet, service, target, version);
        format!("{service} {target:?} {version:?}: {decision}")
    });
    assert_snapshot!(lines.join("\n"), @r#"
    drafts Some(("a", None)) None: sent to i3
    drafts Some(("a", None)) Some("v1"): sent to i1
    drafts Some(("b", None)) None: waits for i3
    drafts Some(("b", None)) Some("v1"): waits for i1
    drafts Some(("a", Some("x"))) Some("v1"): waits for i1
    drafts Some(("a", Some("x"))) Some("v2"): waits for i3
    drafts Some(("a", None)) Some("v3"): refused: version_gone
    shop None Some("v2"): sent to e2
    shop None Some("v3"): refused: version_gone
    "#);
}

/// Callers of a new stream and of one that began at v1 wait for the same model.
#[test]
fn callers_that_need_different_versions_wait_at_different_engines() {
    let mut fleet = fleet();
    let mut wait = |software_version: Option<&str>| {
        let decision = pick(&mut fleet, "drafts", Some(("b", None)), software_version);
        let endpoint = decision.strip_prefix("waits for ").unwrap().to_owned();
        let target = radishpin_core::process::LoadTarget {
            model: "b".to_owned(),
            adapter: None,
            software_version: software_version.map(str::to_owned),
        };
        fleet.begin_wait(target, &endpoint);
        endpoint
    };
    let endpoints = [wait(None), wait(Some("v1")), wait(None), wait(Some("v1"))];
    assert_eq!(endpoints, ["i3", "i1", "i3", "i1"]);
}

/// An engine restarts with other software under its id before the list tells.
#[test]
fn an_engine_that_restarted_since_it_was_listed_has_no_known_version() {
    let mut fleet = fleet();
    let restarted = Status {
        incarnation: 1,
        version: 2,
        engine_up: true,
        engine_started_unix_ms: 200,
        models: [("a".to_owned(), ModelStatus::default())].into(),
        ..Status::default()
    };
    fleet.update_status("i3", restarted, ms(0));
    let target = Some(("a", None));
    assert_eq!(
        pick(&mut fleet, "drafts", target, Some("v2")),
        "refused: version_gone"
    );
    assert_eq!(pick(&mut fleet, "drafts", target, None), "sent to i3");
}
