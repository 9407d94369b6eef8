//! Many rarely used models beside busy ones, replayed with gateways and sidecars in virtual time.

mod engine;
mod simulation;

use simulation::{Setting, run};
use std::time::Duration;

/// A sixth of a fleet of 180 engines for 1,060 models.
const SETTING: Setting = Setting {
    seed: 1,
    engines: 30,
    gateways: 6,
    busy_models: 25,
    rare_models: 150,
    busy_per_s: 88.0,
    rare_per_s: 9.8,
    store_width: 2,
    remote_models: 0,
    length: Duration::from_secs(20),
};

/// What the gateways take the weight store to serve at full speed.
const STORE_WIDTH_ASSUMED: u32 = 4;
/// Differences of shares up to this are noise.
const NOISE: f64 = 0.03;
const SEEDS: [u64; 3] = [1, 2, 3];

/// A third of the rare models has no copy on any disk.
fn with_remote_models(seed: u64) -> Setting {
    Setting {
        seed,
        remote_models: 50,
        ..SETTING
    }
}

fn share_in_time(settings: impl Iterator<Item = Setting>) -> f64 {
    let served: Vec<_> = settings.map(|setting| run(setting).rare).collect();
    let asked: u32 = served.iter().map(|served| served.asked).sum();
    let in_time: u32 = served.iter().map(|served| served.in_time).sum();
    f64::from(in_time) / f64::from(asked)
}

/// Load pattern: callers of many models that only the weight store has, each at another gateway.
#[test]
fn no_more_loads_from_the_weight_store_run_at_once_than_it_serves_at_full_speed() {
    for seed in SEEDS {
        let outcome = run(with_remote_models(seed));
        assert!(
            outcome.store_loads_at_once <= STORE_WIDTH_ASSUMED,
            "seed {seed}: {outcome:?}"
        );
    }
}

/// The same pattern: an engine that fetches a model for a minute loads nothing from its disk meanwhile. Only those few that
/// may fetch are missed by callers of other models.
#[test]
fn models_on_disks_are_served_in_time_beside_models_that_only_the_weight_store_has() {
    let beside = share_in_time(SEEDS.into_iter().map(with_remote_models));
    let alone = share_in_time(SEEDS.into_iter().map(|seed| Setting {
        seed,
        engines: SETTING.engines - STORE_WIDTH_ASSUMED as usize,
        rare_models: SETTING.rare_models - 50,
        rare_per_s: SETTING.rare_per_s * 2.0 / 3.0,
        ..SETTING
    }));
    assert!(
        beside >= alone - NOISE,
        "{beside:.3} beside, {alone:.3} alone"
    );
}
