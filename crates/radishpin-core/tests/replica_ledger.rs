//! The agent's ledger, one failure at a time.

use radishpin_core::process::{
    EngineReport, Fencing, LoadDecision, LoadRefusal, Order, OrderNumber, OrderOutcome,
    ReplicaLedger, ReplicaState, Target,
};
use radishpin_protocol::{Grant, GrantState, ModelGrant, prelude::*};

const SECOND: Duration = Duration::from_secs(1);
const ORDER_LIFE: Duration = Duration::from_secs(30);

fn model(name: &str) -> Target {
    Target::Model(name.to_owned())
}

fn adapter(model: &str, name: &str) -> Target {
    Target::Adapter {
        model: model.to_owned(),
        adapter: name.to_owned(),
    }
}

fn grant(state: GrantState, keep_loaded: bool) -> ModelGrant {
    ModelGrant {
        size_mb: 40,
        grant: Grant {
            state,
            since_version: 1,
        },
        keep_loaded,
        idle_unload: 60 * SECOND,
    }
}

fn view(version: Version, grants: &[(&str, GrantState)]) -> AgentView {
    let grants = grants
        .iter()
        .map(|(model, state)| ((*model).to_owned(), grant(*state, false)));
    AgentView {
        version,
        grants: grants.collect(),
    }
}

/// An endpoint that does what it is told at once, and its ledger.
struct Bench {
    ledger: ReplicaLedger,
    report: EngineReport,
    now: Duration,
}

impl Bench {
    fn new(fencing: Fencing) -> Self {
        Self {
            ledger: ReplicaLedger::new(2, 10, 100, fencing, Duration::ZERO),
            report: EngineReport::default(),
            now: Duration::ZERO,
        }
    }

    /// A ledger that holds a view and knows its endpoint to be empty.
    fn ready(grants: &[(&str, GrantState)]) -> Self {
        let mut bench = Self::new(Fencing::Checked);
        assert!(bench.ledger.apply_view(&view(10, grants)));
        bench.housekeeping();
        bench.observe();
        bench
    }

    fn act(&mut self, order: &Order) {
        self.report.as_of = order.number;
        let size_mb = order.size_mb;
        match order.kind {
            radishpin_core::process::OrderKind::Load => {
                self.report.loaded.insert(order.target.clone(), size_mb);
            }
            radishpin_core::process::OrderKind::Unload => {
                self.report.loaded.remove(&order.target);
            }
        }
    }

    fn carry_out(&mut self, order: &Order, outcome: OrderOutcome) {
        self.act(order);
        self.ledger.record_outcome(order.number, outcome, self.now);
    }

    fn housekeeping(&mut self) -> Vec<Order> {
        let orders = self.ledger.due_orders(self.now);
        for order in &orders {
            self.carry_out(order, OrderOutcome::Done);
        }
        orders
    }

    fn observe(&mut self) {
        self.report.sequence += 1;
        self.report.asked_at = self.now;
        self.ledger.apply_report(&self.report, self.now);
    }

    fn request(&mut self, target: &Target) -> LoadDecision {
        self.ledger.request_load(target, Some(5), self.now)
    }

    fn issue(&mut self, target: &Target) -> Order {
        match self.request(target) {
            LoadDecision::Issue(order) => order,
            other => panic!("no order for {target:?}: {other:?}"),
        }
    }

    fn load(&mut self, target: &Target) {
        let order = self.issue(target);
        self.carry_out(&order, OrderOutcome::Done);
        assert_eq!(self.request(target), LoadDecision::Ready);
    }

    fn state(&self, target: &Target) -> Option<ReplicaState> {
        self.ledger.replicas().get(target).map(|r| r.state)
    }
}

#[test]
fn a_new_incarnation_counts_all_memory_as_taken_until_its_fence_is_reported() {
    let mut bench = Bench::new(Fencing::Checked);
    bench
        .ledger
        .apply_view(&view(10, &[("a", GrantState::Held)]));
    bench.report.as_of = OrderNumber {
        incarnation: 1,
        sequence: 7,
    };
    bench.observe();
    assert_eq!(bench.ledger.memory_free_mb(), 0);
    let refused = LoadDecision::Refused(LoadRefusal::Uncertain);
    assert_eq!(bench.request(&model("a")), refused);
    assert_eq!(bench.housekeeping().len(), 1);
    bench.observe();
    assert_eq!(bench.ledger.memory_free_mb(), 100);
    bench.load(&model("a"));
}

#[test]
fn an_endpoint_that_ignores_numbers_is_trusted_after_the_life_of_an_order() {
    let fencing = Fencing::Ignored {
        order_life: ORDER_LIFE,
    };
    let mut bench = Bench::new(fencing);
    bench
        .ledger
        .apply_view(&view(10, &[("a", GrantState::Held)]));
    bench.now = ORDER_LIFE;
    bench.observe();
    assert_eq!(bench.ledger.memory_free_mb(), 0);
    bench.now = ORDER_LIFE + Duration::from_millis(1);
    bench.observe();
    assert_eq!(bench.ledger.memory_free_mb(), 100);
    assert!(bench.housekeeping().is_empty());
}

#[test]
fn an_unknown_load_keeps_its_memory_until_a_newer_report() {
    let mut bench = Bench::ready(&[("a", GrantState::Held)]);
    let order = bench.issue(&model("a"));
    bench
        .ledger
        .record_outcome(order.number, OrderOutcome::Unknown, bench.now);
    bench.observe();
    assert_eq!(bench.state(&model("a")), Some(ReplicaState::Uncertain));
    assert_eq!(bench.ledger.memory_free_mb(), 60);
    // The fence makes the endpoint refuse the lost order, so that a report can settle it.
    assert_eq!(bench.housekeeping().len(), 1);
    bench.observe();
    assert_eq!(bench.state(&model("a")), None);
    assert_eq!(bench.ledger.memory_free_mb(), 100);
}

#[test]
fn a_report_asked_for_at_the_time_of_a_load_says_nothing_of_it() {
    let fencing = Fencing::Ignored {
        order_life: ORDER_LIFE,
    };
    let mut bench = Bench::new(fencing);
    bench
        .ledger
        .apply_view(&view(10, &[("a", GrantState::Held)]));
    bench.now = 2 * ORDER_LIFE;
    bench.observe();
    let mut late = bench.report.clone();
    bench.load(&model("a"));
    late.sequence += 1;
    bench.ledger.apply_report(&late, bench.now);
    assert_eq!(bench.ledger.memory_free_mb(), 60);
}

#[test]
fn a_fence_that_a_restart_made_void_is_given_again() {
    let mut bench = Bench::new(Fencing::Checked);
    bench
        .ledger
        .apply_view(&view(10, &[("a", GrantState::Held)]));
    assert_eq!(bench.housekeeping().len(), 1);
    assert!(bench.housekeeping().is_empty());
    bench.report.as_of = OrderNumber::default();
    bench.report.instance = 1;
    bench.observe();
    assert_eq!(bench.housekeeping().len(), 1);
    bench.observe();
    bench.load(&model("a"));
}

#[test]
fn an_unload_releases_memory_only_by_a_newer_report() {
    let mut bench = Bench::ready(&[("a", GrantState::Held)]);
    bench.load(&model("a"));
    let old = bench.report.clone();
    let order = bench.ledger.request_unload(&model("a"), bench.now).unwrap();
    bench.carry_out(&order, OrderOutcome::Done);
    assert_eq!(bench.ledger.memory_free_mb(), 60);
    let late = EngineReport {
        sequence: 50,
        loaded: BTreeMap::new(),
        ..old
    };
    bench.ledger.apply_report(&late, bench.now);
    assert_eq!(bench.ledger.memory_free_mb(), 60);
    bench.report.sequence = 50;
    bench.observe();
    assert_eq!(bench.ledger.memory_free_mb(), 100);
}

#[test]
fn a_restarted_endpoint_is_empty_and_orders_on_the_way_to_it_stay_open() {
    let mut bench = Bench::ready(&[("a", GrantState::Held), ("b", GrantState::Held)]);
    bench.load(&model("a"));
    let on_the_way = bench.issue(&model("b"));
    bench.report = EngineReport {
        sequence: bench.report.sequence,
        instance: 1,
        ..EngineReport::default()
    };
    bench.observe();
    assert_eq!(bench.state(&model("a")), None);
    assert_eq!(bench.state(&model("b")), Some(ReplicaState::Loading));
    bench
        .ledger
        .record_outcome(on_the_way.number, OrderOutcome::Done, bench.now);
    assert_eq!(bench.state(&model("b")), Some(ReplicaState::Uncertain));
    bench.housekeeping();
    bench.observe();
    assert_eq!(bench.state(&model("b")), None);
}

#[test]
fn a_revoked_replica_is_unloaded_after_its_last_use_and_then_released() {
    let mut bench = Bench::ready(&[("a", GrantState::Held)]);
    bench.load(&model("a"));
    bench.load(&adapter("a", "x"));
    assert!(bench.ledger.begin_use(&adapter("a", "x")));
    let revoking = view(11, &[("a", GrantState::Revoking)]);
    assert!(bench.ledger.apply_view(&revoking));
    assert!(!bench.ledger.begin_use(&model("a")));
    assert!(bench.housekeeping().is_empty());
    bench.ledger.end_use(&adapter("a", "x"), bench.now);
    assert_eq!(bench.housekeeping().len(), 1);
    bench.observe();
    assert_eq!(bench.housekeeping().len(), 1);
    assert!(bench.ledger.released().is_empty());
    bench.observe();
    assert_eq!(bench.ledger.released(), ["a"]);
}

#[test]
fn views_older_than_the_registration_or_the_one_in_force_are_ignored() {
    let mut bench = Bench::new(Fencing::Checked);
    assert!(!bench.ledger.apply_view(&view(9, &[])));
    let refused = LoadDecision::Refused(LoadRefusal::NotRegistered);
    assert_eq!(bench.request(&model("a")), refused);
    assert!(bench.ledger.apply_view(&view(12, &[])));
    assert!(!bench.ledger.apply_view(&view(11, &[])));
    assert_eq!(bench.ledger.view_version(), 12);
}

#[test]
fn a_report_of_a_successors_order_ends_the_ledger() {
    let mut bench = Bench::ready(&[("a", GrantState::Revoking)]);
    assert_eq!(bench.ledger.released(), ["a"]);
    bench.report.as_of.incarnation = 3;
    bench.observe();
    assert!(bench.ledger.superseded());
    assert!(bench.ledger.released().is_empty());
    assert!(bench.housekeeping().is_empty());
}

#[test]
fn room_is_made_by_the_least_recently_used_idle_replica() {
    let held = GrantState::Held;
    let mut bench = Bench::ready(&[("a", held), ("b", held), ("c", held)]);
    bench.load(&model("a"));
    bench.load(&adapter("a", "x"));
    bench.now = SECOND;
    bench.load(&model("b"));
    insta::assert_debug_snapshot!(bench.request(&model("c")), @r#"
    Refused(
        NoMemory {
            needed_mb: 40,
            free_mb: 15,
            releasing_mb: 0,
            evict: [
                Adapter {
                    model: "a",
                    adapter: "x",
                },
                Model(
                    "a",
                ),
            ],
        },
    )
    "#);
    assert!(bench.ledger.begin_use(&model("a")));
    assert!(bench.ledger.begin_use(&model("b")));
    insta::assert_debug_snapshot!(bench.request(&model("c")), @r#"
    Refused(
        NoMemory {
            needed_mb: 40,
            free_mb: 15,
            releasing_mb: 0,
            evict: [],
        },
    )
    "#);
}

#[test]
fn a_model_is_loaded_before_its_adapter() {
    let mut bench = Bench::ready(&[("a", GrantState::Held)]);
    let order = bench.issue(&adapter("a", "x"));
    assert_eq!(order.target, model("a"));
    assert_eq!(bench.request(&adapter("a", "x")), LoadDecision::Loading);
    bench.carry_out(&order, OrderOutcome::Done);
    bench.load(&adapter("a", "x"));
    assert_eq!(bench.ledger.memory_used_mb(), 45);
}

#[test]
fn a_failed_load_is_forgotten_and_may_be_tried_again() {
    let mut bench = Bench::ready(&[("a", GrantState::Held)]);
    let order = bench.issue(&model("a"));
    bench
        .ledger
        .record_outcome(order.number, OrderOutcome::Failed, bench.now);
    assert_eq!(bench.ledger.memory_free_mb(), 100);
    bench.load(&model("a"));
}

#[test]
fn idle_replicas_are_unloaded_but_those_kept_loaded_are_preloaded() {
    let mut bench = Bench::ready(&[("a", GrantState::Held)]);
    bench.load(&model("a"));
    let mut kept = view(11, &[("a", GrantState::Held)]);
    kept.grants
        .insert("b".into(), grant(GrantState::Held, true));
    bench.ledger.apply_view(&kept);
    bench.now = 61 * SECOND;
    let orders = bench.housekeeping();
    let kinds: Vec<_> = orders.iter().map(|o| (o.kind, &o.target)).collect();
    insta::assert_debug_snapshot!(kinds, @r#"
    [
        (
            Unload,
            Model(
                "a",
            ),
        ),
        (
            Load,
            Model(
                "b",
            ),
        ),
    ]
    "#);
    bench.observe();
    bench.now = 200 * SECOND;
    assert!(bench.housekeeping().is_empty());
}
