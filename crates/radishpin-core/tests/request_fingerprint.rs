//! Which requests have the same fingerprint.

use radishpin_core::request::{RequestIdentity, SharedParts};
use std::collections::BTreeSet;

fn identity(parts: &SharedParts) -> RequestIdentity<'_> {
    RequestIdentity {
        method: "POST",
        host: b"shop.example",
        path: "/order/2f?page=1",
        caller_headers: vec![("authorization", b"one"), ("x-tenant", b"two")],
        shared_parts: parts,
        body: b"question",
    }
}

#[test]
fn the_order_of_headers_and_the_case_of_the_host_make_no_difference() {
    let parts: SharedParts = [1, 2].into_iter().collect();
    let same = RequestIdentity {
        host: b"Shop.Example",
        caller_headers: vec![("x-tenant", b"two"), ("authorization", b"one")],
        ..identity(&parts)
    };
    assert_eq!(same.fingerprint(), identity(&parts).fingerprint());
}

#[test]
fn each_field_makes_a_difference_and_none_runs_into_the_next() {
    let parts: SharedParts = [1, 2].into_iter().collect();
    let none = SharedParts::default();
    let base = || identity(&parts);
    let others = [
        base(),
        RequestIdentity {
            method: "GET",
            ..base()
        },
        RequestIdentity {
            host: b"other.example",
            ..base()
        },
        RequestIdentity {
            path: "/order/2f",
            ..base()
        },
        RequestIdentity {
            path: "/order/2F?page=1",
            ..base()
        },
        RequestIdentity {
            path: "/order/2f?page=1q",
            body: b"uestion",
            ..base()
        },
        RequestIdentity {
            caller_headers: Vec::new(),
            ..base()
        },
        RequestIdentity {
            caller_headers: vec![("authorization", b"two"), ("x-tenant", b"one")],
            ..base()
        },
        RequestIdentity {
            caller_headers: vec![("authorizationone", b""), ("x-tenant", b"two")],
            ..base()
        },
        RequestIdentity {
            shared_parts: &none,
            ..base()
        },
        RequestIdentity {
            body: b"",
            ..base()
        },
        RequestIdentity {
            body: b"question ",
            ..base()
        },
    ];
    let count = others.len();
    let fingerprints = others.map(RequestIdentity::fingerprint);
    assert_eq!(BTreeSet::from(fingerprints).len(), count);
}
