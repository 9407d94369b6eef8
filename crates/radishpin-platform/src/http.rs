//! Access to the platform over HTTP.

use crate::{
    BoxFuture, Commit, CommitOutcome, HostEntry, Listing, Platform, PlatformError, Row,
    wire::{
        COMMIT_PATH, Failure, GET_PATH, GetRequest, HOSTS_PATH, LIST_PATH, ListRequest,
        OBJECTS_PATH,
    },
};
use http_types::{Method, Request, StatusCode, Url, mime};
use radishpin_http::{Client, ClientError, read_body};
use radishpin_protocol::Version;
use serde::{Serialize, de::DeserializeOwned};
use std::net::SocketAddr;

/// Largest response that is read, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Implementation of [`Platform`] over HTTP, with the paths and bodies of [`crate::wire`].
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client,
    address: SocketAddr,
    base_url: Url,
}

impl HttpPlatform {
    /// Creates a platform at `address` without connecting to it.
    ///
    /// # Errors
    /// `address` cannot be written as a URL.
    pub fn new(client: Client, address: SocketAddr) -> Result<Self, PlatformError> {
        let base_url = Url::parse(&format!("http://{address}/"))
            .map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        Ok(Self {
            client,
            address,
            base_url,
        })
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let body = serde_json::to_vec(body)
            .map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        let mut request = self.request(Method::Post, path);
        request.set_body(body);
        request.set_content_type(mime::JSON);
        parse_response(self.send(request).await?)
    }

    fn request(&self, method: Method, path: &str) -> Request {
        let mut url = self.base_url.clone();
        url.set_path(path);
        Request::new(method, url)
    }

    async fn send(&self, request: Request) -> Result<(StatusCode, Vec<u8>), PlatformError> {
        let mut response = self
            .client
            .send(self.address, request)
            .await
            .map_err(|error| match error {
                ClientError::Connect(cause) => PlatformError::Unavailable(cause.to_string()),
                ClientError::Broken(cause) => PlatformError::Unknown(cause),
            })?;
        let body = read_body(&mut response, RESPONSE_BYTES_MAX)
            .await
            .map_err(|error| PlatformError::Unknown(error.to_string()))?;
        Ok((response.status(), body))
    }
}

impl Platform for HttpPlatform {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Row, PlatformError>> {
        Box::pin(async move {
            let key = key.to_owned();
            self.post(GET_PATH, &GetRequest { key }).await
        })
    }

    fn commit<'a>(
        &'a self,
        commit: &'a Commit,
    ) -> BoxFuture<'a, Result<CommitOutcome, PlatformError>> {
        Box::pin(self.post(COMMIT_PATH, commit))
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        since: Version,
    ) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        Box::pin(async move {
            let prefix = prefix.to_owned();
            self.post(LIST_PATH, &ListRequest { prefix, since }).await
        })
    }

    fn put_object<'a>(
        &'a self,
        key: &'a str,
        value: &'a [u8],
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        Box::pin(async move {
            let mut request = self.request(Method::Put, &format!("{OBJECTS_PATH}{key}"));
            request.set_body(value);
            parse_response(self.send(request).await?)
        })
    }

    fn get_object<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, PlatformError>> {
        Box::pin(async move {
            let request = self.request(Method::Get, &format!("{OBJECTS_PATH}{key}"));
            match self.send(request).await? {
                (StatusCode::Ok, body) => Ok(Some(body)),
                (StatusCode::NotFound, _) => Ok(None),
                (status, body) => Err(parse_failure(status, &body)),
            }
        })
    }

    fn hosts(&self) -> BoxFuture<'_, Result<Vec<HostEntry>, PlatformError>> {
        Box::pin(async { parse_response(self.send(self.request(Method::Get, HOSTS_PATH)).await?) })
    }
}

fn parse_response<T: DeserializeOwned>(
    (status, body): (StatusCode, Vec<u8>),
) -> Result<T, PlatformError> {
    if status != StatusCode::Ok {
        return Err(parse_failure(status, &body));
    }
    serde_json::from_slice(&body).map_err(|error| PlatformError::Unknown(error.to_string()))
}

fn parse_failure(status: StatusCode, body: &[u8]) -> PlatformError {
    match serde_json::from_slice::<Failure>(body) {
        Ok(failure) => failure.into(),
        Err(_) => PlatformError::Unknown(format!("status {status} without a reason")),
    }
}
