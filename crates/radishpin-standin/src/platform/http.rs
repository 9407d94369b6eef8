//! The platform over HTTP, so that separate processes share it.

use super::{Faults, MemoryPlatform};
use crate::reply;
use http_types::{Method, Response, StatusCode, mime};
use radishpin_http::{Handler, HttpFault, ReceivedRequest, Server, ServerLimits, Shutdown};
use radishpin_platform::{
    Commit, HostEntry, Platform, PlatformError,
    wire::{
        COMMIT_PATH, Failure, GET_PATH, GetRequest, HOSTS_PATH, LIST_PATH, ListRequest,
        OBJECTS_PATH,
    },
};
use radishpin_runtime::Runtime;
use serde::{Serialize, de::DeserializeOwned};
use smol::net::TcpListener;
use std::{io, sync::Arc};

/// Path that switches the faults.
const FAULTS_PATH: &str = "/faults";
/// Path that shows the counts.
const COUNTS_PATH: &str = "/counts";

impl MemoryPlatform {
    /// Serves the platform over HTTP until `shutdown`; beside the paths in
    /// [`radishpin_platform::wire`], `POST /hosts` and `POST /faults` take their JSON
    /// documents and `GET /counts` shows the counts.
    ///
    /// # Errors
    /// The listener fails for good.
    pub async fn serve(
        &self,
        runtime: Runtime,
        listener: TcpListener,
        shutdown: Shutdown,
    ) -> io::Result<()> {
        let handler = Arc::new(self.clone());
        let limits = ServerLimits {
            body_bytes: 64 * 1024 * 1024,
            ..ServerLimits::default()
        };
        Server::serve(runtime, listener, handler, limits, shutdown).await
    }

    async fn answer_get(&self, request: GetRequest) -> Response {
        answer(self.get(&request.key).await)
    }

    async fn answer_list(&self, request: ListRequest) -> Response {
        answer(self.list(&request.prefix, request.since).await)
    }

    async fn answer_commit(&self, commit: Commit) -> Response {
        answer(self.commit(&commit).await)
    }

    async fn answer_object(&self, method: Method, key: &str, body: &[u8]) -> Response {
        match method {
            Method::Put => answer(self.put_object(key, body).await),
            Method::Get => match self.get_object(key).await {
                Ok(Some(value)) => object(value),
                Ok(None) => reply::empty(StatusCode::NotFound),
                Err(error) => failure(error),
            },
            _ => reply::empty(StatusCode::MethodNotAllowed),
        }
    }

    fn take_faults(&self, faults: Faults) -> Response {
        self.set_faults(faults);
        reply::empty(StatusCode::NoContent)
    }

    fn take_hosts(&self, hosts: Vec<HostEntry>) -> Response {
        self.set_hosts(hosts);
        reply::empty(StatusCode::NoContent)
    }
}

impl Handler for MemoryPlatform {
    async fn handle(&self, received: ReceivedRequest) -> Response {
        let method = received.request.method();
        let path = received.request.url().path();
        let body = received.body.as_slice();
        if let Some(key) = path.strip_prefix(OBJECTS_PATH) {
            return self.answer_object(method, key, body).await;
        }
        match (method, path) {
            (Method::Post, GET_PATH) => match read(body) {
                Ok(request) => self.answer_get(request).await,
                Err(cause) => malformed(&cause),
            },
            (Method::Post, LIST_PATH) => match read(body) {
                Ok(request) => self.answer_list(request).await,
                Err(cause) => malformed(&cause),
            },
            (Method::Post, COMMIT_PATH) => match read(body) {
                Ok(commit) => self.answer_commit(commit).await,
                Err(cause) => malformed(&cause),
            },
            (Method::Get, HOSTS_PATH) => answer(self.hosts().await),
            (Method::Post, HOSTS_PATH) => reply::with_json(body, |hosts| self.take_hosts(hosts)),
            (Method::Post, FAULTS_PATH) => {
                reply::with_json(body, |faults| self.take_faults(faults))
            }
            (Method::Get, COUNTS_PATH) => reply::json(200, &self.counts()),
            _ => reply::empty(StatusCode::NotFound),
        }
    }

    fn refuse(&self, fault: HttpFault) -> Response {
        reply::http_fault(fault)
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

fn malformed(cause: &str) -> Response {
    reply::json(400, &cause)
}

fn answer<T: Serialize>(result: Result<T, PlatformError>) -> Response {
    match result {
        Ok(value) => reply::json(200, &value),
        Err(error) => failure(error),
    }
}

fn failure(error: PlatformError) -> Response {
    let failure = Failure::from(error);
    reply::json(failure.status(), &failure)
}

fn object(value: Vec<u8>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(value);
    response.set_content_type(mime::BYTE_STREAM);
    response
}
