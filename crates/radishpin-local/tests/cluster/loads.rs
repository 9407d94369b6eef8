//! Loads: one for a burst, none beyond the memory, none that needs the platform.

use crate::support::{
    Caller, bookings, eventually, loaded_at, small_plan, with_cluster, with_plan,
};
use radishpin_runtime::Runtime;
use radishpin_standin::Outage;
use std::time::Duration;

#[test]
fn a_burst_at_all_nodes_makes_one_load() {
    with_cluster(|cluster| async move {
        let runtime = cluster.runtime.clone();
        let calls: Vec<_> = (0..30)
            .map(|i| {
                let caller = Caller::of(&cluster, i % 3);
                runtime.spawn(async move { caller.complete("season-summary", "burst").await })
            })
            .collect();
        for call in calls {
            assert_eq!(call.await.to_string(), "200 ok");
        }
        assert_eq!(loaded_at(&cluster, "season-summary").len(), 1);
    });
}

#[test]
fn memory_is_never_overcommitted_when_models_crowd() {
    let mut plan = small_plan();
    for endpoint in plan.endpoints.values_mut() {
        if let Some(engine) = &mut endpoint.engine {
            // Room for the largest model alone, or for two small ones.
            engine.settings.memory_mb = 15_000;
        }
    }
    with_plan(plan, |cluster| async move {
        let runtime = cluster.runtime.clone();
        let models = [
            "repair-notes",
            "season-summary",
            "log-tags",
            "log-tags-simien",
        ];
        let calls: Vec<_> = (0..60)
            .map(|i| {
                let caller = Caller::of(&cluster, i % 3);
                let model = models[i % models.len()];
                runtime.spawn(async move { caller.complete(model, &format!("crowd {i}")).await })
            })
            .collect();
        for call in calls {
            let got = call.await;
            assert!(got.status == 200 || got.ran() == "no", "{got}");
        }
        for agent in cluster.agents.values() {
            if let Some(engine) = &agent.engine {
                assert_eq!(engine.journal().overcommits(), []);
            }
        }
    });
}

#[test]
fn a_cold_load_needs_no_platform() {
    with_cluster(|cluster| async move {
        cluster
            .platform
            .change_faults(|faults| faults.outage = Outage::Refusing);
        let caller = Caller::of(&cluster, 0);
        let cold = caller.complete("season-summary", "outage").await;
        assert_eq!(cold.to_string(), "200 ok");
        let service = caller.book(&[], "without a key").await;
        assert_eq!(service.to_string(), "200 ok");
        assert_eq!(bookings(&cluster), 1);
    });
}

#[test]
fn an_engine_that_restarts_empty_is_loaded_again() {
    with_cluster(|cluster| async move {
        let caller = Caller::of(&cluster, 0);
        caller.complete("repair-notes", "before").await;
        for endpoint in loaded_at(&cluster, "repair-notes") {
            cluster.agents[&endpoint].engine.as_ref().unwrap().restart();
        }
        let after = caller.complete("repair-notes", "after").await;
        assert_eq!(after.to_string(), "200 ok");
    });
}

#[test]
fn a_failed_load_is_retried_elsewhere() {
    with_cluster(|cluster| async move {
        for agent in cluster.agents.values() {
            if let Some(engine) = &agent.engine {
                engine.change_faults(|faults| faults.fail_loads = 1);
            }
        }
        let got = Caller::of(&cluster, 0).complete("repair-notes", "x").await;
        assert_eq!(got.to_string(), "200 ok");
    });
}

#[test]
fn a_load_order_whose_reply_is_lost_keeps_its_memory_and_serves() {
    with_cluster(|cluster| async move {
        for agent in cluster.agents.values() {
            if let Some(engine) = &agent.engine {
                engine.change_faults(|faults| faults.lose_order_replies = 1);
            }
        }
        let got = Caller::of(&cluster, 0).complete("repair-notes", "x").await;
        assert!(got.status == 200 || got.ran() == "no", "{got}");
        for agent in cluster.agents.values() {
            if let Some(engine) = &agent.engine {
                assert_eq!(engine.journal().overcommits(), []);
            }
        }
    });
}

#[test]
fn an_idle_replica_is_unloaded() {
    let mut plan = small_plan();
    for profile in plan.profiles.values_mut() {
        profile.idle_unload_ms = 200;
    }
    with_plan(plan, |cluster| async move {
        Caller::of(&cluster, 0).complete("log-tags", "x").await;
        assert_eq!(loaded_at(&cluster, "log-tags").len(), 1);
        eventually("unloaded", || loaded_at(&cluster, "log-tags").is_empty()).await;
    });
}

#[test]
fn a_model_to_be_kept_is_loaded_before_anyone_calls() {
    let mut plan = small_plan();
    plan.profiles.get_mut("drafting").unwrap().min_loaded = 1;
    with_plan(plan, |cluster| async move {
        eventually("kept loaded", || {
            loaded_at(&cluster, "repair-notes").len() == 1
        })
        .await;
        Runtime::sleep(Duration::from_millis(100)).await;
        assert_eq!(loaded_at(&cluster, "repair-notes").len(), 1);
    });
}
