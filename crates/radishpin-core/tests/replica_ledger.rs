//! The agent's replica ledger: loads, unloads, late reports, restarts and unknown outcomes.

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

/// A ledger and a simulated endpoint that executes every order at once.
struct Fixture {
    ledger: ReplicaLedger,
    report: EngineReport,
    now: Duration,
}

impl Fixture {
    fn new(fencing: Fencing) -> Self {
        Self {
            ledger: ReplicaLedger::new(2, 10, 100, fencing, Duration::ZERO),
            report: EngineReport::default(),
            now: Duration::ZERO,
        }
    }

    /// A ledger with a view, after a report has shown that its endpoint is empty.
    fn ready(grants: &[(&str, GrantState)]) -> Self {
        let mut fixture = Self::new(Fencing::Checked);
        assert!(fixture.ledger.apply_view(&view(10, grants)));
        fixture.run_due_orders();
        fixture.send_report();
        fixture
    }

    fn execute(&mut self, order: &Order) {
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

    fn complete(&mut self, order: &Order, outcome: OrderOutcome) {
        self.execute(order);
        self.ledger.record_outcome(order.number, outcome, self.now);
    }

    fn run_due_orders(&mut self) -> Vec<Order> {
        let orders = self.ledger.due_orders(self.now);
        for order in &orders {
            self.complete(order, OrderOutcome::Done);
        }
        orders
    }

    fn send_report(&mut self) {
        self.report.sequence += 1;
        self.report.sampled_after = self.now;
        self.ledger.apply_report(&self.report, self.now);
    }

    fn request(&mut self, target: &Target) -> LoadDecision {
        self.ledger.request_load(target, Some(5), self.now)
    }

    fn issue(&mut self, target: &Target) -> Order {
        match self.request(target) {
            LoadDecision::Issue(order) => order,
            other => panic!("expected an order for {target:?}, got {other:?}"),
        }
    }

    fn load(&mut self, target: &Target) {
        let order = self.issue(target);
        self.complete(&order, OrderOutcome::Done);
        assert_eq!(self.request(target), LoadDecision::Ready);
    }

    fn state(&self, target: &Target) -> Option<ReplicaState> {
        self.ledger.replicas().get(target).map(|r| r.state)
    }
}

#[test]
fn a_new_incarnation_counts_all_memory_as_used_until_its_fence_is_reported() {
    let mut fixture = Fixture::new(Fencing::Checked);
    fixture
        .ledger
        .apply_view(&view(10, &[("a", GrantState::Held)]));
    fixture.report.as_of = OrderNumber {
        incarnation: 1,
        sequence: 7,
    };
    fixture.send_report();
    assert_eq!(fixture.ledger.memory_free_mb(), 0);
    let refused = LoadDecision::Refused(LoadRefusal::Uncertain);
    assert_eq!(fixture.request(&model("a")), refused);
    assert_eq!(fixture.run_due_orders().len(), 1);
    fixture.send_report();
    assert_eq!(fixture.ledger.memory_free_mb(), 100);
    fixture.load(&model("a"));
}

#[test]
fn reports_of_an_endpoint_that_ignores_fencing_are_used_once_older_orders_have_expired() {
    let fencing = Fencing::Ignored {
        order_life: ORDER_LIFE,
    };
    let mut fixture = Fixture::new(fencing);
    fixture
        .ledger
        .apply_view(&view(10, &[("a", GrantState::Held)]));
    fixture.now = ORDER_LIFE;
    fixture.send_report();
    assert_eq!(fixture.ledger.memory_free_mb(), 0);
    fixture.now = ORDER_LIFE + Duration::from_millis(1);
    fixture.send_report();
    assert_eq!(fixture.ledger.memory_free_mb(), 100);
    assert!(fixture.run_due_orders().is_empty());
}

#[test]
fn a_load_with_unknown_outcome_keeps_its_memory_until_a_newer_report() {
    let mut fixture = Fixture::ready(&[("a", GrantState::Held)]);
    let order = fixture.issue(&model("a"));
    fixture
        .ledger
        .record_outcome(order.number, OrderOutcome::Unknown, fixture.now);
    fixture.send_report();
    assert_eq!(fixture.state(&model("a")), Some(ReplicaState::Uncertain));
    assert_eq!(fixture.ledger.memory_free_mb(), 60);
    // The fence makes the endpoint refuse the lost order, so that a report can resolve it.
    assert_eq!(fixture.run_due_orders().len(), 1);
    fixture.send_report();
    assert_eq!(fixture.state(&model("a")), None);
    assert_eq!(fixture.ledger.memory_free_mb(), 100);
}

#[test]
fn a_report_requested_at_the_time_of_a_load_does_not_resolve_it() {
    let fencing = Fencing::Ignored {
        order_life: ORDER_LIFE,
    };
    let mut fixture = Fixture::new(fencing);
    fixture
        .ledger
        .apply_view(&view(10, &[("a", GrantState::Held)]));
    fixture.now = 2 * ORDER_LIFE;
    fixture.send_report();
    let mut late = fixture.report.clone();
    fixture.load(&model("a"));
    late.sequence += 1;
    fixture.ledger.apply_report(&late, fixture.now);
    assert_eq!(fixture.ledger.memory_free_mb(), 60);
}

#[test]
fn a_fence_is_issued_again_after_a_restart_of_the_endpoint() {
    let mut fixture = Fixture::new(Fencing::Checked);
    fixture
        .ledger
        .apply_view(&view(10, &[("a", GrantState::Held)]));
    assert_eq!(fixture.run_due_orders().len(), 1);
    assert!(fixture.run_due_orders().is_empty());
    fixture.report.as_of = OrderNumber::default();
    fixture.report.instance = 1;
    fixture.send_report();
    assert_eq!(fixture.run_due_orders().len(), 1);
    fixture.send_report();
    fixture.load(&model("a"));
}

#[test]
fn an_unload_releases_memory_only_by_a_newer_report() {
    let mut fixture = Fixture::ready(&[("a", GrantState::Held)]);
    fixture.load(&model("a"));
    let old = fixture.report.clone();
    let order = fixture
        .ledger
        .request_unload(&model("a"), fixture.now)
        .unwrap();
    fixture.complete(&order, OrderOutcome::Done);
    assert_eq!(fixture.ledger.memory_free_mb(), 60);
    let late = EngineReport {
        sequence: 50,
        loaded: BTreeMap::new(),
        ..old
    };
    fixture.ledger.apply_report(&late, fixture.now);
    assert_eq!(fixture.ledger.memory_free_mb(), 60);
    fixture.report.sequence = 50;
    fixture.send_report();
    assert_eq!(fixture.ledger.memory_free_mb(), 100);
}

#[test]
fn a_restarted_endpoint_is_empty_and_orders_in_flight_stay_unresolved() {
    let mut fixture = Fixture::ready(&[("a", GrantState::Held), ("b", GrantState::Held)]);
    fixture.load(&model("a"));
    let in_flight = fixture.issue(&model("b"));
    fixture.report = EngineReport {
        sequence: fixture.report.sequence,
        instance: 1,
        ..EngineReport::default()
    };
    fixture.send_report();
    assert_eq!(fixture.state(&model("a")), None);
    assert_eq!(fixture.state(&model("b")), Some(ReplicaState::Loading));
    fixture
        .ledger
        .record_outcome(in_flight.number, OrderOutcome::Done, fixture.now);
    assert_eq!(fixture.state(&model("b")), Some(ReplicaState::Uncertain));
    fixture.run_due_orders();
    fixture.send_report();
    assert_eq!(fixture.state(&model("b")), None);
}

#[test]
fn a_revoked_replica_is_unloaded_after_its_last_use_and_then_released() {
    let mut fixture = Fixture::ready(&[("a", GrantState::Held)]);
    fixture.load(&model("a"));
    fixture.load(&adapter("a", "x"));
    assert!(fixture.ledger.begin_use(&adapter("a", "x")));
    let revoking = view(11, &[("a", GrantState::Revoking)]);
    assert!(fixture.ledger.apply_view(&revoking));
    assert!(!fixture.ledger.begin_use(&model("a")));
    assert!(fixture.run_due_orders().is_empty());
    fixture.ledger.end_use(&adapter("a", "x"), fixture.now);
    assert_eq!(fixture.run_due_orders().len(), 1);
    fixture.send_report();
    assert_eq!(fixture.run_due_orders().len(), 1);
    assert!(fixture.ledger.released().is_empty());
    fixture.send_report();
    assert_eq!(fixture.ledger.released(), ["a"]);
}

#[test]
fn views_older_than_the_registration_or_the_current_one_are_ignored() {
    let mut fixture = Fixture::new(Fencing::Checked);
    assert!(!fixture.ledger.apply_view(&view(9, &[])));
    let refused = LoadDecision::Refused(LoadRefusal::NotRegistered);
    assert_eq!(fixture.request(&model("a")), refused);
    assert!(fixture.ledger.apply_view(&view(12, &[])));
    assert!(!fixture.ledger.apply_view(&view(11, &[])));
    assert_eq!(fixture.ledger.view_version(), 12);
}

#[test]
fn a_report_of_a_successors_order_supersedes_the_agent() {
    let mut fixture = Fixture::ready(&[("a", GrantState::Revoking)]);
    assert_eq!(fixture.ledger.released(), ["a"]);
    fixture.report.as_of.incarnation = 3;
    fixture.send_report();
    assert!(fixture.ledger.superseded());
    assert!(fixture.ledger.released().is_empty());
    assert!(fixture.run_due_orders().is_empty());
}

#[test]
fn the_least_recently_used_idle_replica_is_evicted_first() {
    let held = GrantState::Held;
    let mut fixture = Fixture::ready(&[("a", held), ("b", held), ("c", held)]);
    fixture.load(&model("a"));
    fixture.load(&adapter("a", "x"));
    fixture.now = SECOND;
    fixture.load(&model("b"));
    insta::assert_debug_snapshot!(fixture.request(&model("c")), @r#"
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
    assert!(fixture.ledger.begin_use(&model("a")));
    assert!(fixture.ledger.begin_use(&model("b")));
    insta::assert_debug_snapshot!(fixture.request(&model("c")), @r#"
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
    let mut fixture = Fixture::ready(&[("a", GrantState::Held)]);
    let order = fixture.issue(&adapter("a", "x"));
    assert_eq!(order.target, model("a"));
    assert_eq!(fixture.request(&adapter("a", "x")), LoadDecision::Loading);
    fixture.complete(&order, OrderOutcome::Done);
    fixture.load(&adapter("a", "x"));
    assert_eq!(fixture.ledger.memory_used_mb(), 45);
}

#[test]
fn a_failed_load_releases_its_memory_and_can_be_retried() {
    let mut fixture = Fixture::ready(&[("a", GrantState::Held)]);
    let order = fixture.issue(&model("a"));
    fixture
        .ledger
        .record_outcome(order.number, OrderOutcome::Failed, fixture.now);
    assert_eq!(fixture.ledger.memory_free_mb(), 100);
    fixture.load(&model("a"));
}

#[test]
fn idle_replicas_are_unloaded_and_kept_ones_are_preloaded() {
    let mut fixture = Fixture::ready(&[("a", GrantState::Held)]);
    fixture.load(&model("a"));
    let mut keep_loaded_view = view(11, &[("a", GrantState::Held)]);
    keep_loaded_view
        .grants
        .insert("b".into(), grant(GrantState::Held, true));
    fixture.ledger.apply_view(&keep_loaded_view);
    fixture.now = 61 * SECOND;
    let orders = fixture.run_due_orders();
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
    fixture.send_report();
    fixture.now = 200 * SECOND;
    assert!(fixture.run_due_orders().is_empty());
}
