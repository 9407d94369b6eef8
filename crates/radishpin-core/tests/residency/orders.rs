//! Tests of orders: when they are given, and what they reserve.

use super::support::{Fixture, WINDOW, adapter_demand, ms, waiting_demand};
use insta::assert_snapshot;
use radishpin_core::process::{
    Action, ActionOutcome, EndpointReport, GATEWAY_TIMEOUT, GatewayReport, HeldModel,
    RELAYED_GATEWAY_TIMEOUT, StoreLoadShare,
};

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

/// A caller began to wait at the engine, so its gateway sent a report directly, too.
#[test]
fn a_direct_report_does_not_shorten_the_life_of_a_relayed_one() {
    let report = |sequence| GatewayReport {
        gateway: "g1".to_owned(),
        incarnation: 1,
        sequence,
        ..GatewayReport::default()
    };
    let mut fixture = Fixture::with_loaded_models(&["a"]);
    let residency = &mut fixture.residency;
    residency.record_relayed_report(report(1), ms(0));
    residency.record_gateway_report(report(2), ms(100));
    let mut gateways_at = |now| {
        residency.decide(now);
        residency.status(now).gateways
    };
    assert_eq!(gateways_at(ms(100) + GATEWAY_TIMEOUT), 1);
    assert_eq!(gateways_at(RELAYED_GATEWAY_TIMEOUT), 0);
}
