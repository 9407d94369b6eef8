//! HTTP client of the operators' API.

use crate::{
    CommandError,
    settings::{
        Values,
        common::{JSON, SERVER, TIMEOUT, TOKEN},
    },
};
use http_types::{Method, Request, Response, Url, headers::AUTHORIZATION};
use radishpin_http::{Client, ClientError, ClientLimits, read_body};
use radishpin_protocol::{ErrorBody, Version};
use radishpin_server::Token;
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};

/// Largest response that is read, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Sends requests to the operators' API of one node, each with a deadline.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    client: Client,
    address: SocketAddr,
    token: Token,
    timeout: Duration,
    json: bool,
}

/// A request to the operators' API.
#[derive(Debug)]
pub(crate) struct ApiRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    /// Expected current version of the document; 0 if it must not exist yet. `None` sends no
    /// condition.
    pub(crate) if_match: Option<Version>,
    pub(crate) body: Option<String>,
    /// Tells the operator how to find out whether the request was accepted if no response arrives.
    pub(crate) outcome_hint: String,
}

impl ApiRequest {
    /// A request that reads a document and has no conditions.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::Get,
            path: path.into(),
            if_match: None,
            body: None,
            outcome_hint: String::new(),
        }
    }

    /// A request that changes a document; `outcome_hint` is shown if no response arrives.
    pub(crate) fn change(method: Method, path: String, outcome_hint: String) -> Self {
        Self {
            method,
            outcome_hint,
            ..Self::get(path)
        }
    }

    /// Sets the body to the document as JSON.
    pub(crate) fn with_body<T: Serialize>(self, document: &T) -> Result<Self, CommandError> {
        let body = serde_json::to_string(document).map_err(std::io::Error::other)?;
        Ok(Self {
            body: Some(body),
            ..self
        })
    }

    /// Makes the change conditional on the current version; `None` means that no document exists
    /// yet.
    pub(crate) fn if_match(self, version: Option<Version>) -> Self {
        Self {
            if_match: Some(version.unwrap_or_default()),
            ..self
        }
    }
}

impl OperatorClient {
    /// Creates a client from the command's `--server`, `--token-file`, `--timeout` and `--json`.
    pub(crate) fn new(values: &Values) -> Result<Self, CommandError> {
        let timeout = values.duration(&TIMEOUT)?;
        let limits = ClientLimits {
            connect_timeout: timeout,
            ..ClientLimits::default()
        };
        Ok(Self {
            client: Client::new(limits),
            address: values.address(&SERVER)?,
            token: values.token(&TOKEN)?,
            timeout,
            json: values.switch(&JSON),
        })
    }

    /// Sends a request and parses the JSON document in the response.
    ///
    /// The timeout covers the whole exchange, including the response body.
    pub(crate) fn send<T: DeserializeOwned>(
        &self,
        api_request: &ApiRequest,
    ) -> Result<T, CommandError> {
        let request = self.request(api_request)?;
        let response_parts = smol::block_on(radishpin_runtime::timeout(
            self.timeout,
            self.exchange(api_request, request),
        ));
        let no_response = || Err(self.no_response(api_request, "request timed out".to_owned()));
        let (status, body) = response_parts.unwrap_or_else(no_response)?;
        if !(200..300).contains(&status) {
            return Err(self.refused(api_request, status, &body));
        }
        serde_json::from_str(&body).map_err(|e| self.server_error(&e.to_string()))
    }

    async fn exchange(
        &self,
        api_request: &ApiRequest,
        request: Request,
    ) -> Result<(u16, String), CommandError> {
        let mut response: Response = match self.client.send(self.address, request).await {
            Ok(response) => response,
            Err(error @ ClientError::Connect(_)) => {
                return Err(self.server_error(&error.to_string()));
            }
            Err(error) => return Err(self.no_response(api_request, error.to_string())),
        };
        let status = u16::from(response.status());
        let body = read_body(&mut response, RESPONSE_BYTES_MAX).await;
        let body = body.map_err(|e| self.no_response(api_request, e.to_string()))?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    fn request(&self, api_request: &ApiRequest) -> Result<Request, CommandError> {
        let url = format!("http://{}{}", self.address, api_request.path);
        let url = Url::parse(&url).map_err(|e| self.server_error(&e.to_string()))?;
        let mut request = Request::new(api_request.method, url);
        request.insert_header(AUTHORIZATION, self.token.authorization());
        if let Some(version) = api_request.if_match {
            request.insert_header("if-match", version.to_string());
        }
        if let Some(body) = &api_request.body {
            request.set_body(body.clone());
            request.insert_header("content-type", "application/json");
        }
        Ok(request)
    }

    fn no_response(&self, api_request: &ApiRequest, cause: String) -> CommandError {
        if api_request.method == Method::Get {
            return self.server_error(&cause);
        }
        CommandError::NoResponse {
            address: self.address,
            cause,
            outcome_hint: api_request.outcome_hint.clone(),
        }
    }

    fn server_error(&self, cause: &str) -> CommandError {
        CommandError::Server {
            address: self.address,
            cause: cause.to_owned(),
        }
    }

    fn refused(&self, api_request: &ApiRequest, status: u16, body: &str) -> CommandError {
        let Ok(refusal) = serde_json::from_str::<ErrorBody>(body) else {
            return self.server_error(&format!("status {status} without an error body"));
        };
        let text = if self.json {
            body.to_owned()
        } else {
            refusal_text(api_request, &refusal)
        };
        CommandError::Refused { text }
    }
}

fn refusal_text(api_request: &ApiRequest, refusal: &ErrorBody) -> String {
    let error = &refusal.error;
    let mut text = format!(
        "refused: {} ({}): {}\n{}",
        error.name, error.code, error.reason, error.help
    );
    let retry_hint = match error
        .current_version
        .filter(|_| api_request.if_match.is_some())
    {
        Some(0) => "\nTo create it, repeat the order without --if-version.".to_owned(),
        Some(version) => {
            format!("\nTo change it all the same, repeat the order with --if-version {version}.")
        }
        None => String::new(),
    };
    text.push_str(&retry_hint);
    text.push_str(&format!("\nrequest id: {}", error.request_id));
    text
}
