//! Reads a JSON document over HTTP.

use crate::CommandError;
use http_types::{Method, Request, Url};
use radishpin_http::{Client, read_body};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// Largest document that is read, in bytes.
const DOCUMENT_BYTES_MAX: usize = 64 * 1024 * 1024;

/// The document at a path.
///
/// # Errors
/// The address does not answer, or not with such a document.
pub(super) async fn get<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<T, CommandError> {
    let unreadable = |cause: String| CommandError::Load {
        cause: format!("{address}: GET {path} failed: {cause}; check the address"),
    };
    let url = Url::parse(&format!("http://{address}{path}"));
    let url = url.map_err(|error| unreadable(error.to_string()))?;
    let sent = client.send(address, Request::new(Method::Get, url)).await;
    let mut response = sent.map_err(|error| unreadable(error.to_string()))?;
    let body = read_body(&mut response, DOCUMENT_BYTES_MAX).await;
    let body = body.map_err(|error| unreadable(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| unreadable(error.to_string()))
}
