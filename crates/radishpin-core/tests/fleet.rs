//! Tests of a gateway's routing of requests and of its load demands to sidecars.

use insta::assert_snapshot;
use radishpin_core::{
    process::{
        EndpointChange, EndpointEntry, EndpointLimit, EndpointPhase, Fleet, HeldModel, LinkLoss,
        LoadStatus, LoadTarget, ModelStatus, Pick, PickQuery, RequestOutcome, Status,
    },
    request::{LimitStatement, RequestRate, Tier},
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

struct TestFleet {
    fleet: Fleet,
    entries: BTreeMap<EndpointId, EndpointEntry>,
}

impl TestFleet {
    fn new() -> Self {
        let mut fleet = Fleet::new("g1".into(), 1, "north".into());
        fleet.configure(Arc::new(catalog()));
        Self {
            fleet,
            entries: BTreeMap::new(),
        }
    }

    fn add_endpoint(&mut self, id: &str, service: &str, zone: &str, slots: u32) {
        let entry = EndpointEntry {
            service: service.into(),
            address: "10.0.0.1:80".parse().expect("address is valid"),
            zone: zone.into(),
            slots,
            phase: EndpointPhase::Ready,
            software_version: Some("v1".into()),
            started_unix_ms: 100,
            models: BTreeMap::new(),
        };
        self.entries.insert(id.into(), entry);
        self.fleet
            .update_endpoints(&self.entries, &[EndpointChange::Joined(id.into())]);
    }

    /// Adds an engine with ten slots that has loaded `models`; `b` to `e` are on its disk.
    fn add_engine(&mut self, id: &str, models: &[&str]) -> Status {
        self.add_endpoint(id, "drafts", "north", 10);
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
            Pick::TakeSlot(slot) => format!(
                "slot at {} within {} ms",
                slot.endpoint,
                slot.wait_max.as_millis()
            ),
            Pick::Refuse(refusal) => {
                let after = refusal.retry_after.as_millis();
                format!("refuse: {}, retry after {after} ms", refusal.reason.name())
            }
        }
    }
}

fn load_target(model: &str) -> LoadTarget {
    LoadTarget {
        model: model.to_owned(),
        adapter: None,
        software_version: None,
    }
}

static NO_ENDPOINTS: BTreeSet<EndpointId> = BTreeSet::new();

fn query<'a>(service: &'a str, target: Option<(&'a str, Option<&'a str>)>) -> PickQuery<'a> {
    PickQuery {
        service,
        target,
        software_version: None,
        priority: 2,
        time_left: ms(3_000),
        stopping: false,
        waited: ms(0),
        reconsider: true,
        prompt_tokens: 0,
        tried: &NO_ENDPOINTS,
        random: 0,
    }
}

#[test]
fn the_least_loaded_endpoint_in_the_local_zone_is_picked_first() {
    let mut test = TestFleet::new();
    test.add_endpoint("e1", "shop", "south", 6);
    test.add_endpoint("e2", "shop", "north", 6);
    assert_snapshot!(test.pick(&query("shop", None)), @"e2 with 0");
    assert_snapshot!(test.pick(&query("shop", None)), @"e1 with 0");
    assert_snapshot!(test.pick(&query("shop", None)), @"e2 with 1");
}

/// An endpoint that fails its requests quickly always has the lowest load. Without a cost for
/// failures it would attract all requests.
#[test]
fn a_failing_endpoint_is_not_preferred_for_its_low_load() {
    let mut test = TestFleet::new();
    test.add_endpoint("e1", "shop", "north", 6);
    test.add_endpoint("e2", "shop", "south", 6);
    let mut sent = BTreeMap::<String, u32>::new();
    for _ in 0..40 {
        let Pick::Send { endpoint, .. } = test.fleet.pick(&query("shop", None), ms(1_000)) else {
            panic!("both endpoints accept requests");
        };
        let outcome = match endpoint.as_str() {
            "e1" => RequestOutcome::Failed,
            _ => RequestOutcome::Served { took: ms(30) },
        };
        test.fleet.end_request(&endpoint, None, outcome, ms(1_000));
        *sent.entry(endpoint).or_default() += 1;
    }
    assert_snapshot!(format!("{sent:?}"), @r#"{"e1": 1, "e2": 39}"#);
}

#[test]
fn an_unreachable_endpoint_is_avoided_during_its_backoff() {
    let mut test = TestFleet::new();
    test.add_endpoint("e1", "shop", "north", 6);
    test.add_endpoint("e2", "shop", "south", 6);
    test.pick(&query("shop", None));
    test.fleet
        .end_request("e1", None, RequestOutcome::Unreachable, ms(1_000));
    assert_snapshot!(test.pick(&query("shop", None)), @"e2 with 0");
    // If no other endpoint is left, it is used in spite of its backoff.
    let tried = BTreeSet::from(["e2".to_owned()]);
    let retry = PickQuery {
        tried: &tried,
        ..query("shop", None)
    };
    assert_snapshot!(test.pick(&retry), @"e1 with 0");
}

/// A frozen host keeps its entry, with its models, until the platform notices. Requests must avoid
/// it, but not an engine of which only the sidecar process has died.
#[test]
fn an_engine_whose_sidecar_timed_out_is_picked_last() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["a"]);
    test.add_engine("i2", &["a"]);
    for entry in test.entries.values_mut() {
        entry.models = [("a".to_owned(), HeldModel::default())].into();
    }
    test.fleet.update_endpoints(&test.entries.clone(), &[]);
    let completion = query("drafts", Some(("a", None)));
    assert!(test.fleet.link_lost("i1", LinkLoss::TimedOut));
    for _ in 0..4 {
        assert!(test.pick(&completion).starts_with("i2"));
    }
    // The only endpoint with the model is used even so.
    let tried = BTreeSet::from(["i2".to_owned()]);
    let retry = PickQuery {
        tried: &tried,
        ..completion.clone()
    };
    assert!(test.pick(&retry).starts_with("i1"));
    // A closed connection to the sidecar adds no cost to its engine.
    assert!(!test.fleet.link_lost("i1", LinkLoss::Disconnected));
    assert!(test.pick(&completion).starts_with("i1"));
}

/// With more requests than slots, those that cannot be served soon are refused at once. Urgent
/// requests may still queue at the engine when others no longer may.
#[test]
fn a_full_engine_accepts_more_urgent_requests_than_others() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["a"]);
    let ordinary = query("drafts", Some(("a", None)));
    let urgent = PickQuery {
        priority: 0,
        ..ordinary.clone()
    };
    let mut accepted = (0, 0);
    while test.pick(&ordinary).starts_with("i1") {
        accepted.0 += 1;
    }
    assert_snapshot!(test.pick(&ordinary), @"refuse: busy, retry after 700 ms");
    while test.pick(&urgent).starts_with("i1") {
        accepted.1 += 1;
    }
    assert_snapshot!(format!("{accepted:?}"), @"(11, 4)");
    // Freed slots are used again.
    for _ in 0..6 {
        test.fleet.end_request(
            "i1",
            Some(("a", None)),
            RequestOutcome::Served { took: ms(500) },
            ms(1_000),
        );
    }
    assert_snapshot!(test.pick(&ordinary), @"i1 with 9");
}

/// Without jitter, callers that were refused at the same time would retry at the same time.
#[test]
fn retry_after_times_are_jittered() {
    let mut test = TestFleet::new();
    let refusals: BTreeSet<String> = (0..5)
        .map(|n| PickQuery {
            random: n * 77,
            ..query("shop", None)
        })
        .map(|query| test.pick(&query))
        .collect();
    assert_eq!(refusals.len(), 5, "{refusals:?}");
}

#[test]
fn a_request_for_a_cold_model_waits_at_the_fastest_loader() {
    let mut test = TestFleet::new();
    let mut status = test.add_engine("i1", &["a"]);
    test.add_engine("i2", &["a"]);
    status.version = 2;
    status.queue_ms = 4_000;
    test.fleet.update_status("i1", status, ms(500));
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"wait for i2 1450 ms");
}

#[test]
fn a_load_in_progress_is_joined() {
    let mut test = TestFleet::new();
    let mut status = test.add_engine("i1", &["a"]);
    test.add_engine("i2", &["a"]);
    status.version = 2;
    status.busy = true;
    status.loading = Some(LoadStatus {
        model: "b".into(),
        tier: Tier::Disk,
        remaining_ms: 900,
    });
    status.queue_ms = 900;
    test.fleet.update_status("i1", status, ms(500));
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"wait for i1 900 ms");
}

#[test]
fn a_request_is_refused_at_once_if_its_load_would_be_too_late() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["a"]);
    // f is in the weight store only.
    assert_snapshot!(test.pick(&query("drafts", Some(("f", None)))), @"refuse: load_too_late, retry after 6250 ms");
    let long_wait = PickQuery {
        time_left: ms(20_000),
        ..query("drafts", Some(("f", None)))
    };
    assert_snapshot!(test.pick(&long_wait), @"wait for i1 6150 ms");
}

/// An engine may be busy with models while callers wait for an adapter. They must be refused before
/// they time out.
#[test]
fn a_wait_for_an_adapter_ends_before_its_caller_leaves() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["a"]);
    let target = query("drafts", Some(("a", Some("x"))));
    assert_snapshot!(test.pick(&target), @"wait for i1 0 ms");
    let late = PickQuery {
        time_left: ms(100),
        waited: ms(1_900),
        ..target
    };
    assert_snapshot!(test.pick(&late), @"refuse: no_loader, retry after 1000 ms");
}

/// A gateway that stops before a load is done must refuse the waiting callers, so that they retry
/// at another gateway at once.
#[test]
fn a_stopping_gateway_sends_waiting_callers_to_another_one() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["a"]);
    let cold = PickQuery {
        time_left: ms(1_000),
        stopping: true,
        ..query("drafts", Some(("b", None)))
    };
    assert_snapshot!(test.pick(&cold), @"refuse: stopping, retry after 300 ms");
    assert!(test.fleet.next_report("i1", ms(1_000)).demands.is_empty());
}

/// If a load takes longer than callers wait, they are refused until it is done. The load must
/// continue meanwhile, or their retries would find the model still not loaded.
#[test]
fn a_load_continues_for_expected_retries() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["a"]);
    let short_wait = PickQuery {
        time_left: ms(1_000),
        ..query("drafts", Some(("b", None)))
    };
    assert_snapshot!(test.pick(&short_wait), @"refuse: load_too_late, retry after 1550 ms");
    assert_snapshot!(test.pick(&short_wait), @"refuse: load_too_late, retry after 1550 ms");
    let demands = |test: &mut TestFleet, at| {
        let demands = test.fleet.next_report("i1", ms(at)).demands;
        let lines = demands.iter().map(|d| format!("{} {}", d.model, d.waiting));
        lines.collect::<Vec<_>>().join(", ")
    };
    assert_snapshot!(demands(&mut test, 1_000), @"b 2");
    // The demand ends a grace period after the retries are due.
    assert_snapshot!(demands(&mut test, 3_300), @"b 2");
    assert_snapshot!(demands(&mut test, 3_400), @"");
}

#[test]
fn a_model_about_to_be_unloaded_gets_no_requests() {
    let mut test = TestFleet::new();
    let mut status = test.add_engine("i1", &["b"]);
    status.version = 2;
    status.models.insert(
        "b".into(),
        ModelStatus {
            leaving: true,
            ..ModelStatus::default()
        },
    );
    test.fleet.update_status("i1", status, ms(500));
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"wait for i1 1450 ms");
}

#[test]
fn a_misdirected_model_is_avoided_until_the_next_status() {
    let mut test = TestFleet::new();
    let mut status = test.add_engine("i1", &["b"]);
    test.pick(&query("drafts", Some(("b", None))));
    test.fleet.end_request(
        "i1",
        Some(("b", None)),
        RequestOutcome::Misdirected,
        ms(1_000),
    );
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"wait for i1 1450 ms");
    status.version = 2;
    test.fleet.update_status("i1", status, ms(1_200));
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"i1 with 0");
}

#[test]
fn requests_for_an_adapter_stay_together_and_avoid_busy_engines() {
    let mut test = TestFleet::new();
    let mut statuses = [test.add_engine("i1", &["a"]), test.add_engine("i2", &["a"])];
    let target = query("drafts", Some(("a", Some("x"))));
    assert_snapshot!(test.pick(&target), @"wait for i2 0 ms");
    statuses[1].version = 2;
    statuses[1].busy = true;
    test.fleet.update_status("i2", statuses[1].clone(), ms(500));
    assert_snapshot!(test.pick(&target), @"wait for i1 0 ms");
    let held = ModelStatus {
        adapters: ["x".to_owned()].into(),
        ..ModelStatus::default()
    };
    statuses[1].version = 3;
    statuses[1].models.insert("a".into(), held);
    test.fleet.update_status("i2", statuses[1].clone(), ms(600));
    assert_snapshot!(test.pick(&target), @"i2 with 0");
}

#[test]
fn an_engine_without_a_status_serves_the_listed_models() {
    let mut test = TestFleet::new();
    test.add_endpoint("i1", "drafts", "north", 10);
    assert_snapshot!(test.pick(&query("drafts", Some(("a", None)))), @"refuse: no_loader, retry after 1000 ms");
    let entry = test.entries.get_mut("i1").unwrap();
    entry.models.insert("a".into(), HeldModel::default());
    test.fleet.update_endpoints(&test.entries, &[]);
    assert_snapshot!(test.pick(&query("drafts", Some(("a", None)))), @"i1 with 0");
}

#[test]
fn a_restarted_engine_has_no_models_until_its_next_status() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["b"]);
    test.entries.get_mut("i1").unwrap().started_unix_ms = 900;
    test.fleet
        .update_endpoints(&test.entries, &[EndpointChange::Restarted("i1".into())]);
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"refuse: no_loader, retry after 1000 ms");
}

/// When traffic moves to other models, the busy ones get replicas that are spread over the engines,
/// and every engine keeps room for one rarely used model.
#[test]
fn busy_models_get_replicas_and_leave_room_for_rare_models() {
    let mut test = TestFleet::new();
    for id in ["i1", "i2", "i3"] {
        test.add_engine(id, &["a", "b", "c"]);
    }
    for n in 0..300 {
        for model in ["a", "b", "c", "d"] {
            test.fleet.count_request(model, ms(n * 30));
        }
    }
    test.fleet.plan(ms(9_000));
    let mut lines = Vec::new();
    for id in ["i1", "i2", "i3"] {
        let report = test.fleet.next_report(id, ms(9_000));
        let kept: Vec<&ModelId> = report
            .usage
            .iter()
            .filter_map(|(model, usage)| usage.keep.then_some(model))
            .collect();
        let demanded: Vec<String> = report
            .demands
            .iter()
            .map(|d| format!("{} {:?}", d.model, d.reason))
            .collect();
        lines.push(format!("{id} keeps {kept:?} and is asked for {demanded:?}"));
        assert!(kept.len() <= 2);
    }
    assert_snapshot!(lines.join("\n"));
}

/// Without load, weights that no endpoint has in memory or on disk are prefetched: each by one
/// endpoint, and no more at once than the weight store serves at full speed.
#[test]
fn idle_engines_prefetch_weights_that_no_engine_has() {
    let mut test = TestFleet::new();
    for id in ["i1", "i2", "i3"] {
        let mut status = test.add_engine(id, &["b"]);
        status.version = 2;
        status.on_disk = ["b".to_owned(), "c".to_owned()].into();
        test.fleet.update_status(id, status, ms(100));
    }
    test.fleet.plan(ms(1_000));
    let demanded: Vec<String> = ["i1", "i2", "i3"]
        .into_iter()
        .flat_map(|id| test.fleet.next_report(id, ms(1_000)).demands)
        .map(|demand| format!("{} {:?}", demand.model, demand.reason))
        .collect();
    let distinct: BTreeSet<&String> = demanded.iter().collect();
    assert_eq!(demanded.len(), 2, "{demanded:?}");
    assert_eq!(distinct.len(), 2, "{demanded:?}");
}

/// Engines prefill prompts between the tokens of other streams. Several long prompts at one engine
/// would delay these tokens, so that other requests must go elsewhere.
#[test]
fn long_prompts_in_a_burst_are_spread() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["a"]);
    test.add_engine("i2", &["a"]);
    let long = PickQuery {
        prompt_tokens: 6_000,
        ..query("drafts", Some(("a", None)))
    };
    let first = test.pick(&long);
    let short = query("drafts", Some(("a", None)));
    let others: BTreeSet<String> = (0..3).map(|_| test.pick(&short)).collect();
    assert_snapshot!(format!("{first}; {others:?}"), @r#"i1 with 0; {"i2 with 0", "i2 with 1", "i2 with 2"}"#);
}

/// If the estimate of a load grows, the callers that wait for it move to a faster engine.
#[test]
fn a_waiting_request_moves_to_a_much_faster_loader() {
    let mut test = TestFleet::new();
    let mut status = test.add_engine("i1", &["a"]);
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"wait for i1 1450 ms");
    test.fleet.begin_wait(load_target("b"), "i1");
    test.add_engine("i2", &["a"]);
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"wait for i1 1450 ms");
    status.version = 2;
    status.room_ms = 1_500;
    test.fleet.update_status("i1", status, ms(500));
    let keep_waiting = PickQuery {
        reconsider: false,
        ..query("drafts", Some(("b", None)))
    };
    assert_snapshot!(test.pick(&keep_waiting), @"wait for i1 2800 ms");
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"wait for i2 1450 ms");
}

/// After a power loss engines restart under new ids that the platform does not list yet. Requests
/// under the old ids would all be refused; they must wait for the new entry.
#[test]
fn requests_wait_for_an_engine_that_the_platform_does_not_list_yet() {
    let mut test = TestFleet::new();
    let mut status = test.add_engine("i1", &["a"]);
    status.version = 2;
    status.engine_id = Some("i9".into());
    test.fleet.update_status("i1", status.clone(), ms(500));
    assert_snapshot!(test.pick(&query("drafts", Some(("a", None)))), @"wait for i1 800 ms");
    test.entries.clear();
    test.add_endpoint("i9", "drafts", "north", 10);
    test.fleet.update_status("i9", status, ms(900));
    assert_snapshot!(test.pick(&query("drafts", Some(("a", None)))), @"i9 with 0");
}

/// States a limit of an endpoint in an answer at 500 ms.
fn state_limit(test: &mut TestFleet, id: &str, per_s: f64) {
    let rate = RequestRate::from_per_s(per_s).expect("the rate is valid");
    let statement = LimitStatement::Limited(rate);
    assert!(test.fleet.record_limit(id, statement, ms(400), ms(500)));
}

#[test]
fn an_endpoint_that_states_a_limit_is_spared_while_another_one_has_room() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["a"]);
    test.add_engine("i2", &["a"]);
    state_limit(&mut test, "i1", 1.0);
    let picks: Vec<String> = (0..4)
        .map(|_| test.pick(&query("drafts", Some(("a", None)))))
        .collect();
    assert_snapshot!(picks.join("; "), @"i2 with 0; i2 with 1; i2 with 2; i2 with 3");
}

/// The only engine with the model gives its next slot in 700 ms; a load elsewhere takes 1.4 s.
#[test]
fn a_request_waits_for_a_slot_or_a_load_whichever_comes_first() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["b"]);
    test.add_engine("i2", &["a"]);
    state_limit(&mut test, "i1", 1.0);
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"i1 with 0");
    test.fleet.await_slot("i1", ms(1_700));
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"slot at i1 within 1000 ms");
    test.fleet.await_slot("i1", ms(9_000));
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"wait for i2 1450 ms");
    let urgent = PickQuery {
        time_left: ms(500),
        ..query("drafts", Some(("b", None)))
    };
    assert_snapshot!(test.pick(&urgent), @"refuse: load_too_late, retry after 1550 ms");
    test.fleet.await_slot("i1", ms(2_200));
    assert_snapshot!(test.pick(&urgent), @"refuse: limited, retry after 1200 ms");
}

#[test]
fn a_plain_endpoint_without_a_slot_in_time_refuses_with_the_time_of_the_next() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    state_limit(&mut test, "p1", 0.2);
    assert_snapshot!(test.pick(&query("shop", None)), @"p1 with 0");
    test.fleet.await_slot("p1", ms(6_000));
    assert_snapshot!(test.pick(&query("shop", None)), @"refuse: limited, retry after 5000 ms");
    test.fleet.await_slot("p1", ms(1_800));
    assert_snapshot!(test.pick(&query("shop", None)), @"slot at p1 within 1000 ms");
    assert!(
        test.fleet
            .record_limit("p1", LimitStatement::Unlimited, ms(600), ms(900))
    );
    assert_snapshot!(test.pick(&query("shop", None)), @"p1 with 1");
}

#[test]
fn an_answer_to_an_earlier_request_does_not_lift_a_limit() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    state_limit(&mut test, "p1", 1.0);
    let early = LimitStatement::Unlimited;
    assert!(!test.fleet.record_limit("p1", early, ms(499), ms(900)));
    let unreadable = LimitStatement::Unreadable;
    assert!(!test.fleet.record_limit("p1", unreadable, ms(600), ms(900)));
    let known = test.fleet.limits(ms(1_500));
    assert_eq!(known.len(), 1);
    assert_eq!(known[0].age_ms, 1_000);
    let later = EndpointLimit {
        limit: None,
        age_ms: 200,
        ..known[0].clone()
    };
    let earlier = EndpointLimit {
        age_ms: 1_200,
        ..later.clone()
    };
    assert!(!test.fleet.learn_limit(&earlier, ms(1_500)), "it is older");
    assert!(test.fleet.learn_limit(&later, ms(1_500)));
    assert!(test.fleet.limits(ms(1_500)).is_empty());
}
