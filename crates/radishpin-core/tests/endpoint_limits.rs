//! Limits that endpoints state, as gateways tell each other.

use radishpin_core::{
    process::{EndpointLimit, EndpointLimits, LIMIT_LIFETIME, LIMITS_MAX},
    request::RequestRate,
};
use std::time::Duration;

fn limit(endpoint: &str, per_s: Option<f64>, age_ms: u64) -> EndpointLimit {
    EndpointLimit {
        endpoint: endpoint.to_owned(),
        limit: per_s.and_then(RequestRate::from_per_s),
        age_ms,
    }
}

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn the_latest_statement_is_kept_in_whatever_order_they_come() {
    let mut limits = EndpointLimits::default();
    assert!(limits.record(limit("e", Some(2.0), 0), at(10)));
    assert!(
        !limits.record(limit("e", Some(1.0), 5_000), at(10)),
        "older"
    );
    assert!(!limits.record(limit("e", Some(2.0), 0), at(11)), "no news");
    assert!(limits.record(limit("e", None, 500), at(12)));
    assert_eq!(limits.since(0, at(13)), [limit("e", None, 1_500)]);
}

#[test]
fn only_statements_after_a_version_are_told() {
    let mut limits = EndpointLimits::default();
    limits.record(limit("a", Some(1.0), 0), at(1));
    let seen = limits.version();
    limits.record(limit("b", Some(1.0), 0), at(2));
    assert_eq!(limits.since(seen, at(2)), [limit("b", Some(1.0), 0)]);
    assert!(limits.since(limits.version(), at(2)).is_empty());
}

#[test]
fn statements_age_out_and_their_number_is_bounded() {
    let mut limits = EndpointLimits::default();
    for n in 0..2 * LIMITS_MAX {
        limits.record(limit(&format!("e{n}"), Some(1.0), 0), at(1));
    }
    assert_eq!(limits.len(), LIMITS_MAX);
    assert!(!limits.record(limit("old", Some(1.0), u64::MAX), at(2)));
    limits.record(limit("new", Some(1.0), 0), at(1) + LIMIT_LIFETIME);
    assert_eq!(limits.len(), 1);
}
