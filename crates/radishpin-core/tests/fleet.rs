//! Where a gateway sends requests, and what it asks sidecars to load.

use insta::assert_snapshot;
use radishpin_core::{
    process::{
        EndpointChange, EndpointEntry, EndpointPhase, Fleet, HeldModel, LinkLoss, LoadStatus,
        ModelStatus, Pick, PickQuery, RequestOutcome, Status,
    },
    request::Tier,
    version::{Catalog, EngineSpec, ModelSpec, Service},
};
use radishpin_protocol::prelude::*;
use std::sync::Arc;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const MODELS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

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
        models: MODELS.map(|name| (name.to_owned(), model.clone())).into(),
    };
    let service = |engine| {
        Arc::new(Service {
            connection_limit: 100,
            engine,
        })
    };
    Catalog {
        services: [
            ("drafts".to_owned(), service(Some(engine))),
            ("shop".to_owned(), service(None)),
        ]
        .into(),
        ..Catalog::default()
    }
}

struct World {
    fleet: Fleet,
    entries: BTreeMap<EndpointId, EndpointEntry>,
}

impl World {
    fn new() -> Self {
        let mut fleet = Fleet::new("g1".into(), 1, "north".into());
        fleet.configure(Arc::new(catalog()));
        Self {
            fleet,
            entries: BTreeMap::new(),
        }
    }

    fn list(&mut self, id: &str, service: &str, zone: &str, slots: u32) {
        let entry = EndpointEntry {
            service: service.into(),
            address: "10.0.0.1:80".parse().expect("address is valid"),
            zone: zone.into(),
            slots,
            phase: EndpointPhase::Ready,
            started_unix_ms: 100,
            models: BTreeMap::new(),
        };
        self.entries.insert(id.into(), entry);
        self.fleet
            .update_endpoints(&self.entries, &[EndpointChange::Joined(id.into())]);
    }

    /// An engine of ten places that holds some models; `b` to `e` are on its disk.
    fn engine(&mut self, id: &str, models: &[&str]) -> Status {
        self.list(id, "drafts", "north", 10);
        let held = models
            .iter()
            .map(|model| ((*model).to_owned(), ModelStatus::default()));
        let status = Status {
            incarnation: 1,
            version: 1,
            engine_up: true,
            engine_started_unix_ms: 100,
            models: held.collect(),
            room_ms: 150,
            on_disk: ["b", "c", "d", "e"].map(str::to_owned).into(),
            gateways: 2,
            ..Status::default()
        };
        self.fleet.update_status(id, status.clone(), ms(0));
        status
    }

    fn pick(&mut self, query: &PickQuery<'_>) -> String {
        match self.fleet.pick(query, ms(1_000)) {
            Pick::Send {
                endpoint, snapshot, ..
            } => format!("{endpoint} with {}", snapshot.load),
            Pick::Wait(wait) => format!(
                "wait for {} {} ms",
                wait.endpoint,
                wait.estimate.as_millis()
            ),
            Pick::Refuse(refusal) => {
                let after = refusal.retry_after.as_millis();
                format!("refuse: {}, retry after {after} ms", refusal.reason.name())
            }
        }
    }
}

static NONE_TRIED: BTreeSet<EndpointId> = BTreeSet::new();

fn query<'a>(service: &'a str, target: Option<(&'a str, Option<&'a str>)>) -> PickQuery<'a> {
    PickQuery {
        service,
        target,
        priority: 2,
        time_left: ms(3_000),
        stopping: false,
        waited: ms(0),
        reconsider: true,
        prompt_tokens: 0,
        tried: &NONE_TRIED,
        random: 0,
    }
}

#[test]
fn the_least_loaded_endpoint_of_the_own_zone_goes_first() {
    let mut world = World::new();
    world.list("e1", "shop", "south", 6);
    world.list("e2", "shop", "north", 6);
    assert_snapshot!(world.pick(&query("shop", None)), @"e2 with 0");
    assert_snapshot!(world.pick(&query("shop", None)), @"e1 with 0");
    assert_snapshot!(world.pick(&query("shop", None)), @"e2 with 1");
}

/// Load pattern: one endpoint fails what it takes, fast, and so always looks idle.
#[test]
fn an_endpoint_that_fails_its_requests_is_not_the_idlest() {
    let mut world = World::new();
    world.list("e1", "shop", "north", 6);
    world.list("e2", "shop", "south", 6);
    let mut sent = BTreeMap::<String, u32>::new();
    for _ in 0..40 {
        let Pick::Send { endpoint, .. } = world.fleet.pick(&query("shop", None), ms(1_000)) else {
            panic!("both are open");
        };
        let outcome = match endpoint.as_str() {
            "e1" => RequestOutcome::Failed,
            _ => RequestOutcome::Served { took: ms(30) },
        };
        world.fleet.end_request(&endpoint, None, outcome, ms(1_000));
        *sent.entry(endpoint).or_default() += 1;
    }
    assert_snapshot!(format!("{sent:?}"), @r#"{"e1": 1, "e2": 39}"#);
}

#[test]
fn an_unreachable_endpoint_is_passed_over_for_a_while() {
    let mut world = World::new();
    world.list("e1", "shop", "north", 6);
    world.list("e2", "shop", "south", 6);
    world.pick(&query("shop", None));
    world
        .fleet
        .end_request("e1", None, RequestOutcome::Unreachable, ms(1_000));
    assert_snapshot!(world.pick(&query("shop", None)), @"e2 with 0");
    // With no other one left it is tried all the same.
    let tried = BTreeSet::from(["e2".to_owned()]);
    let retry = PickQuery {
        tried: &tried,
        ..query("shop", None)
    };
    assert_snapshot!(world.pick(&retry), @"e1 with 0");
}

/// Load pattern: a host stands still with its engine; until the platform notices, its entry still
/// lists the models. An engine whose sidecar process died only serves on.
#[test]
fn an_engine_whose_sidecar_fell_silent_is_the_last_choice() {
    let mut world = World::new();
    world.engine("i1", &["a"]);
    world.engine("i2", &["a"]);
    for entry in world.entries.values_mut() {
        entry.models = [("a".to_owned(), HeldModel::default())].into();
    }
    world.fleet.update_endpoints(&world.entries.clone(), &[]);
    let draft = query("drafts", Some(("a", None)));
    assert!(world.fleet.link_lost("i1", LinkLoss::TimedOut));
    for _ in 0..4 {
        assert!(world.pick(&draft).starts_with("i2"));
    }
    // The only holder is reached all the same.
    let tried = BTreeSet::from(["i2".to_owned()]);
    let retry = PickQuery {
        tried: &tried,
        ..draft.clone()
    };
    assert!(world.pick(&retry).starts_with("i1"));
    // A sidecar that died alone costs its engine nothing.
    assert!(!world.fleet.link_lost("i1", LinkLoss::Disconnected));
    assert!(world.pick(&draft).starts_with("i1"));
}

/// Load pattern: more requests than places. What cannot be served soon is refused at once; urgent
/// requests may queue at the engine when others no longer may.
#[test]
fn a_full_engine_takes_urgent_requests_longer_than_others() {
    let mut world = World::new();
    world.engine("i1", &["a"]);
    let tagging = query("drafts", Some(("a", None)));
    let dictation = PickQuery {
        priority: 0,
        ..tagging.clone()
    };
    let mut taken = (0, 0);
    while world.pick(&tagging).starts_with("i1") {
        taken.0 += 1;
    }
    assert_snapshot!(world.pick(&tagging), @"refuse: busy, retry after 700 ms");
    while world.pick(&dictation).starts_with("i1") {
        taken.1 += 1;
    }
    assert_snapshot!(format!("{taken:?}"), @"(11, 4)");
    // The places that come free are taken again.
    for _ in 0..6 {
        world.fleet.end_request(
            "i1",
            Some(("a", None)),
            RequestOutcome::Served { took: ms(500) },
            ms(1_000),
        );
    }
    assert_snapshot!(world.pick(&tagging), @"i1 with 9");
}

/// Load pattern: refused callers come back together.
#[test]
fn refused_callers_are_spread() {
    let mut world = World::new();
    let refusals: BTreeSet<String> = (0..5)
        .map(|n| PickQuery {
            random: n * 77,
            ..query("shop", None)
        })
        .map(|query| world.pick(&query))
        .collect();
    assert_eq!(refusals.len(), 5, "{refusals:?}");
}

#[test]
fn a_cold_model_waits_where_it_is_served_soonest() {
    let mut world = World::new();
    let mut status = world.engine("i1", &["a"]);
    world.engine("i2", &["a"]);
    status.version = 2;
    status.queue_ms = 4_000;
    world.fleet.update_status("i1", status, ms(500));
    assert_snapshot!(world.pick(&query("drafts", Some(("b", None)))), @"wait for i2 1450 ms");
}

#[test]
fn a_load_in_progress_is_joined() {
    let mut world = World::new();
    let mut status = world.engine("i1", &["a"]);
    world.engine("i2", &["a"]);
    status.version = 2;
    status.busy = true;
    status.loading = Some(LoadStatus {
        model: "b".into(),
        tier: Tier::Disk,
        remaining_ms: 900,
    });
    status.queue_ms = 900;
    world.fleet.update_status("i1", status, ms(500));
    assert_snapshot!(world.pick(&query("drafts", Some(("b", None)))), @"wait for i1 900 ms");
}

#[test]
fn a_load_that_comes_too_late_is_refused_at_once() {
    let mut world = World::new();
    world.engine("i1", &["a"]);
    // f is in the weight store only.
    assert_snapshot!(world.pick(&query("drafts", Some(("f", None)))), @"refuse: load_too_late, retry after 6250 ms");
    let patient = PickQuery {
        time_left: ms(20_000),
        ..query("drafts", Some(("f", None)))
    };
    assert_snapshot!(world.pick(&patient), @"wait for i1 6150 ms");
}

/// Load pattern: an engine swaps models while callers wait for an adapter. They hear of it before
/// they leave.
#[test]
fn a_wait_for_an_adapter_ends_before_its_caller_leaves() {
    let mut world = World::new();
    world.engine("i1", &["a"]);
    let target = query("drafts", Some(("a", Some("x"))));
    assert_snapshot!(world.pick(&target), @"wait for i1 0 ms");
    let leaving = PickQuery {
        time_left: ms(100),
        waited: ms(1_900),
        ..target
    };
    assert_snapshot!(world.pick(&leaving), @"refuse: no_loader, retry after 1000 ms");
}

/// Load pattern: a gateway is stopped while its callers wait for a load that it won't see. Another
/// gateway takes them at once.
#[test]
fn callers_of_a_gateway_that_stops_go_to_another_one() {
    let mut world = World::new();
    world.engine("i1", &["a"]);
    let cold = PickQuery {
        time_left: ms(1_000),
        stopping: true,
        ..query("drafts", Some(("b", None)))
    };
    assert_snapshot!(world.pick(&cold), @"refuse: stopping, retry after 300 ms");
    assert!(world.fleet.next_report("i1", ms(1_000)).demands.is_empty());
}

/// Load pattern: demand moves to a model whose load takes longer than callers stay. They are told
/// to come back when it is done, and it goes on without them.
#[test]
fn a_load_goes_on_for_callers_that_were_told_to_come_back() {
    let mut world = World::new();
    world.engine("i1", &["a"]);
    let hasty = PickQuery {
        time_left: ms(1_000),
        ..query("drafts", Some(("b", None)))
    };
    assert_snapshot!(world.pick(&hasty), @"refuse: load_too_late, retry after 1550 ms");
    assert_snapshot!(world.pick(&hasty), @"refuse: load_too_late, retry after 1550 ms");
    let demands = |world: &mut World, at| {
        let demands = world.fleet.next_report("i1", ms(at)).demands;
        let lines = demands.iter().map(|d| format!("{} {}", d.model, d.waiting));
        lines.collect::<Vec<_>>().join(", ")
    };
    assert_snapshot!(demands(&mut world, 1_000), @"b 2");
    // Until they should be back, and a little longer.
    assert_snapshot!(demands(&mut world, 3_300), @"b 2");
    assert_snapshot!(demands(&mut world, 3_400), @"");
}

#[test]
fn a_leaving_model_takes_nothing_new() {
    let mut world = World::new();
    let mut status = world.engine("i1", &["b"]);
    status.version = 2;
    status.models.insert(
        "b".into(),
        ModelStatus {
            leaving: true,
            ..ModelStatus::default()
        },
    );
    world.fleet.update_status("i1", status, ms(500));
    assert_snapshot!(world.pick(&query("drafts", Some(("b", None)))), @"wait for i1 1450 ms");
}

#[test]
fn a_model_that_was_refused_as_missing_is_not_asked_for_until_the_sidecar_speaks() {
    let mut world = World::new();
    let mut status = world.engine("i1", &["b"]);
    world.pick(&query("drafts", Some(("b", None))));
    world.fleet.end_request(
        "i1",
        Some(("b", None)),
        RequestOutcome::Misdirected,
        ms(1_000),
    );
    assert_snapshot!(world.pick(&query("drafts", Some(("b", None)))), @"wait for i1 1450 ms");
    status.version = 2;
    world.fleet.update_status("i1", status, ms(1_200));
    assert_snapshot!(world.pick(&query("drafts", Some(("b", None)))), @"i1 with 0");
}

#[test]
fn adapters_stay_together_and_avoid_engines_that_swap_models() {
    let mut world = World::new();
    let mut statuses = [world.engine("i1", &["a"]), world.engine("i2", &["a"])];
    let target = query("drafts", Some(("a", Some("x"))));
    assert_snapshot!(world.pick(&target), @"wait for i2 0 ms");
    statuses[1].version = 2;
    statuses[1].busy = true;
    world
        .fleet
        .update_status("i2", statuses[1].clone(), ms(500));
    assert_snapshot!(world.pick(&target), @"wait for i1 0 ms");
    let held = ModelStatus {
        adapters: ["x".to_owned()].into(),
        ..ModelStatus::default()
    };
    statuses[1].version = 3;
    statuses[1].models.insert("a".into(), held);
    world
        .fleet
        .update_status("i2", statuses[1].clone(), ms(600));
    assert_snapshot!(world.pick(&target), @"i2 with 0");
}

#[test]
fn without_its_sidecar_an_engine_serves_what_the_platform_lists() {
    let mut world = World::new();
    world.list("i1", "drafts", "north", 10);
    assert_snapshot!(world.pick(&query("drafts", Some(("a", None)))), @"refuse: no_loader, retry after 1000 ms");
    let entry = world.entries.get_mut("i1").unwrap();
    entry.models.insert("a".into(), HeldModel::default());
    world.fleet.update_endpoints(&world.entries, &[]);
    assert_snapshot!(world.pick(&query("drafts", Some(("a", None)))), @"i1 with 0");
}

#[test]
fn a_restarted_engine_holds_nothing_until_it_says_so() {
    let mut world = World::new();
    world.engine("i1", &["b"]);
    world.entries.get_mut("i1").unwrap().started_unix_ms = 900;
    world
        .fleet
        .update_endpoints(&world.entries, &[EndpointChange::Restarted("i1".into())]);
    assert_snapshot!(world.pick(&query("drafts", Some(("b", None)))), @"refuse: no_loader, retry after 1000 ms");
}

/// Load pattern: the traffic moves to other models; the busy ones need replicas, spread over the
/// engines, and every engine keeps a place for rare models.
#[test]
fn busy_models_get_replicas_and_rare_models_keep_places() {
    let mut world = World::new();
    for id in ["i1", "i2", "i3"] {
        world.engine(id, &["a", "b", "c"]);
    }
    for n in 0..300 {
        for model in ["a", "b", "c", "d"] {
            world.fleet.count_request(model, ms(n * 30));
        }
    }
    world.fleet.plan(ms(9_000));
    let mut lines = Vec::new();
    for id in ["i1", "i2", "i3"] {
        let report = world.fleet.next_report(id, ms(9_000));
        let kept: Vec<&ModelId> = report
            .usage
            .iter()
            .filter_map(|(model, usage)| usage.keep.then_some(model))
            .collect();
        let wanted: Vec<String> = report
            .demands
            .iter()
            .map(|d| format!("{} {:?}", d.model, d.reason))
            .collect();
        lines.push(format!("{id} keeps {kept:?} and is asked for {wanted:?}"));
        assert!(kept.len() <= 2);
    }
    assert_snapshot!(lines.join("\n"));
}

/// Load pattern: a quiet spell. Weights that no endpoint has near are copied, at most as many at
/// once as the weight store serves at full speed, and each by one endpoint.
#[test]
fn idle_engines_copy_weights_that_nobody_has() {
    let mut world = World::new();
    for id in ["i1", "i2", "i3"] {
        let mut status = world.engine(id, &["b"]);
        status.version = 2;
        status.on_disk = ["b".to_owned(), "c".to_owned()].into();
        world.fleet.update_status(id, status, ms(100));
    }
    world.fleet.plan(ms(1_000));
    let wanted: Vec<String> = ["i1", "i2", "i3"]
        .into_iter()
        .flat_map(|id| world.fleet.next_report(id, ms(1_000)).demands)
        .map(|demand| format!("{} {:?}", demand.model, demand.reason))
        .collect();
    let distinct: BTreeSet<&String> = wanted.iter().collect();
    assert_eq!(wanted.len(), 2, "{wanted:?}");
    assert_eq!(distinct.len(), 2, "{wanted:?}");
}

/// Load pattern: long prompts come in clumps. Engines read prompts between the tokens of others'
/// streams, whose gaps grow with what is read at once.
#[test]
fn long_prompts_that_come_together_are_spread() {
    let mut world = World::new();
    world.engine("i1", &["a"]);
    world.engine("i2", &["a"]);
    let long = PickQuery {
        prompt_tokens: 6_000,
        ..query("drafts", Some(("a", None)))
    };
    let first = world.pick(&long);
    let short = query("drafts", Some(("a", None)));
    let others: BTreeSet<String> = (0..3).map(|_| world.pick(&short)).collect();
    assert_snapshot!(format!("{first}; {others:?}"), @r#"i1 with 0; {"i2 with 0", "i2 with 1", "i2 with 2"}"#);
}

/// Load pattern: an engine that looked soon turns out slow; callers that wait there move on.
#[test]
fn a_wait_moves_where_it_is_served_much_sooner() {
    let mut world = World::new();
    let mut status = world.engine("i1", &["a"]);
    assert_snapshot!(world.pick(&query("drafts", Some(("b", None)))), @"wait for i1 1450 ms");
    world.fleet.begin_wait("b", None, "i1");
    world.engine("i2", &["a"]);
    assert_snapshot!(world.pick(&query("drafts", Some(("b", None)))), @"wait for i1 1450 ms");
    status.version = 2;
    status.room_ms = 1_500;
    world.fleet.update_status("i1", status, ms(500));
    let still = PickQuery {
        reconsider: false,
        ..query("drafts", Some(("b", None)))
    };
    assert_snapshot!(world.pick(&still), @"wait for i1 2800 ms");
    assert_snapshot!(world.pick(&query("drafts", Some(("b", None)))), @"wait for i2 1450 ms");
}

/// Found after a loss of power: engines had loaded under new ids that the platform did not list
/// yet; requests under the old ids were refused one after the other.
#[test]
fn requests_wait_for_an_engine_that_the_platform_does_not_list_yet() {
    let mut world = World::new();
    let mut status = world.engine("i1", &["a"]);
    status.version = 2;
    status.engine_id = Some("i9".into());
    world.fleet.update_status("i1", status.clone(), ms(500));
    assert_snapshot!(world.pick(&query("drafts", Some(("a", None)))), @"wait for i1 800 ms");
    world.entries.clear();
    world.list("i9", "drafts", "north", 10);
    world.fleet.update_status("i9", status, ms(900));
    assert_snapshot!(world.pick(&query("drafts", Some(("a", None)))), @"i9 with 0");
}
