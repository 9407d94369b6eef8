//! The token that every call between radishpin's processes carries.

use crate::Token;
use radishpin_protocol::ResultCode;
use tonic::{Status, metadata::MetadataMap};

const SCHEME: &str = "Bearer ";

/// Checks the caller's token in constant time.
///
/// # Errors
/// `Unauthenticated` where it is missing, `PermissionDenied` where it is wrong.
// The size of `Status` is tonic's; every handler returns it.
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
