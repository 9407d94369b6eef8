//! The weight store: its rate, its lanes, and its outage.

use radishpin_standin::{
    Rate, WeightStore, WeightStoreError, WeightStoreFaults, WeightStoreSettings,
};
use smol::block_on;
use std::time::Duration;

fn store() -> WeightStore {
    WeightStore::new(WeightStoreSettings {
        loads_per_second: 1_000.0,
        model_load: Duration::from_millis(20),
        ..WeightStoreSettings::default()
    })
}

#[test]
fn loads_beyond_full_speed_take_proportionally_longer() {
    let settings = WeightStoreSettings::default();
    let models = [1, 4, 5, 8, 40].map(|loads| settings.model_stretch(loads));
    assert_eq!(models, [1.0, 1.0, 1.25, 2.0, 10.0]);
    let adapters = [1, 30, 60].map(|loads| settings.adapter_stretch(loads));
    assert_eq!(adapters, [1.0, 1.0, 2.0]);
}

#[test]
fn loads_start_at_the_rate() {
    let mut rate = Rate::new(2.5, Duration::ZERO);
    let started = (0..1_000)
        .filter(|ms| rate.take(Duration::from_millis(10 * ms)))
        .count();
    // 10 s at 2.5 a second, counted from the first.
    assert_eq!(started, 25);
}

#[test]
fn loads_run_together_and_are_counted() {
    let store = store();
    block_on(async {
        let pair = || futures_lite::future::zip(store.load_model(), store.load_model());
        let both = futures_lite::future::zip(pair(), pair()).await;
        assert_eq!(both, ((Ok(()), Ok(())), (Ok(()), Ok(()))));
    });
    let loads = store.model_loads();
    assert_eq!((loads.started, loads.peak, loads.in_flight), (4, 4, 0));
}

#[test]
fn an_outage_fails_loads_and_adapters_have_a_lane_of_their_own() {
    let store = store();
    block_on(async {
        assert_eq!(store.load_adapter().await, Ok(()));
        store.set_faults(WeightStoreFaults {
            outage: true,
            ..WeightStoreFaults::default()
        });
        let refused = Err(WeightStoreError::Unavailable);
        assert_eq!(store.load_model().await, refused);
        assert_eq!(store.load_adapter().await, refused);
    });
    assert_eq!(store.adapter_loads().started, 2);
    assert_eq!(store.model_loads().peak, 1);
}
