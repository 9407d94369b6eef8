//! Client of the operators' API.

use crate::{
    CommandError,
    settings::{
        Values,
        common::{JSON, SERVER, TIMEOUT, TOKEN},
    },
};
use http_types::{Method, Request, Response, Url, headers::AUTHORIZATION};
use radishpin_http::{Client, ClientError, ClientLimits};
use radishpin_protocol::{ErrorBody, Version};
use radishpin_server::Token;
use serde::{Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, time::Duration};

/// Client of one node's operators' API.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    client: Client,
    address: SocketAddr,
    token: Token,
    timeout: Duration,
    json: bool,
}

/// One order; `outcome_hint` tells how to learn whether it was accepted when no answer comes.
#[derive(Debug)]
pub(crate) struct ApiRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    /// Version that must stand, for an order that depends on one; 0 for a new document.
    pub(crate) if_match: Option<Version>,
    pub(crate) body: Option<String>,
    pub(crate) outcome_hint: String,
}

impl ApiRequest {
    /// A read.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::Get,
            path: path.into(),
            if_match: None,
            body: None,
            outcome_hint: String::new(),
        }
    }

    /// A change.
    pub(crate) fn change(method: Method, path: String, outcome_hint: String) -> Self {
        Self {
            method,
            outcome_hint,
            ..Self::get(path)
        }
    }

    /// The same with a document.
    pub(crate) fn with_body<T: Serialize>(self, document: &T) -> Result<Self, CommandError> {
        let body = serde_json::to_string(document).map_err(std::io::Error::other)?;
        Ok(Self {
            body: Some(body),
            ..self
        })
    }

    /// The same on condition that the version stands, or that there is no document yet.
    pub(crate) fn if_match(self, version: Option<Version>) -> Self {
        Self {
            if_match: Some(version.unwrap_or_default()),
            ..self
        }
    }
}

impl OperatorClient {
    /// A client with the settings of the command.
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

    /// Sends an order and reads the document of its answer.
    pub(crate) fn send<T: DeserializeOwned>(&self, order: &ApiRequest) -> Result<T, CommandError> {
        let request = self.request(order)?;
        let answer = smol::block_on(radishpin_runtime::timeout(
            self.timeout,
            self.exchange(order, request),
        ));
        let no_answer = || Err(self.no_answer(order, "no answer in time".to_owned()));
        let (status, body) = answer.unwrap_or_else(no_answer)?;
        if !(200..300).contains(&status) {
            return Err(self.refused(order, status, &body));
        }
        serde_json::from_str(&body).map_err(|e| self.unreadable(&e.to_string()))
    }

    async fn exchange(
        &self,
        order: &ApiRequest,
        request: Request,
    ) -> Result<(u16, String), CommandError> {
        let mut response: Response = match self.client.send(self.address, request).await {
            Ok(response) => response,
            Err(error @ ClientError::Connect(_)) => return Err(self.unreadable(&error.to_string())),
            Err(error) => return Err(self.no_answer(order, error.to_string())),
        };
        let status = u16::from(response.status());
        let body = response.body_string().await;
        let body = body.map_err(|e| self.no_answer(order, e.to_string()))?;
        Ok((status, body))
    }

    fn request(&self, order: &ApiRequest) -> Result<Request, CommandError> {
        let url = format!("http://{}{}", self.address, order.path);
        let url = Url::parse(&url).map_err(|e| self.unreadable(&e.to_string()))?;
        let mut request = Request::new(order.method, url);
        request.insert_header(AUTHORIZATION, self.token.authorization());
        if let Some(version) = order.if_match {
            request.insert_header("if-match", version.to_string());
        }
        if let Some(body) = &order.body {
            request.set_body(body.clone());
            request.insert_header("content-type", "application/json");
        }
        Ok(request)
    }

    fn no_answer(&self, order: &ApiRequest, cause: String) -> CommandError {
        if order.method == Method::Get {
            return self.unreadable(&cause);
        }
        CommandError::NoResponse {
            address: self.address,
            cause,
            outcome_hint: order.outcome_hint.clone(),
        }
    }

    fn unreadable(&self, cause: &str) -> CommandError {
        CommandError::Server {
            address: self.address,
            cause: cause.to_owned(),
        }
    }

    fn refused(&self, order: &ApiRequest, status: u16, body: &str) -> CommandError {
        let Ok(refusal) = serde_json::from_str::<ErrorBody>(body) else {
            return self.unreadable(&format!("status {status} without an error body"));
        };
        let text = if self.json {
            body.to_owned()
        } else {
            refusal_text(order, &refusal)
        };
        CommandError::Refused { text }
    }
}

fn refusal_text(order: &ApiRequest, refusal: &ErrorBody) -> String {
    let error = &refusal.error;
    let mut text = format!(
        "refused: {} ({}): {}\n{}",
        error.name, error.code, error.reason, error.help
    );
    let repeat = match error.current_version.filter(|_| order.if_match.is_some()) {
        Some(0) => "\nTo create it, repeat the order without --if-version.".to_owned(),
        Some(version) => {
            format!("\nTo change it all the same, repeat the order with --if-version {version}.")
        }
        None => String::new(),
    };
    text.push_str(&repeat);
    text.push_str(&format!("\nrequest id: {}", error.request_id));
    text
}
