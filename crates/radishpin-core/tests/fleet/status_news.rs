//! Which waiting callers a status concerns: most statuses of a large fleet concern none.

use super::support::{TestFleet, ms};
use radishpin_core::process::{LinkLoss, ModelStatus, Status, StatusNews};

fn models(names: &[&str]) -> StatusNews {
    StatusNews::Models(names.iter().map(|name| (*name).to_owned()).collect())
}

fn newer(status: &Status, change: impl FnOnce(&mut Status)) -> Status {
    let mut newer = status.clone();
    newer.version += 1;
    change(&mut newer);
    newer
}

#[test]
fn a_status_concerns_the_callers_of_the_models_that_changed() {
    let mut test = TestFleet::new();
    let first = test.add_engine("i1", &["a", "b"]);
    let mut update = |status: &Status| test.fleet.update_status("i1", status.clone(), ms(100));
    assert_eq!(update(&first), StatusNews::None);
    let loaded = newer(&first, |status| {
        status.models.insert("c".to_owned(), ModelStatus::default());
        status.running = 9;
    });
    assert_eq!(update(&loaded), models(&["c"]));
    let adapter = newer(&loaded, |status| {
        let model = status.models.get_mut("a").unwrap();
        model.adapters.insert("x".to_owned());
    });
    assert_eq!(update(&adapter), models(&["a"]));
    let leaving = newer(&adapter, |status| {
        status.models.get_mut("b").unwrap().leaving = true;
    });
    assert_eq!(update(&leaving), models(&["b"]));
    let unloaded = newer(&leaving, |status| {
        status.models.remove("b");
    });
    assert_eq!(update(&unloaded), models(&["b"]));
    let queue_alone = newer(&unloaded, |status| status.queue_ms = 700);
    assert_eq!(update(&queue_alone), models(&[]));
    assert_eq!(update(&first), StatusNews::None, "an older status");
}

/// Adapters are not loaded while the engine loads a model.
#[test]
fn an_engine_that_has_loaded_a_model_concerns_the_callers_of_all_its_models() {
    let mut test = TestFleet::new();
    let first = test.add_engine("i1", &["a", "b"]);
    let busy = newer(&first, |status| status.busy = true);
    assert_eq!(
        test.fleet.update_status("i1", busy.clone(), ms(100)),
        models(&[])
    );
    let free = newer(&busy, |status| status.busy = false);
    assert_eq!(
        test.fleet.update_status("i1", free, ms(200)),
        models(&["a", "b"])
    );
}

#[test]
fn an_engine_that_comes_up_or_becomes_known_concerns_all_callers() {
    let mut test = TestFleet::new();
    let first = test.add_engine("i1", &["a"]);
    let down = newer(&first, |status| status.engine_up = false);
    let up = newer(&down, |status| status.engine_up = true);
    for status in [down, up.clone()] {
        let news = test.fleet.update_status("i1", status, ms(100));
        assert_eq!(news, StatusNews::Engine);
    }
    test.fleet.link_lost("i1", LinkLoss::Disconnected);
    assert_eq!(
        test.fleet.update_status("i1", up.clone(), ms(200)),
        StatusNews::Engine
    );
    assert_eq!(
        test.fleet.update_status("unlisted", up, ms(200)),
        StatusNews::None
    );
}
