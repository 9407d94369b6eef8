//! Authentication of operators by token.

use crate::fixture::{Fixture, TOKEN, refusal, request};
use http_types::Method;
use radishpin_server::{Token, TokenError};

fn with_header(fixture: &Fixture, value: Option<&str>) -> String {
    let mut request = request(Method::Get, "/v1/status");
    if let Some(value) = value {
        request.insert_header("authorization", value);
    }
    refusal(&smol::block_on(fixture.send(request, "")))
}

#[test]
fn a_request_without_the_token_is_refused() {
    let fixture = Fixture::new();
    let wrong = format!("Bearer {TOKEN}x");
    let lines = [
        with_header(&fixture, None),
        with_header(&fixture, Some("Basic dXNlcjpwYXNz")),
        with_header(&fixture, Some("Bearer")),
        with_header(&fixture, Some("Bearer ")),
        with_header(&fixture, Some(&wrong)),
        with_header(&fixture, Some("Bearer 0123456789abcdeF")),
    ];
    insta::assert_snapshot!(lines.join("\n"), @"
    401 token_missing ran=no: no Authorization header
    401 token_missing ran=no: the Authorization header has no Bearer token
    401 token_missing ran=no: the Authorization header has no Bearer token
    403 token_wrong ran=no: the token is not the operators' token
    403 token_wrong ran=no: the token is not the operators' token
    403 token_wrong ran=no: the token is not the operators' token
    ");
    assert!(!lines.concat().contains(TOKEN));
}

#[test]
fn refusals_are_counted_by_code() {
    let fixture = Fixture::new();
    with_header(&fixture, None);
    with_header(&fixture, Some("Bearer wrong"));
    with_header(&fixture, Some("Bearer wrong"));
    let families = fixture.registry.gather();
    let lines: Vec<String> = families
        .iter()
        .flat_map(|family| family.get_metric())
        .map(|metric| {
            let label = metric.get_label()[0].value();
            format!("{label} {}", metric.get_counter().get_value())
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @"
    token_missing 1
    token_wrong 2
    ");
}

#[test]
fn a_token_is_hidden_in_debug_output() {
    let token = Token::new("  0123456789abcdef\n").unwrap();
    assert_eq!(format!("{token:?}"), "Token(hidden)");
    assert!(token.matches(TOKEN));
    assert!(!token.matches("0123456789abcdeg"));
    assert!(!token.matches("0123456789abcde"));
    assert!(!token.matches(""));
    assert_eq!(
        Token::new("short").unwrap_err(),
        TokenError::Length { length: 5 }
    );
    assert_eq!(
        Token::new("with a space inside it").unwrap_err(),
        TokenError::Character
    );
}
