//! Every request is answered with a success or a refusal below 500, whatever it contains.

use crate::fixture::{Fixture, PROFILE, TOKEN, request};
use http_types::Method;
use proptest::prelude::*;

fn method() -> impl Strategy<Value = Method> {
    prop::sample::select(vec![
        Method::Get,
        Method::Put,
        Method::Post,
        Method::Delete,
        Method::Head,
        Method::Options,
    ])
}

fn path() -> impl Strategy<Value = String> {
    prop_oneof![
        "/[a-z0-9/.%_-]{0,30}",
        "/v1/(profiles|services|stops|status)(/[a-zA-Z0-9.%_-]{0,70})?(/history)?",
    ]
}

fn body() -> impl Strategy<Value = String> {
    prop_oneof![
        ".{0,60}",
        Just(PROFILE.to_owned()),
        (0..PROFILE.len(), ".{0,4}")
            .prop_map(|(at, insert)| { format!("{}{insert}{}", &PROFILE[..at], &PROFILE[at..]) }),
        r#"\{"id":"[a-z]{0,3}","target":\{"host":"[a-z ]{0,3}"\},"from_unix_ms":[0-9]{1,20},"to_unix_ms":[0-9]{1,21}\}"#,
        r#"\{"profile":"[a-z]{0,3}"(,"kind":"(models|plain|other)")?\}"#,
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn any_request_is_answered(
        requests in prop::collection::vec((method(), path(), "[0-9\"a-z]{0,3}", body()), 1..6),
    ) {
        let fixture = Fixture::new();
        for (method, path, if_match, body) in requests {
            let mut request = request(method, &path);
            request.insert_header("authorization", format!("Bearer {TOKEN}"));
            request.insert_header("if-match", if_match);
            let answer = smol::block_on(fixture.send(request, &body));
            prop_assert!(answer.status < 500, "{method} {path}: {answer:?}");
            prop_assert!(
                answer.status < 300 || answer.body.contains("\"error\":{\"code\":"),
                "{method} {path}: {answer:?}"
            );
        }
        fixture.poll();
        let status = fixture.send_authorized(Method::Get, "/v1/status", "", "");
        prop_assert_eq!(status.status, 200);
    }
}
