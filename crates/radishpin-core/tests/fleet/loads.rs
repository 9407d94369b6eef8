//! Tests of waits for loads, and of load demands to sidecars.

use super::support::{TestFleet, load_target, ms, query};
use insta::assert_snapshot;
use radishpin_core::{
    process::{LoadStatus, PickQuery},
    request::Tier,
};
use radishpin_protocol::prelude::*;

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

/// Load pattern: gateways that have just started ask for models that only the weight store has, each before it knows all
/// engines.
#[test]
fn gateways_with_parts_of_the_statuses_ask_the_same_engines_to_load_from_the_weight_store() {
    /// What the weight store is taken to serve at full speed.
    const STORE_WIDTH: usize = 4;
    const ENGINES: usize = 24;
    let mut asked: BTreeSet<String> = BTreeSet::new();
    for known in 1..ENGINES {
        let mut test = TestFleet::new();
        for engine in 0..ENGINES {
            let id = format!("i{engine}");
            match engine % known {
                0 => drop(test.add_engine(&id, &["a"])),
                _ => test.add_endpoint(&id, "drafts", "north", 10),
            }
        }
        // f is in the weight store only.
        let long_wait = PickQuery {
            time_left: ms(20_000),
            ..query("drafts", Some(("f", None)))
        };
        let picked = test.pick(&long_wait);
        if let Some(wait) = picked.strip_prefix("wait for ") {
            asked.extend(wait.split(' ').next().map(str::to_owned));
        }
    }
    assert!((1..=STORE_WIDTH).contains(&asked.len()), "{asked:?}");
}

/// Load pattern: many rarely used models beside busy ones that have a replica more than their load needs. Their callers
/// could only wait while each engine but one place kept replicas.
#[test]
fn a_replica_beyond_the_load_is_not_kept_from_callers_of_rare_models() {
    let mut test = TestFleet::new();
    for id in ["i1", "i2"] {
        test.add_engine(id, &["a"]);
    }
    for n in 0..20 {
        test.fleet.count_request("a", ms(n * 600));
    }
    test.fleet.plan(ms(12_000));
    let kept = ["i1", "i2"].into_iter().filter(|id| {
        let report = test.fleet.next_report(id, ms(12_000));
        report.usage["a"].keep
    });
    assert_eq!(kept.count(), 1);
}
