//! Authentication of calls between radishpin's processes by a bearer token.

use crate::Token;
use radishpin_protocol::ResultCode;
use tonic::{Status, metadata::MetadataMap};

const SCHEME: &str = "Bearer ";

/// Checks the token of an RPC; the comparison time does not depend on the tokens' content.
///
/// # Errors
/// `Unauthenticated` if the token is missing, `PermissionDenied` if it is wrong.
// Tonic defines the size of `Status`, and every handler returns it.
#[allow(clippy::result_large_err)]
pub fn require_token(metadata: &MetadataMap, expected: &Token) -> Result<(), Status> {
    let Some(value) = metadata.get("authorization") else {
        return Err(Status::unauthenticated(ResultCode::TokenMissing.help()));
    };
    let presented = value.to_str().ok().and_then(|v| v.strip_prefix(SCHEME));
    match presented {
        Some(token) if expected.matches(token) => Ok(()),
        _ => Err(Status::permission_denied(ResultCode::TokenWrong.help())),
    }
}
