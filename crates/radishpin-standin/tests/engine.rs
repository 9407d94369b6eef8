//! The engine in process: orders, memory, batching and what its journal says.

use radishpin_protocol::engine::{EngineErrorKind, LoadTarget, Order, OrderNumber, Tier};
use radishpin_standin::{
    CallRequest, Engine, EngineFaults, EngineSettings, RunEnd, WeightStore, WeightStoreSettings,
};
use smol::block_on;
use std::time::Duration;

const SEED: u64 = 11;

fn engine(settings: EngineSettings) -> Engine {
    let store = WeightStoreSettings {
        model_load: Duration::from_millis(20),
        ..WeightStoreSettings::default()
    };
    Engine::new(settings, WeightStore::new(store), SEED)
}

fn order(target: LoadTarget, size_mb: u32, incarnation: u64, sequence: u64) -> Order {
    Order {
        target,
        size_mb,
        number: OrderNumber {
            incarnation,
            sequence,
        },
    }
}

fn call(attempt: &str, priority: u32) -> CallRequest {
    CallRequest {
        attempt: attempt.into(),
        model: "m".into(),
        prompt: "mend the roof".into(),
        tokens: 4,
        offset: 0,
        priority,
    }
}

#[test]
fn a_load_beyond_the_memory_is_carried_out_and_recorded() {
    let engine = engine(EngineSettings {
        memory_mb: 100,
        ..EngineSettings::instant()
    });
    block_on(async {
        let first = order(LoadTarget::model("m"), 80, 1, 1);
        assert_eq!(engine.load(&first).await, Ok(()));
        assert_eq!(engine.journal().overcommits(), vec![]);
        let second = order(LoadTarget::adapter("a", "m"), 30, 1, 2);
        assert_eq!(engine.load(&second).await, Ok(()));
    });
    let overcommits = engine.journal().overcommits();
    assert_eq!(overcommits.len(), 1);
    assert_eq!(overcommits[0].target.name(), "a");
    assert_eq!(
        (overcommits[0].used_mb, overcommits[0].memory_mb),
        (110, 100)
    );
}

#[test]
fn old_order_numbers_are_refused_or_ignored_by_setting() {
    for (refuses, expected) in [(true, Err(EngineErrorKind::StaleOrder)), (false, Ok(()))] {
        let engine = engine(EngineSettings {
            refuses_stale_orders: refuses,
            ..EngineSettings::instant()
        });
        block_on(async {
            let new = order(LoadTarget::model("m"), 10, 2, 1);
            assert_eq!(engine.load(&new).await, Ok(()));
            let old = order(LoadTarget::model("m"), 0, 1, 9);
            assert_eq!(engine.unload(&old).await, expected);
        });
        let report = engine.report();
        assert_eq!(report.as_of.incarnation, 2);
        assert_eq!(report.loaded.len(), usize::from(refuses));
    }
}

#[test]
fn an_unload_overtakes_a_load_and_a_second_order_joins_it() {
    let engine = engine(EngineSettings::instant());
    block_on(async {
        let load = order(LoadTarget::model("m"), 10, 1, 1);
        let again = order(LoadTarget::model("m"), 10, 1, 2);
        let unload = order(LoadTarget::model("m"), 0, 1, 3);
        let both = futures_lite::future::zip(engine.load(&load), engine.load(&again));
        let (both, unloaded) = futures_lite::future::zip(both, engine.unload(&unload)).await;
        assert_eq!(unloaded, Ok(()));
        let superseded = Err(EngineErrorKind::Superseded);
        assert_eq!(both, (superseded, superseded));
        assert_eq!(engine.used_mb(), 0);
    });
}

#[test]
fn an_adapter_needs_its_model_and_goes_with_it() {
    let engine = engine(EngineSettings::instant());
    block_on(async {
        let adapter = order(LoadTarget::adapter("a", "m"), 5, 1, 1);
        let refused = engine.load(&adapter).await;
        assert_eq!(refused, Err(EngineErrorKind::ModelNotLoaded));
        let model = order(LoadTarget::model("m"), 10, 1, 2);
        assert_eq!(engine.load(&model).await, Ok(()));
        let adapter = order(LoadTarget::adapter("a", "m"), 5, 1, 3);
        assert_eq!(engine.load(&adapter).await, Ok(()));
        assert_eq!(engine.report().used_mb, 15);
        assert_eq!(engine.report().tiers.get("m"), Some(&Tier::Disk));
        let unload = order(LoadTarget::model("m"), 0, 1, 4);
        assert_eq!(engine.unload(&unload).await, Ok(()));
        assert_eq!(engine.report().used_mb, 0);
    });
}

#[test]
fn an_unload_takes_memory_until_it_is_done_and_a_load_waits_for_it() {
    let engine = engine(EngineSettings {
        unload: Duration::from_millis(5),
        ..EngineSettings::instant()
    });
    block_on(async {
        let load = order(LoadTarget::model("m"), 10, 1, 1);
        assert_eq!(engine.load(&load).await, Ok(()));
        let unload = order(LoadTarget::model("m"), 0, 1, 2);
        let again = order(LoadTarget::model("m"), 10, 1, 3);
        let unloading = async {
            futures_lite::future::yield_now().await;
            let report = engine.report();
            assert_eq!((report.used_mb, report.unloading.len()), (10, 1));
            engine.load(&again).await
        };
        let both = futures_lite::future::zip(engine.unload(&unload), unloading).await;
        assert_eq!(both, (Ok(()), Ok(())));
        assert_eq!(engine.report().loaded.len(), 1);
    });
    assert_eq!(engine.journal().overcommits(), vec![]);
}

#[test]
fn places_go_by_priority_and_a_dropped_call_gives_its_place_back() {
    let engine = engine(EngineSettings {
        concurrency: 1,
        ..EngineSettings::instant()
    });
    block_on(async {
        let load = order(LoadTarget::model("m"), 10, 1, 1);
        assert_eq!(engine.load(&load).await, Ok(()));
        let holder = engine.start_call(call("first/1", 5)).await.unwrap();
        let run = |attempt: &'static str, priority| {
            let engine = engine.clone();
            async move {
                let mut call = engine.start_call(call(attempt, priority)).await.unwrap();
                call.run().await.unwrap().len()
            }
        };
        let low = run("low/1", 1);
        let high = run("high/1", 9);
        let release = async { drop(holder) };
        let waiting = futures_lite::future::zip(low, high);
        let (_, lengths) = futures_lite::future::zip(
            async {
                futures_lite::future::yield_now().await;
                release.await;
            },
            waiting,
        )
        .await;
        assert_eq!(lengths, (4, 4));
    });
    let ended: Vec<_> = engine
        .journal()
        .runs()
        .into_iter()
        .map(|run| (run.request_id, run.end))
        .collect();
    let expected = vec![
        ("first".to_owned(), RunEnd::Cancelled),
        ("high".to_owned(), RunEnd::Finished),
        ("low".to_owned(), RunEnd::Finished),
    ];
    assert_eq!(ended, expected);
}

#[test]
fn a_restart_empties_the_memory_and_cuts_the_calls() {
    let engine = engine(EngineSettings::instant());
    block_on(async {
        let load = order(LoadTarget::model("m"), 10, 3, 1);
        assert_eq!(engine.load(&load).await, Ok(()));
        let mut running = engine.start_call(call("r/1", 5)).await.unwrap();
        engine.restart();
        assert_eq!(running.run().await, Err(EngineErrorKind::Interrupted));
        let refused = engine.start_call(call("r/2", 5)).await;
        assert_eq!(refused.unwrap_err(), EngineErrorKind::ModelNotLoaded);
    });
    assert_eq!(engine.journal().runs()[0].end, RunEnd::Cut);
    assert_eq!(engine.report().as_of, OrderNumber::default());
    assert_eq!(engine.used_mb(), 0);
}

#[test]
fn faults_refuse_calls_and_fail_loads() {
    let engine = engine(EngineSettings::instant());
    engine.set_faults(EngineFaults {
        fail_loads: 1,
        ..EngineFaults::default()
    });
    block_on(async {
        let load = order(LoadTarget::model("m"), 10, 1, 1);
        assert_eq!(engine.load(&load).await, Err(EngineErrorKind::LoadFailed));
        assert_eq!(engine.used_mb(), 0);
        assert_eq!(engine.load(&load).await, Ok(()));
        engine.change_faults(|faults| faults.refuse = true);
        let refused = engine.start_call(call("r/1", 5)).await;
        assert_eq!(refused.unwrap_err(), EngineErrorKind::Refused);
    });
    assert_eq!(engine.journal().runs(), vec![]);
}

#[test]
fn cache_events_have_gaps() {
    let engine = engine(EngineSettings {
        cache_event_loss_percent: 50,
        cache_prefixes: 4,
        ..EngineSettings::instant()
    });
    block_on(async {
        let load = order(LoadTarget::model("m"), 10, 1, 1);
        assert_eq!(engine.load(&load).await, Ok(()));
        for index in 0..20 {
            let mut request = call("r/1", 5);
            request.prompt = format!("prompt {index}");
            drop(engine.start_call(request).await);
        }
    });
    let events = engine.report().cache_events;
    let sequences: Vec<u64> = events.iter().map(|event| event.sequence).collect();
    insta::assert_compact_json_snapshot!(sequences, @"[3, 5, 7, 8, 9, 11, 12, 13, 15, 17, 18, 19, 21, 24, 27, 29, 30]");
    assert_eq!(engine.report().cache_events, vec![]);
}
