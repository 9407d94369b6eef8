//! Authentication of operators by bearer token.

use super::refusal::Refusal;
use crate::Token;
use http_types::{Request, headers::AUTHORIZATION};
use radishpin_protocol::ResultCode;

/// Refuses a request without a bearer token, or with another one than `token`.
pub(super) fn check(request: &Request, token: &Token) -> Result<(), Refusal> {
    let Some(values) = request.header(AUTHORIZATION) else {
        let reason = "no Authorization header";
        return Err(Refusal::new(ResultCode::TokenMissing, reason));
    };
    let presented = values.last().as_str();
    let bearer = presented
        .split_once(' ')
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
    match bearer {
        Some((_, secret)) if token.matches(secret.trim()) => Ok(()),
        Some(_) => Err(Refusal::new(
            ResultCode::TokenWrong,
            "the token is not the operators' token",
        )),
        None => Err(Refusal::new(
            ResultCode::TokenMissing,
            "the Authorization header has no Bearer token",
        )),
    }
}
