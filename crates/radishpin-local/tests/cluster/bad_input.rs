//! What callers send by mistake or on purpose, towards a whole node.

use crate::{
    raw::{RawAnswer, callers_address, exchange},
    support::{Caller, bookings, small_plan, with_cluster, with_plan},
};
use proptest::{prelude::*, test_runner::RngSeed};
use radishpin_local::LocalCluster;

const BOOK: &[u8] = b"POST /services/booking/appointments";
const COMPLETE: &[u8] = b"POST /v1/completions";

fn book(cluster: &LocalCluster, headers: &[&[u8]], body: &[u8]) -> RawAnswer {
    exchange(callers_address(cluster), BOOK, headers, body)
}

fn complete(cluster: &LocalCluster, body: &[u8]) -> RawAnswer {
    exchange(callers_address(cluster), COMPLETE, &[], body)
}

fn shown<const N: usize>(cases: [(&str, RawAnswer); N]) -> String {
    let lines = cases.map(|(name, answer)| format!("{name}: {answer}"));
    lines.join("\n")
}

#[test]
fn odd_headers_are_refused_and_add_no_line_to_an_answer() {
    with_cluster(|cluster| async move {
        let long = [b"idempotency-key: ".as_slice(), &[b'k'; 129]].concat();
        let cases = [
            (
                "id with a space",
                book(&cluster, &[b"x-request-id: a b"], b""),
            ),
            (
                "id with a carriage return",
                book(&cluster, &[b"x-request-id: a\rx-evil: 1"], b""),
            ),
            (
                "id with a line feed",
                book(&cluster, &[b"x-request-id: a\nx-evil: 1"], b""),
            ),
            (
                "folded id",
                book(&cluster, &[b"x-request-id: a\r\n x-evil: 1"], b""),
            ),
            (
                "id with a NUL",
                book(&cluster, &[b"x-request-id: a\0b"], b""),
            ),
            (
                "id beyond ASCII",
                book(&cluster, &["x-request-id: ção".as_bytes()], b""),
            ),
            ("empty id", book(&cluster, &[b"x-request-id:"], b"")),
            (
                "two ids",
                book(&cluster, &[b"x-request-id: a", b"X-Request-Id: b"], b""),
            ),
            ("empty key", book(&cluster, &[b"idempotency-key: "], b"")),
            ("long key", book(&cluster, &[&long], b"")),
            (
                "key with a space",
                book(&cluster, &[b"idempotency-key: a b"], b""),
            ),
            (
                "key beyond ASCII",
                book(&cluster, &[b"idempotency-key: \xe7\xe3o"], b""),
            ),
            (
                "two keys",
                book(
                    &cluster,
                    &[b"idempotency-key: a", b"idempotency-key: a"],
                    b"",
                ),
            ),
            (
                "two deadlines",
                book(&cluster, &[b"x-deadline-ms: 9", b"x-deadline-ms: 8"], b""),
            ),
            (
                "negative deadline",
                book(&cluster, &[b"x-deadline-ms: -1"], b""),
            ),
            (
                "huge deadline",
                book(&cluster, &[b"x-deadline-ms: 99999999999999999999"], b""),
            ),
        ];
        for (name, answer) in &cases {
            assert!(!answer.head.contains("x-evil"), "{name}: {answer:?}");
        }
        insta::assert_snapshot!(shown(cases), @"
        id with a space: 400 1007 ran=no
        id with a carriage return: 400 1001 ran=no
        id with a line feed: 400 1001 ran=no
        folded id: 400 1001 ran=no
        id with a NUL: 400 1001 ran=no
        id beyond ASCII: 400 1001 ran=no
        empty id: 400 1007 ran=no
        two ids: 400 1007 ran=no
        empty key: 400 1007 ran=no
        long key: 400 1007 ran=no
        key with a space: 400 1007 ran=no
        key beyond ASCII: 400 1001 ran=no
        two keys: 400 1007 ran=no
        two deadlines: 400 1007 ran=no
        negative deadline: 400 1007 ran=no
        huge deadline: 400 1007 ran=no
        ");
        assert_eq!(bookings(&cluster), 0);
        assert_eq!(book(&cluster, &[], b"nine").status, 200);
    });
}

#[test]
fn keys_that_look_alike_are_different_keys() {
    with_cluster(|cluster| async move {
        let keys = [
            "a", "A", "a/b", "../a", "a%2Fb", "\"a\"", "a;b,c", "'--", "{}", "k:0",
        ];
        for (i, key) in keys.iter().enumerate() {
            let header = format!("idempotency-key: {key}");
            for _ in 0..2 {
                let got = book(&cluster, &[header.as_bytes()], b"nine");
                assert_eq!(got.status, 200, "{key}: {got}");
            }
            assert_eq!(bookings(&cluster), i + 1, "{key}");
        }
    });
}

#[test]
fn odd_completions_are_refused() {
    with_cluster(|cluster| async move {
        let deep = "[".repeat(100_000);
        let deep_field = format!(r#"{{"model":"log-tags","x":{deep}"#);
        let long = format!(r#"{{"model":"{}"}}"#, "m".repeat(1_000_000));
        let long = complete(&cluster, long.as_bytes());
        assert!(long.body.len() < 1_000, "{} bytes", long.body.len());
        let echoed = format!(
            r#"{{"model":"log-tags","stream":"{}"}}"#,
            "é".repeat(1_000_000)
        );
        let echoed = complete(&cluster, echoed.as_bytes());
        assert!(echoed.body.len() < 1_000, "{} bytes", echoed.body.len());
        let cases = [
            (
                "path as model",
                complete(&cluster, br#"{"model":"../log-tags"}"#),
            ),
            (
                "slashes",
                complete(&cluster, br#"{"model":"log-tags/../x"}"#),
            ),
            (
                "control characters",
                complete(&cluster, br#"{"model":"log-tags\u0000\r\n"}"#),
            ),
            ("no name", complete(&cluster, br#"{"model":""}"#)),
            ("long name", long),
            ("long field", echoed),
            (
                "no string",
                complete(&cluster, br#"{"model":["log-tags"]}"#),
            ),
            (
                "two models",
                complete(&cluster, br#"{"model":"log-tags","model":"x"}"#),
            ),
            ("deep", complete(&cluster, deep.as_bytes())),
            ("deep field", complete(&cluster, deep_field.as_bytes())),
            (
                "not UTF-8",
                complete(&cluster, b"{\"model\":\"log-tags\",\"prompt\":\"\xff\"}"),
            ),
            (
                "trailing junk",
                complete(&cluster, br#"{"model":"log-tags"}}"#),
            ),
            ("empty", complete(&cluster, b"")),
        ];
        insta::assert_snapshot!(shown(cases), @"
        path as model: 404 1005 ran=no
        slashes: 404 1005 ran=no
        control characters: 404 1005 ran=no
        no name: 404 1005 ran=no
        long name: 404 1005 ran=no
        long field: 400 1007 ran=no
        no string: 400 1007 ran=no
        two models: 400 1007 ran=no
        deep: 400 1007 ran=no
        deep field: 400 1007 ran=no
        not UTF-8: 400 1007 ran=no
        trailing junk: 400 1007 ran=no
        empty: 400 1007 ran=no
        ");
        let got = Caller::of(&cluster, 0).complete("log-tags", "snow").await;
        assert_eq!(got.status, 200, "{got}");
    });
}

#[test]
fn odd_paths_and_methods_reach_no_other_service() {
    with_cluster(|cluster| async move {
        let address = callers_address(&cluster);
        let send = |line: &str| exchange(address, line.as_bytes(), &[], b"");
        let cases = [
            ("dots", send("GET /services/booking/../../v1/status")),
            (
                "encoded dots",
                send("GET /services/booking/%2e%2e/nobody/x"),
            ),
            ("encoded name", send("GET /services/book%69ng/x")),
            ("no name", send("GET /services/")),
            ("no slash", send("GET /services")),
            (
                "model service",
                send("POST /services/drafting/control/load"),
            ),
            ("asterisk", send("OPTIONS *")),
            ("authority", send("CONNECT booking:80")),
            ("odd method", send("FROB /services/booking/x")),
            ("completions by HEAD", send("HEAD /v1/completions")),
        ];
        insta::assert_snapshot!(shown(cases), @"
        dots: 404 1009 ran=no
        encoded dots: 404 1006 ran=no
        encoded name: 404 1006 ran=no
        no name: 404 1006 ran=no
        no slash: 404 1009 ran=no
        model service: 404 1006 ran=no
        asterisk: 400 1001 ran=no
        authority: 404 1009 ran=no
        odd method: 400 1001 ran=no
        completions by HEAD: 405 ok
        ");
        assert_eq!(bookings(&cluster), 0);
        let passed = [
            (
                "double slash",
                send("GET /services/booking//evil.example/x"),
            ),
            ("user", send("GET /services/booking/@evil.example")),
            ("backslash", send("GET /services/booking/\\evil.example")),
            (
                "encoded slash",
                send("GET /services/booking/a%2Fb%00?q=%0d%0a"),
            ),
            ("OPTIONS", send("OPTIONS /services/booking/x")),
            ("HEAD", send("HEAD /services/booking/x")),
        ];
        for (name, answer) in &passed {
            assert_eq!(answer.status, 200, "{name}");
        }
        assert_eq!(passed[5].1.body, "");
        let paths = passed.each_ref().map(|(name, answer)| {
            let json: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
            format!("{name}: {} {}", json["method"], json["path"])
        });
        insta::assert_snapshot!(paths.join("\n"), @r#"
        double slash: "GET" "//evil.example/x"
        user: "GET" "/@evil.example"
        backslash: "GET" "//evil.example"
        encoded slash: "GET" "/a%2Fb%00?q=%0d%0a"
        OPTIONS: "OPTIONS" "/x"
        HEAD: null null
        "#);
        assert_eq!(bookings(&cluster), 6);
    });
}

#[test]
fn any_bytes_reach_a_plain_service_whole() {
    with_cluster(|cluster| async move {
        let all: Vec<u8> = (0..40_000_u32)
            .map(|i| (i % 251) as u8 ^ (i / 251) as u8)
            .collect();
        for (i, body) in [b"".as_slice(), b"\xff", b"\0\r\n\r\n0\r\n\r\n", &all]
            .iter()
            .enumerate()
        {
            let key = format!("idempotency-key: k{i}");
            for headers in [&[][..], &[key.as_bytes()], &[key.as_bytes()]] {
                let got = book(&cluster, headers, body);
                assert_eq!(got.status, 200, "{got}");
                let json: serde_json::Value = serde_json::from_str(&got.body).unwrap();
                assert_eq!(json["body"], String::from_utf8_lossy(body).into_owned());
            }
        }
        // Each body once without a key and once with it.
        assert_eq!(bookings(&cluster), 8);
    });
}

#[test]
fn a_callers_resume_offset_takes_nothing_from_its_answer() {
    with_cluster(|cluster| async move {
        let body = br#"{"model":"log-tags","prompt":"snow","max_tokens":4,"stream":true}"#;
        let address = callers_address(&cluster);
        let plain = exchange(address, COMPLETE, &[], body);
        let shifted = exchange(address, COMPLETE, &[b"x-resume-offset: 2"], body);
        let tokens = |answer: &RawAnswer| answer.body.matches("\"text\":").count();
        assert_eq!((tokens(&plain), tokens(&shifted)), (4, 4));
    });
}

fn header() -> impl Strategy<Value = Vec<u8>> {
    let known = prop::sample::select(vec![
        "x-request-id",
        "idempotency-key",
        "x-deadline-ms",
        "accept",
    ]);
    let odd = prop::collection::vec(any::<u8>(), 0..12);
    let sound = "[ -~]{0,12}".prop_map(String::into_bytes);
    let value = prop_oneof![1 => odd.clone(), 3 => sound];
    let line = (known, value).prop_map(|(name, value)| [name.as_bytes(), b": ", &value].concat());
    prop_oneof![4 => line, 1 => odd]
}

#[test]
fn what_is_said_of_any_call_is_true() {
    let config = ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(0x5eed_0004),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let path = prop_oneof![Just(String::new()), "/[ -~]{0,20}"];
    let method = prop::sample::select(vec!["GET", "POST", "PUT", "DELETE", "PATCH", "FROB"]);
    let headers = prop::collection::vec(header(), 0..3);
    let body = prop::collection::vec(any::<u8>(), 0..100);
    with_plan(small_plan(), |cluster| async move {
        proptest!(config, |(method in method, path in path, headers in headers, body in body)| {
            let before = bookings(&cluster);
            let line = format!("{method} /services/booking{path}");
            let headers: Vec<&[u8]> = headers.iter().map(Vec::as_slice).collect();
            let got = exchange(callers_address(&cluster), line.as_bytes(), &headers, &body);
            let runs = bookings(&cluster) - before;
            match got.ran().as_str() {
                "" => prop_assert!(runs == 1 || got.head.contains("idempotent-replayed"), "{:?}", got),
                "no" => prop_assert_eq!(runs, 0, "{:?}", got),
                _ => prop_assert!(runs <= 1, "{:?}", got),
            }
        });
        assert_eq!(book(&cluster, &[], b"nine").status, 200);
    });
}
