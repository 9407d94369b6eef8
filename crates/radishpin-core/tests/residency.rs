//! Which models and adapters a sidecar has its engine hold.

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

/// Three models fit into the engine; two adapters.
fn spec() -> EngineSpec {
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

struct World {
    residency: Residency,
    report: EndpointReport,
    sequence: u64,
}

impl World {
    /// An engine that holds some models, all of which are on its disk.
    fn holding(models: &[&str]) -> Self {
        let mut residency = Residency::new(7, ms(0));
        residency.configure(spec(), WINDOW);
        let held = models
            .iter()
            .map(|model| ((*model).to_owned(), HeldModel::default()));
        let mut world = Self {
            residency,
            report: EndpointReport {
                models: held.collect(),
                on_disk: ["a", "b", "c", "d"].map(str::to_owned).into(),
                started_unix_ms: 100,
                ..EndpointReport::default()
            },
            sequence: 0,
        };
        world.observe(0);
        world
    }

    fn observe(&mut self, at_ms: u64) {
        self.residency.observe(self.report.clone(), ms(at_ms));
    }

    fn hear(&mut self, at_ms: u64, usage: &[(&str, ModelUsage)], demands: &[Demand]) {
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

fn waiting(model: &str, callers: u32) -> Demand {
    Demand {
        model: model.into(),
        adapter: None,
        reason: DemandReason::Waiting,
        waiting: callers,
    }
}

fn adapter(model: &str, adapter: &str) -> Demand {
    Demand {
        adapter: Some(adapter.into()),
        ..waiting(model, 1)
    }
}

fn used(per_s: f32, active: u32, keep: bool) -> ModelUsage {
    ModelUsage {
        per_s,
        loss_per_s: per_s,
        active,
        keep,
        adapters: BTreeSet::new(),
    }
}

#[test]
fn a_model_is_loaded_where_there_is_room() {
    let mut world = World::holding(&["a", "b"]);
    world.hear(1_000, &[], &[waiting("c", 1)]);
    assert_snapshot!(world.decide(1_000), @"load c @0");
}

#[test]
fn the_model_that_is_missed_least_makes_room_after_gateways_know() {
    let mut world = World::holding(&["a", "b", "c"]);
    let usage = [
        ("a", used(3.0, 0, false)),
        ("b", used(0.1, 0, false)),
        ("c", used(1.0, 0, false)),
    ];
    world.hear(1_000, &usage, &[waiting("d", 1)]);
    assert_snapshot!(world.decide(1_000), @"nothing");
    let leaving: Vec<ModelId> = world
        .residency
        .status(ms(1_000))
        .models
        .into_iter()
        .filter_map(|(model, status)| status.leaving.then_some(model))
        .collect();
    assert_eq!(leaving, ["b"]);
    world.hear(1_010, &usage, &[waiting("d", 1)]);
    assert_snapshot!(world.decide(1_010), @"unload b @0");
    world.report.models.remove("b");
    world.report.sequence = 1;
    world.observe(1_050);
    assert_snapshot!(world.decide(1_050), @"load d @1");
}

#[test]
fn requests_at_a_model_end_before_it_goes() {
    let mut world = World::holding(&["a", "b", "c"]);
    let busy = [
        ("a", used(3.0, 2, false)),
        ("b", used(0.1, 1, false)),
        ("c", used(1.0, 1, false)),
    ];
    world.hear(1_000, &busy, &[waiting("d", 1)]);
    world.decide(1_000);
    world.hear(1_010, &busy, &[waiting("d", 1)]);
    assert_snapshot!(world.decide(1_010), @"nothing");
    let ended = [
        ("a", used(3.0, 2, false)),
        ("b", used(0.1, 0, false)),
        ("c", used(1.0, 1, false)),
    ];
    world.hear(2_000, &ended, &[waiting("d", 1)]);
    assert_snapshot!(world.decide(2_000), @"unload b @0");
}

#[test]
fn replicas_that_the_load_needs_stay() {
    let mut world = World::holding(&["a", "b", "c"]);
    let usage = [
        ("a", used(0.0, 0, true)),
        ("b", used(0.0, 0, true)),
        ("c", used(9.0, 0, false)),
    ];
    world.hear(1_000, &usage, &[waiting("d", 1)]);
    world.decide(1_000);
    world.hear(1_010, &usage, &[waiting("d", 1)]);
    assert_snapshot!(world.decide(1_010), @"unload c @0");
}

#[test]
fn a_model_stays_for_the_callers_that_waited_for_it() {
    let mut world = World::holding(&["a", "b"]);
    world.report.models.insert("c".into(), HeldModel::default());
    world.observe(1_000);
    let kept = [("a", used(1.0, 0, true)), ("b", used(1.0, 0, true))];
    world.hear(1_100, &kept, &[waiting("d", 1)]);
    assert_snapshot!(world.decide(1_100), @"nothing");
    assert!(!world.residency.status(ms(1_100)).models["c"].leaving);
    world.hear(1_700, &kept, &[waiting("d", 1)]);
    world.decide(1_700);
    world.hear(1_710, &kept, &[waiting("d", 1)]);
    assert_snapshot!(world.decide(1_710), @"unload c @0");
}

/// Load pattern: many callers wake one model while single callers wake others.
#[test]
fn the_load_that_serves_most_callers_a_second_goes_first() {
    let mut world = World::holding(&["a", "b"]);
    // e comes from the weight store and takes long; c and d are on the disk.
    world.hear(
        1_000,
        &[],
        &[waiting("e", 2), waiting("c", 1), waiting("d", 6)],
    );
    let status = world.residency.status(ms(1_000));
    assert_snapshot!(status.queue.join(" "), @"d c e");
    assert_snapshot!(world.decide(1_000), @"load d @0");
}

#[test]
fn a_copy_ahead_of_demand_takes_no_busy_place_and_no_only_copy() {
    let mut world = World::holding(&["a", "b", "c"]);
    let prefetch = Demand {
        reason: DemandReason::Prefetch,
        ..waiting("e", 0)
    };
    let busy = [
        ("a", used(2.0, 0, false)),
        ("b", used(2.0, 0, false)),
        ("c", used(2.0, 0, false)),
    ];
    world.hear(3_000, &busy, std::slice::from_ref(&prefetch));
    assert_snapshot!(world.decide(3_000), @"nothing");
    assert!(
        world
            .residency
            .status(ms(3_000))
            .models
            .values()
            .all(|model| !model.leaving)
    );
    world.report.on_disk.clear();
    world.observe(3_100);
    world.hear(3_100, &[], &[prefetch]);
    world.decide(3_100);
    assert!(
        world
            .residency
            .status(ms(3_100))
            .models
            .values()
            .all(|model| !model.leaving)
    );
}

#[test]
fn adapters_go_before_models_and_the_least_recent_makes_room() {
    let mut world = World::holding(&["a", "b"]);
    world.hear(1_000, &[], &[adapter("a", "x"), waiting("c", 9)]);
    assert_snapshot!(world.decide(1_000), @"load a/x @0");
    let held = HeldModel {
        adapters: ["x", "y"].map(str::to_owned).into(),
    };
    world.report.models.insert("a".into(), held);
    world.observe(1_100);
    world.hear(1_200, &[], &[adapter("a", "y")]);
    world.hear(1_300, &[], &[adapter("a", "z")]);
    assert_snapshot!(world.decide(1_300), @"unload a/x @0");
}

/// Load pattern: model swaps and adapter requests at one engine. An engine refuses every order
/// while it carries out one on a model, and refused orders cost.
#[test]
fn a_busy_engine_gets_no_orders() {
    let mut world = World::holding(&["a", "b"]);
    world.report.busy = true;
    world.observe(1_000);
    world.hear(1_000, &[], &[adapter("a", "x"), waiting("c", 9)]);
    assert_snapshot!(world.decide(1_000), @"nothing");
}

#[test]
fn orders_without_an_answer_count_at_a_restarted_engine_only() {
    let mut world = World::holding(&["a"]);
    world.report.sequence = 1;
    world.observe(900);
    world.hear(1_000, &[], &[waiting("c", 1), waiting("d", 1)]);
    world
        .residency
        .record_outcome(&Action::Load("c".into()), ActionOutcome::Unknown, ms(1_000));
    // The same count rules the late order out at this engine.
    assert_snapshot!(world.decide(1_010), @"load c @1");
    // At a restarted one it may still take effect after one more order: no place is free for that.
    world.report = EndpointReport {
        started_unix_ms: 200,
        ..EndpointReport::default()
    };
    world.report.models = [
        ("b".to_owned(), HeldModel::default()),
        ("e".to_owned(), HeldModel::default()),
    ]
    .into();
    world.report.on_disk = ["b", "c", "d", "e"].map(str::to_owned).into();
    world.observe(2_000);
    world.hear(2_000, &[], &[waiting("d", 1)]);
    assert_snapshot!(world.decide(2_000), @"nothing");
    // An engine with another id refuses it.
    let mut replaced = World {
        residency: world.residency.clone(),
        report: world.report.clone(),
        sequence: world.sequence,
    };
    replaced.residency.set_engine_id(Some("i2".into()));
    assert_snapshot!(replaced.decide(2_000), @"load d @0");
    // Once the count has passed it, it can't.
    let mut counted = World {
        residency: world.residency.clone(),
        report: world.report.clone(),
        sequence: world.sequence,
    };
    counted.report.sequence = 2;
    counted.observe(2_100);
    counted.hear(2_100, &[], &[waiting("d", 1)]);
    assert_snapshot!(counted.decide(2_100), @"load d @2");
    // After its longest life it can't either.
    world.observe(14_100);
    world.hear(14_100, &[], &[waiting("d", 1)]);
    assert_snapshot!(world.decide(14_100), @"load d @0");
}

/// Load pattern: an engine leaves orders unanswered, so that each is given several times, and then
/// restarts empty. Of the orders with one count at most one can take effect, and none of those
/// beyond a count that nobody has named.
#[test]
fn repeated_orders_without_an_answer_count_once_at_a_restarted_engine() {
    let mut world = World::holding(&["a"]);
    for (count, model) in [(1, "b"), (2, "c"), (5, "d")] {
        world.report.sequence = count;
        world.observe(900 + count);
        for attempt in 0..4 {
            let at = 1_000 + count * 100 + attempt;
            world.hear(at, &[], &[waiting(model, 1)]);
            let load = Action::Load(model.into());
            world
                .residency
                .record_outcome(&load, ActionOutcome::Unknown, ms(at));
        }
    }
    world.report = EndpointReport {
        started_unix_ms: 200,
        on_disk: ["a", "b", "c", "d"].map(str::to_owned).into(),
        ..EndpointReport::default()
    };
    world.observe(2_000);
    world.hear(2_000, &[], &[waiting("a", 1)]);
    // b and c may follow it; three fit.
    assert_snapshot!(world.decide(2_000), @"load a @0");
    world.report.models = [("a".to_owned(), HeldModel::default())].into();
    world.report.sequence = 1;
    world.observe(4_000);
    world.hear(4_000, &[], &[waiting("e", 1), waiting("d", 1)]);
    assert_snapshot!(world.decide(4_000), @"load d @1");
}

/// Load pattern: the same, with a load from the weight store: it takes one from the share.
#[test]
fn a_repeated_load_from_the_weight_store_counts_once() {
    let mut world = World::holding(&["a"]);
    for attempt in 0..3 {
        let at = 1_000 + attempt * 40;
        world.hear(at, &[], &[waiting("e", 1)]);
        assert_eq!(world.decide(at), "load e @0");
        let load = Action::Load("e".into());
        world
            .residency
            .record_outcome(&load, ActionOutcome::Unknown, ms(at));
    }
}

#[test]
fn an_accepted_order_whose_answer_was_lost_shows_as_a_load() {
    let mut world = World::holding(&["a"]);
    world.hear(1_000, &[], &[waiting("c", 1)]);
    world
        .residency
        .record_outcome(&Action::Load("c".into()), ActionOutcome::Unknown, ms(1_000));
    world.report.sequence = 1;
    world.report.busy = true;
    world.observe(1_050);
    let loading = world.residency.status(ms(1_050)).loading.unwrap();
    assert_snapshot!(format!("{} {}", loading.model, loading.remaining_ms), @"c 1300");
}

/// Load pattern: the weight store slows down. Callers that wait must hear in time that a load comes
/// too late, so a load that is overdue is not taken to end at once.
#[test]
fn an_overdue_load_is_not_about_to_end() {
    let mut world = World::holding(&["a"]);
    world.hear(1_000, &[], &[waiting("c", 1)]);
    world.residency.record_outcome(
        &Action::Load("c".into()),
        ActionOutcome::Accepted,
        ms(1_000),
    );
    world.report.busy = true;
    world.report.sequence = 1;
    world.observe(1_050);
    let remaining = |world: &World, at| {
        world
            .residency
            .status(ms(at))
            .loading
            .map(|load| load.remaining_ms)
    };
    assert_eq!(remaining(&world, 2_000), Some(300));
    assert_eq!(remaining(&world, 9_000), Some(2_000));
}

#[test]
fn demands_of_a_silent_gateway_lapse() {
    let mut world = World::holding(&["a", "b"]);
    world.hear(1_000, &[], &[waiting("c", 1)]);
    assert_snapshot!(world.decide(2_600), @"nothing");
}

#[test]
fn loads_from_the_weight_store_keep_to_the_share() {
    let mut world = World::holding(&["a"]);
    world.hear(1_000, &[], &[waiting("e", 1)]);
    assert_snapshot!(world.decide(1_000), @"load e @0");
    world.residency.record_outcome(
        &Action::Load("e".into()),
        ActionOutcome::Accepted,
        ms(1_000),
    );
    world.report.models.insert("e".into(), HeldModel::default());
    world.report.sequence = 1;
    world.observe(3_000);
    world.hear(3_000, &[], &[waiting("f", 1)]);
    assert_snapshot!(world.decide(3_000), @"nothing");
    // What is on the disk is not held up.
    world.hear(3_100, &[], &[waiting("f", 1), waiting("c", 1)]);
    assert_snapshot!(world.decide(3_100), @"load c @1");
    world.hear(6_100, &[], &[waiting("f", 1)]);
    assert_snapshot!(world.decide(6_100), @"load f @1");
}

/// Any number of sidecars together stay within what the weight store allows.
#[test]
fn shares_add_up_to_what_the_weight_store_allows() {
    for engines in 1..200_u32 {
        for loads_per_s in [0.1, 2.4, 4.8, 15.0] {
            let share = StoreLoadShare::new(engines, loads_per_s, WINDOW);
            let windows = share.window.as_secs_f64() / WINDOW.as_secs_f64();
            let together = f64::from(engines) * share.loads as f64 / windows;
            assert!(
                together <= (loads_per_s * WINDOW.as_secs_f64()).max(1.0) + 1e-9,
                "{engines} engines at {loads_per_s}: {together}"
            );
        }
    }
}
