//! Concurrent changes by two operators.

use crate::fixture::{Fixture, PROFILE, version};
use futures_lite::future;
use http_types::Method;
use radishpin_runtime::Runtime;
use radishpin_standin::Faults;
use std::time::Duration;

/// Latency of each platform call, so that reads and writes of two requests interleave.
const LATENCY_MS: u64 = 4;

fn slow_platform(fixture: &Fixture) {
    fixture.platform.set_faults(Faults {
        latency_ms: LATENCY_MS,
        ..Faults::default()
    });
}

#[test]
fn only_one_of_two_concurrent_changes_is_accepted() {
    for delay_ms in 0..3 * LATENCY_MS {
        let fixture = Fixture::new();
        let expected_version = fixture.create("slow").to_string();
        slow_platform(&fixture);
        let one = PROFILE.replace("5000", "1000");
        let two = PROFILE.replace("5000", "2000");
        let path = "/v1/profiles/slow";
        let later = async {
            Runtime::sleep(Duration::from_millis(delay_ms)).await;
            fixture
                .send_authorized_async(Method::Put, path, &expected_version, &two)
                .await
        };
        let first = fixture.send_authorized_async(Method::Put, path, &expected_version, &one);
        let (first, later) = smol::block_on(future::zip(first, later));
        let mut statuses = [first.status, later.status];
        statuses.sort_unstable();
        assert_eq!(
            statuses,
            [200, 409],
            "delay {delay_ms}: {first:?} {later:?}"
        );
        let (winner, loser, patience) = match first.status {
            200 => (first, later, "1000"),
            _ => (later, first, "2000"),
        };
        let current = format!("\"current_version\":{}", version(&winner));
        assert!(loser.body.contains(&current), "{winner:?} {loser:?}");
        let row = fixture.platform.row("profile/slow");
        assert_eq!(row.version, version(&winner));
        assert!(row.value.unwrap().contains(patience));
    }
}

#[test]
fn a_profile_is_never_deleted_while_a_service_starts_to_use_it() {
    for delay_ms in 0..6 * LATENCY_MS {
        let fixture = Fixture::new();
        let expected_version = fixture.create("slow").to_string();
        slow_platform(&fixture);
        let pick = r#"{"profile":"slow","kind":"models"}"#;
        let picked = async {
            Runtime::sleep(Duration::from_millis(delay_ms)).await;
            fixture
                .send_authorized_async(Method::Put, "/v1/services/drafting", "", pick)
                .await
        };
        let deleted = fixture.send_authorized_async(
            Method::Delete,
            "/v1/profiles/slow",
            &expected_version,
            "",
        );
        let (deleted, picked) = smol::block_on(future::zip(deleted, picked));
        let profile = fixture.platform.row("profile/slow").value;
        let service = fixture.platform.row("service/drafting").value;
        assert!(
            profile.is_some() || service.is_none(),
            "delay {delay_ms}: {deleted:?} {picked:?}"
        );
        assert_eq!(deleted.status == 200, profile.is_none(), "{deleted:?}");
        assert_eq!(picked.status == 201, service.is_some(), "{picked:?}");
    }
}
