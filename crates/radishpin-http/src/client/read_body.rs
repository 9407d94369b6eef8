//! Reads whole response bodies up to a limit.

use futures_lite::AsyncReadExt;
use http_types::Response;
use std::io;

/// Reads the body of a response to its end.
///
/// # Errors
/// The body breaks off, or is larger than `bytes_max`; dropping the response closes its connection then.
pub async fn read_body(response: &mut Response, bytes_max: usize) -> io::Result<Vec<u8>> {
    let limit = u64::try_from(bytes_max).unwrap_or(u64::MAX);
    let mut body = response
        .take_body()
        .into_reader()
        .take(limit.saturating_add(1));
    let mut bytes = Vec::new();
    body.read_to_end(&mut bytes).await?;
    if bytes.len() > bytes_max {
        let cause = format!("the body of the response is larger than {bytes_max} bytes");
        return Err(io::Error::other(cause));
    }
    Ok(bytes)
}
