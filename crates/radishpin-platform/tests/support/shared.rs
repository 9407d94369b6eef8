//! Clients, settings and commits shared by the tests.
#![allow(dead_code)]

use radishpin_platform::{
    Backoff, BreakerSettings, ClientSettings, Commit, Condition, Platform, PlatformClient,
    PlatformMetrics, Write,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

pub const SEED: u64 = 42;

static NEXT_SEED: AtomicU64 = AtomicU64::new(SEED);

/// Settings with short timeouts and delays.
pub fn fast_settings() -> ClientSettings {
    ClientSettings {
        attempt_timeout: Duration::from_millis(200),
        backoff: Backoff {
            base: Duration::from_millis(1),
            cap: Duration::from_millis(2),
        },
        breaker: BreakerSettings {
            open_base: Duration::from_millis(20),
            open_cap: Duration::from_millis(20),
            ..BreakerSettings::default()
        },
        ..ClientSettings::default()
    }
}

/// Settings whose breaker stays open for the rest of a test once it has opened.
pub fn long_open_settings() -> ClientSettings {
    ClientSettings {
        breaker: BreakerSettings {
            open_base: Duration::from_secs(3_600),
            open_cap: Duration::from_secs(3_600),
            ..BreakerSettings::default()
        },
        ..fast_settings()
    }
}

/// Settings without retries.
pub fn single_attempt_settings() -> ClientSettings {
    ClientSettings {
        attempt_timeout: Duration::from_millis(10),
        max_attempts: 1,
        ..fast_settings()
    }
}

pub fn client<P: Platform + Clone>(platform: &P) -> PlatformClient {
    client_with(platform, fast_settings())
}

pub fn client_with<P: Platform + Clone>(platform: &P, settings: ClientSettings) -> PlatformClient {
    let seed = NEXT_SEED.fetch_add(1, Ordering::Relaxed);
    let metrics = PlatformMetrics::unregistered().expect("the names are valid");
    PlatformClient::new(Arc::new(platform.clone()), settings, metrics, seed)
}

/// A commit that writes one row on the condition that it has `version`.
pub fn row_commit(key: &str, version: u64, value: &str) -> Commit {
    Commit {
        conditions: vec![Condition {
            key: key.into(),
            version,
        }],
        writes: vec![Write {
            key: key.into(),
            value: Some(value.into()),
        }],
    }
}
