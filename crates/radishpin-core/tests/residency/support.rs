//! Decisions of a sidecar about the models and adapters that its engine keeps loaded.

use insta::assert_snapshot;
use radishpin_core::{
    process::{
        Action, ActionOutcome, Demand, DemandReason, EndpointReport, GatewayReport, HeldModel,
        ModelUsage, Residency, StoreLoadShare,
    },
    version::{EngineSpec, ModelSpec},
};
use radishpin_protocol::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const WINDOW: Duration = Duration::from_secs(5);

/// An engine with memory for three models and slots for two adapters.
fn engine_spec() -> EngineSpec {
    let model = ModelSpec {
        weights_mb: 70,
        adapter_mb: 1,
        load_remote: ms(6_000),
        load_disk: ms(1_300),
        load_memory: ms(600),
    };
    let names = ["a", "b", "c", "d", "e", "f"];
    EngineSpec {
        slots: 64,
        kv_cache_tokens: 100_000,
        memory_mb: 230,
        adapter_slots: 2,
        store_loads_per_s: 0.2,
        models: names.map(|name| (name.to_owned(), model.clone())).into(),
    }
}

struct Fixture {
    residency: Residency,
    report: EndpointReport,
    sequence: u64,
}

impl Fixture {
    /// An engine in which `models` are loaded. The weights of `a` to `d` are on its disk, those of
    /// `e` and `f` only in the weight store.
    fn with_loaded_models(models: &[&str]) -> Self {
        let mut residency = Residency::new(7, ms(0));
        residency.configure(engine_spec(), WINDOW);
        let held = models
            .iter()
            .map(|model| ((*model).to_owned(), HeldModel::default()));
        let mut fixture = Self {
            residency,
            report: EndpointReport {
                models: held.collect(),
                on_disk: ["a", "b", "c", "d"].map(str::to_owned).into(),
                started_unix_ms: 100,
                ..EndpointReport::default()
            },
            sequence: 0,
        };
        fixture.observe(0);
        fixture
    }

    fn observe(&mut self, at_ms: u64) {
        self.residency.observe(self.report.clone(), ms(at_ms));
    }

    fn send_gateway_report(
        &mut self,
        at_ms: u64,
        usage: &[(&str, ModelUsage)],
        demands: &[Demand],
    ) {
        self.sequence += 1;
        let status = self.residency.status(ms(at_ms));
        let report = GatewayReport {
            gateway: "g1".into(),
            incarnation: 1,
            sequence: self.sequence,
            endpoint: "i1".into(),
            engines: 1,
            seen_incarnation: status.incarnation,
            seen_version: status.version,
            usage: usage
                .iter()
                .map(|(model, usage)| ((*model).to_owned(), usage.clone()))
                .collect(),
            demands: demands.to_vec(),
        };
        self.residency.record_gateway_report(report, ms(at_ms));
    }

    fn decide(&mut self, at_ms: u64) -> String {
        match self.residency.decide(ms(at_ms)) {
            None => "nothing".into(),
            Some((action, sequence)) => {
                let what = match &action {
                    Action::Load(model) => format!("load {model}"),
                    Action::Unload(model) => format!("unload {model}"),
                    Action::LoadAdapter(model, adapter) => format!("load {model}/{adapter}"),
                    Action::UnloadAdapter(model, adapter) => format!("unload {model}/{adapter}"),
                };
                format!("{what} @{sequence}")
            }
        }
    }
}

fn waiting_demand(model: &str, callers: u32) -> Demand {
    Demand {
        model: model.into(),
        adapter: None,
        reason: DemandReason::Waiting,
        waiting: callers,
    }
}

fn adapter_demand(model: &str, adapter: &str) -> Demand {
    Demand {
        adapter: Some(adapter.into()),
        ..waiting_demand(model, 1)
    }
}

fn model_usage(per_s: f32, active: u32, keep: bool) -> ModelUsage {
    ModelUsage {
        per_s,
        loss_per_s: per_s,
        active,
        keep,
        adapters: BTreeSet::new(),
    }
}

#[test]
fn a_model_is_loaded_if_memory_is_free() {
    let mut fixture = Fixture::with_loaded_models(&["a", "b"]);
    fixture.send_gateway_report(1_000, &[], &[waiting_demand("c", 1)]);
    assert_snapshot!(fixture.decide(1_000), @"load c @0");
}

#[test]
fn the_model_with_the_lowest_loss_is_unloaded_after_gateways_acknowledge() {
    let mut fixture = Fixture::with_loaded_models(&["a", "b", "c"]);
    let usage = [
        ("a", model_usage(3.0, 0, false)),
        ("b", model_usage(0.1, 0, false)),
        ("c", model_usage(1.0, 0, false)),
    ];
    fixture.send_gateway_report(1_000, &usage, &[waiting_demand("d", 1)]);
    assert_snapshot!(fixture.decide(1_000), @"nothing");
    let leaving: Vec<ModelId> = fixture
        .residency
        .status(ms(1_000))
        .models
        .into_iter()
        .filter_map(|(model, status)| status.leaving.then_some(model))
        .collect();
    assert_eq!(leaving, ["b"]);
    fixture.send_gateway_report(1_010, &usage, &[waiting_demand("d", 1)]);
    assert_snapshot!(fixture.decide(1_010), @"unload b @0");
    fixture.report.models.remove("b");
    fixture.report.sequence = 1;
    fixture.observe(1_050);
    assert_snapshot!(fixture.decide(1_050), @"load d @1");
}

#[test]
fn a_model_is_unloaded_only_after_its_requests_end() {
    let mut fixture = Fixture::with_loaded_models(&["a", "b", "c"]);
    let busy = [
        ("a", model_usage(3.0, 2, false)),
        ("b", model_usage(0.1, 1, false)),
        ("c", model_usage(1.0, 1, false)),
    ];
    fixture.send_gateway_report(1_000, &busy, &[waiting_demand("d", 1)]);
    fixture.decide(1_000);
    fixture.send_gateway_report(1_010, &busy, &[waiting_demand("d", 1)]);
    assert_snapshot!(fixture.decide(1_010), @"nothing");
    let ended = [
        ("a", model_usage(3.0, 2, false)),
        ("b", model_usage(0.1, 0, false)),
        ("c", model_usage(1.0, 1, false)),
    ];
    fixture.send_gateway_report(2_000, &ended, &[waiting_demand("d", 1)]);
    assert_snapshot!(fixture.decide(2_000), @"unload b @0");
}

#[test]
fn replicas_that_gateways_keep_are_not_evicted() {
    let mut fixture = Fixture::with_loaded_models(&["a", "b", "c"]);
    let usage = [
        ("a", model_usage(0.0, 0, true)),
        ("b", model_usage(0.0, 0, true)),
        ("c", model_usage(9.0, 0, false)),
    ];
    fixture.send_gateway_report(1_000, &usage, &[waiting_demand("d", 1)]);
    fixture.decide(1_000);
    fixture.send_gateway_report(1_010, &usage, &[waiting_demand("d", 1)]);
    assert_snapshot!(fixture.decide(1_010), @"unload c @0");
}

#[test]
fn a_newly_loaded_model_is_not_evicted_at_once() {
    let mut fixture = Fixture::with_loaded_models(&["a", "b"]);
    fixture
        .report
        .models
        .insert("c".into(), HeldModel::default());
    fixture.observe(1_000);
    let needed = [
        ("a", model_usage(1.0, 0, true)),
        ("b", model_usage(1.0, 0, true)),
    ];
    fixture.send_gateway_report(1_100, &needed, &[waiting_demand("d", 1)]);
    assert_snapshot!(fixture.decide(1_100), @"nothing");
    assert!(!fixture.residency.status(ms(1_100)).models["c"].leaving);
    fixture.send_gateway_report(1_700, &needed, &[waiting_demand("d", 1)]);
    fixture.decide(1_700);
    fixture.send_gateway_report(1_710, &needed, &[waiting_demand("d", 1)]);
    assert_snapshot!(fixture.decide(1_710), @"unload c @0");
}

/// Load pattern: many callers request one model that is not loaded while single callers request
/// others.
#[test]
fn the_load_that_serves_most_callers_per_second_goes_first() {
    let mut fixture = Fixture::with_loaded_models(&["a", "b"]);
    // e loads slowly, from the weight store; c and d are on the disk.
    fixture.send_gateway_report(
        1_000,
        &[],
        &[
            waiting_demand("e", 2),
            waiting_demand("c", 1),
            waiting_demand("d", 6),
        ],
    );
    let status = fixture.residency.status(ms(1_000));
    assert_snapshot!(status.queue.join(" "), @"d c e");
    assert_snapshot!(fixture.decide(1_000), @"load d @0");
}

#[test]
fn a_prefetch_evicts_no_busy_model_and_no_only_local_copy() {
    let mut fixture = Fixture::with_loaded_models(&["a", "b", "c"]);
    let prefetch = Demand {
        reason: DemandReason::Prefetch,
        ..waiting_demand("e", 0)
    };
    let busy = [
        ("a", model_usage(2.0, 0, false)),
        ("b", model_usage(2.0, 0, false)),
        ("c", model_usage(2.0, 0, false)),
    ];
    fixture.send_gateway_report(3_000, &busy, std::slice::from_ref(&prefetch));
    assert_snapshot!(fixture.decide(3_000), @"nothing");
    assert!(
        fixture
            .residency
            .status(ms(3_000))
            .models
            .values()
            .all(|model| !model.leaving)
    );
    fixture.report.on_disk.clear();
    fixture.observe(3_100);
    fixture.send_gateway_report(3_100, &[], &[prefetch]);
    fixture.decide(3_100);
    assert!(
        fixture
            .residency
            .status(ms(3_100))
            .models
            .values()
            .all(|model| !model.leaving)
    );
}

#[test]
fn adapters_load_before_models_and_replace_the_least_recently_used() {
    let mut fixture = Fixture::with_loaded_models(&["a", "b"]);
    fixture.send_gateway_report(
        1_000,
        &[],
        &[adapter_demand("a", "x"), waiting_demand("c", 9)],
    );
    assert_snapshot!(fixture.decide(1_000), @"load a/x @0");
    let held = HeldModel {
        adapters: ["x", "y"].map(str::to_owned).into(),
    };
    fixture.report.models.insert("a".into(), held);
    fixture.observe(1_100);
    fixture.send_gateway_report(1_200, &[], &[adapter_demand("a", "y")]);
    fixture.send_gateway_report(1_300, &[], &[adapter_demand("a", "z")]);
    assert_snapshot!(fixture.decide(1_300), @"unload a/x @0");
}

/// Load pattern: model swaps and adapter requests at one engine. An engine refuses every order
/// while it loads or unloads a model, and each refused order delays the next one.
#[test]
fn a_busy_engine_gets_no_orders() {
    let mut fixture = Fixture::with_loaded_models(&["a", "b"]);
    fixture.report.busy = true;
    fixture.observe(1_000);
    fixture.send_gateway_report(
        1_000,
        &[],
        &[adapter_demand("a", "x"), waiting_demand("c", 9)],
    );
    assert_snapshot!(fixture.decide(1_000), @"nothing");
}

#[test]
fn unanswered_orders_reserve_memory_only_after_an_engine_restart() {
    let mut fixture = Fixture::with_loaded_models(&["a"]);
    fixture.report.sequence = 1;
    fixture.observe(900);
    fixture.send_gateway_report(
        1_000,
        &[],
        &[waiting_demand("c", 1), waiting_demand("d", 1)],
    );
    fixture
        .residency
        .record_outcome(&Action::Load("c".into()), ActionOutcome::Unknown, ms(1_000));
    // Without a restart the unanswered order has the same sequence as the next one, so it cannot
    // take effect in addition.
    assert_snapshot!(fixture.decide(1_010), @"load c @1");
    // After a restart it may still take effect after one more order, and there is not enough
    // memory for both.
    fixture.report = EndpointReport {
        started_unix_ms: 200,
        ..EndpointReport::default()
    };
    fixture.report.models = [
        ("b".to_owned(), HeldModel::default()),
        ("e".to_owned(), HeldModel::default()),
    ]
    .into();
    fixture.report.on_disk = ["b", "c", "d", "e"].map(str::to_owned).into();
    fixture.observe(2_000);
    fixture.send_gateway_report(2_000, &[], &[waiting_demand("d", 1)]);
    assert_snapshot!(fixture.decide(2_000), @"nothing");
    // An engine with another id refuses the unanswered order.
    let mut replaced = Fixture {
        residency: fixture.residency.clone(),
        report: fixture.report.clone(),
        sequence: fixture.sequence,
    };
    replaced.residency.set_engine_id(Some("i2".into()));
    assert_snapshot!(replaced.decide(2_000), @"load d @0");
    // It cannot take effect once the engine's sequence is past it.
    let mut advanced = Fixture {
        residency: fixture.residency.clone(),
        report: fixture.report.clone(),
        sequence: fixture.sequence,
    };
    advanced.report.sequence = 2;
    advanced.observe(2_100);
    advanced.send_gateway_report(2_100, &[], &[waiting_demand("d", 1)]);
    assert_snapshot!(advanced.decide(2_100), @"load d @2");
    // It cannot take effect after its lifetime either.
    fixture.observe(14_100);
    fixture.send_gateway_report(14_100, &[], &[waiting_demand("d", 1)]);
    assert_snapshot!(fixture.decide(14_100), @"load d @0");
}

/// Load pattern: an engine does not respond to orders, so each is sent several times, and then
/// restarts empty. At most one order per sequence can take effect, and none after a gap in the
/// sequences.
#[test]
fn repeated_unanswered_orders_reserve_memory_once_after_an_engine_restart() {
    let mut fixture = Fixture::with_loaded_models(&["a"]);
    for (sequence, model) in [(1, "b"), (2, "c"), (5, "d")] {
        fixture.report.sequence = sequence;
        fixture.observe(900 + sequence);
        for attempt in 0..4 {
            let at = 1_000 + sequence * 100 + attempt;
            fixture.send_gateway_report(at, &[], &[waiting_demand(model, 1)]);
            let load = Action::Load(model.into());
            fixture
                .residency
                .record_outcome(&load, ActionOutcome::Unknown, ms(at));
        }
    }
    fixture.report = EndpointReport {
        started_unix_ms: 200,
        on_disk: ["a", "b", "c", "d"].map(str::to_owned).into(),
        ..EndpointReport::default()
    };
    fixture.observe(2_000);
    fixture.send_gateway_report(2_000, &[], &[waiting_demand("a", 1)]);
    // b and c may still take effect after it; all three fit.
    assert_snapshot!(fixture.decide(2_000), @"load a @0");
    fixture.report.models = [("a".to_owned(), HeldModel::default())].into();
    fixture.report.sequence = 1;
    fixture.observe(4_000);
    fixture.send_gateway_report(
        4_000,
        &[],
        &[waiting_demand("e", 1), waiting_demand("d", 1)],
    );
    assert_snapshot!(fixture.decide(4_000), @"load d @1");
}

/// Load pattern: an engine does not respond to a load from the weight store, so it is sent several
/// times. The repetitions count as one load of the share.
#[test]
fn a_repeated_load_from_the_weight_store_counts_once() {
    let mut fixture = Fixture::with_loaded_models(&["a"]);
    for attempt in 0..3 {
        let at = 1_000 + attempt * 40;
        fixture.send_gateway_report(at, &[], &[waiting_demand("e", 1)]);
        assert_eq!(fixture.decide(at), "load e @0");
        let load = Action::Load("e".into());
        fixture
            .residency
            .record_outcome(&load, ActionOutcome::Unknown, ms(at));
    }
}

#[test]
fn an_accepted_load_without_a_response_is_reported_as_loading() {
    let mut fixture = Fixture::with_loaded_models(&["a"]);
    fixture.send_gateway_report(1_000, &[], &[waiting_demand("c", 1)]);
    fixture
        .residency
        .record_outcome(&Action::Load("c".into()), ActionOutcome::Unknown, ms(1_000));
    fixture.report.sequence = 1;
    fixture.report.busy = true;
    fixture.observe(1_050);
    let loading = fixture.residency.status(ms(1_050)).loading.unwrap();
    assert_snapshot!(format!("{} {}", loading.model, loading.remaining_ms), @"c 1300");
}

/// Load pattern: the weight store slows down. Waiting callers must be refused in time if a load
/// will miss their deadline, so an overdue load must not be estimated to end at once.
#[test]
fn an_overdue_load_is_not_estimated_to_end_at_once() {
    let mut fixture = Fixture::with_loaded_models(&["a"]);
    fixture.send_gateway_report(1_000, &[], &[waiting_demand("c", 1)]);
    fixture.residency.record_outcome(
        &Action::Load("c".into()),
        ActionOutcome::Accepted,
        ms(1_000),
    );
    fixture.report.busy = true;
    fixture.report.sequence = 1;
    fixture.observe(1_050);
    let remaining = |fixture: &Fixture, at| {
        fixture
            .residency
            .status(ms(at))
            .loading
            .map(|load| load.remaining_ms)
    };
    assert_eq!(remaining(&fixture, 2_000), Some(300));
    assert_eq!(remaining(&fixture, 9_000), Some(2_000));
}

#[test]
fn demands_of_a_gateway_without_reports_expire() {
    let mut fixture = Fixture::with_loaded_models(&["a", "b"]);
    fixture.send_gateway_report(1_000, &[], &[waiting_demand("c", 1)]);
    assert_snapshot!(fixture.decide(2_600), @"nothing");
}

#[test]
fn loads_from_the_weight_store_stay_within_the_share() {
    let mut fixture = Fixture::with_loaded_models(&["a"]);
    fixture.send_gateway_report(1_000, &[], &[waiting_demand("e", 1)]);
    assert_snapshot!(fixture.decide(1_000), @"load e @0");
    fixture.residency.record_outcome(
        &Action::Load("e".into()),
        ActionOutcome::Accepted,
        ms(1_000),
    );
    fixture
        .report
        .models
        .insert("e".into(), HeldModel::default());
    fixture.report.sequence = 1;
    fixture.observe(3_000);
    fixture.send_gateway_report(3_000, &[], &[waiting_demand("f", 1)]);
    assert_snapshot!(fixture.decide(3_000), @"nothing");
    // Loads from the disk are not limited.
    fixture.send_gateway_report(
        3_100,
        &[],
        &[waiting_demand("f", 1), waiting_demand("c", 1)],
    );
    assert_snapshot!(fixture.decide(3_100), @"load c @1");
    fixture.send_gateway_report(6_100, &[], &[waiting_demand("f", 1)]);
    assert_snapshot!(fixture.decide(6_100), @"load f @1");
}

/// The shares of any number of sidecars sum up to at most the limit of the weight store.
#[test]
fn shares_of_all_sidecars_stay_within_the_limit_of_the_weight_store() {
    for engines in 1..200_u32 {
        for loads_per_s in [0.1, 2.4, 4.8, 15.0] {
            let share = StoreLoadShare::new(engines, loads_per_s, WINDOW);
            let windows = share.window.as_secs_f64() / WINDOW.as_secs_f64();
            let total_loads = f64::from(engines) * share.loads as f64 / windows;
            assert!(
                total_loads <= (loads_per_s * WINDOW.as_secs_f64()).max(1.0) + 1e-9,
                "{engines} engines at {loads_per_s}: {total_loads}"
            );
        }
    }
}
