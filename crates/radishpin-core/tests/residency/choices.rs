//! Tests of the choice of models and adapters to load and to unload.

use super::support::{Fixture, adapter_demand, model_usage, ms, waiting_demand};
use insta::assert_snapshot;
use radishpin_core::process::{Demand, DemandReason, HeldModel};
use radishpin_protocol::prelude::*;

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

#[test]
fn demands_of_a_gateway_without_reports_expire() {
    let mut fixture = Fixture::with_loaded_models(&["a", "b"]);
    fixture.send_gateway_report(1_000, &[], &[waiting_demand("c", 1)]);
    assert_snapshot!(fixture.decide(2_600), @"nothing");
}
