//! A plain service whose calls are not idempotent: each call runs once and is recorded, also
//! when its caller hangs up.

use crate::{
    broken_body::broken_body,
    journal::{Journal, RunEnd},
    reply,
};
use http_types::{Method, Response, StatusCode};
use parking_lot::Mutex;
use radishpin_http::{Handler, HttpFault, ReceivedRequest, Server, ServerLimits, Shutdown};
use radishpin_protocol::engine::REQUEST_ID_HEADER;
use radishpin_runtime::Runtime;
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;
use std::{io, sync::Arc, time::Duration};

/// Path that switches the faults.
const FAULTS_PATH: &str = "/faults";
/// Path that shows the journal.
const JOURNAL_PATH: &str = "/journal";
/// Header by which a caller names a call that may run once only.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Time between looks at whether the service is still frozen.
const POLL: Duration = Duration::from_millis(2);

/// Name and speed of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainServiceSettings {
    /// Name in the journal.
    pub name: String,
    /// Time of each call; the effect comes at its end.
    pub service_time: Duration,
}

/// Faults of a plain service; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainServiceFaults {
    /// Calls to come that take effect and then never answer.
    pub lose_replies: u32,
    /// Calls to come that take effect and whose connection breaks in the answer.
    pub break_replies: u32,
    /// Whether calls stand still before their effect.
    pub frozen: bool,
}

/// Answer to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceReply {
    /// Name of the service.
    pub service: String,
    /// Method of the call.
    pub method: String,
    /// Path and query of the call.
    pub path: String,
    /// Body of the call, as text.
    pub body: String,
    /// Number of the effect, from 1.
    pub effect: u64,
}

/// Handle to a plain service; clones share it.
#[derive(Clone, Debug)]
pub struct PlainService {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: PlainServiceSettings,
    faults: Mutex<PlainServiceFaults>,
    journal: Journal,
}

/// A service with the threads that its calls run on.
struct ServiceHandler {
    service: PlainService,
    runtime: Runtime,
}

/// What becomes of the answer of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerFault {
    None,
    Lost,
    Broken,
}

impl PlainService {
    /// A service that has run nothing.
    pub fn new(settings: PlainServiceSettings) -> Self {
        let shared = Shared {
            settings,
            faults: Mutex::default(),
            journal: Journal::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// What really ran.
    pub fn journal(&self) -> &Journal {
        &self.shared.journal
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlainServiceFaults) {
        *self.shared.faults.lock() = faults;
    }

    /// Serves the service over HTTP until `shutdown`; `POST /faults` and `GET /journal` serve
    /// tests, every other method and path is a call.
    ///
    /// # Errors
    /// The listener fails for good.
    pub async fn serve(
        &self,
        runtime: Runtime,
        listener: TcpListener,
        shutdown: Shutdown,
    ) -> io::Result<()> {
        let handler = Arc::new(ServiceHandler {
            service: self.clone(),
            runtime: runtime.clone(),
        });
        let limits = ServerLimits::default();
        Server::serve(runtime, listener, handler, limits, shutdown).await
    }

    /// Runs one call to its effect, and returns the effect's number.
    async fn run(&self, attempt: &str, key: Option<&str>) -> u64 {
        while self.shared.faults.lock().frozen {
            smol::Timer::after(POLL).await;
        }
        let settings = &self.shared.settings;
        let run = self.shared.journal.start(attempt, &settings.name, key);
        let effect = run.effect();
        if !settings.service_time.is_zero() {
            smol::Timer::after(settings.service_time).await;
        }
        run.end(RunEnd::Finished);
        effect
    }

    fn answer(&self, received: &ReceivedRequest, effect: u64) -> Response {
        let url = received.request.url();
        let query = url.query().map(|query| format!("?{query}"));
        let answer = ServiceReply {
            service: self.shared.settings.name.clone(),
            method: received.request.method().to_string(),
            path: format!("{}{}", url.path(), query.unwrap_or_default()),
            body: String::from_utf8_lossy(&received.body).into_owned(),
            effect,
        };
        reply::json(200, &answer)
    }

    fn take_answer_fault(&self) -> AnswerFault {
        let mut faults = self.shared.faults.lock();
        if faults.lose_replies > 0 {
            faults.lose_replies -= 1;
            AnswerFault::Lost
        } else if faults.break_replies > 0 {
            faults.break_replies -= 1;
            AnswerFault::Broken
        } else {
            AnswerFault::None
        }
    }
}

impl ServiceHandler {
    /// Runs a call to its end, also when the peer hangs up, and answers.
    async fn call(&self, received: &ReceivedRequest) -> Response {
        let attempt = received
            .request
            .header(REQUEST_ID_HEADER)
            .map_or("unnamed/1", |values| values.last().as_str());
        let key = received
            .request
            .header(IDEMPOTENCY_KEY_HEADER)
            .map(|values| values.last().as_str().to_owned());
        let Some(effect) = self.run(attempt.to_owned(), key).await else {
            return reply::empty(StatusCode::InternalServerError);
        };
        let mut response = self.service.answer(received, effect);
        response.insert_header(REQUEST_ID_HEADER, attempt);
        match self.service.take_answer_fault() {
            AnswerFault::None => {}
            AnswerFault::Lost => std::future::pending().await,
            AnswerFault::Broken => response.set_body(broken_body(1)),
        }
        response
    }

    async fn run(&self, attempt: String, key: Option<String>) -> Option<u64> {
        let (sender, receiver) = async_channel::bounded(1);
        let service = self.service.clone();
        self.runtime.spawn_detached(async move {
            let effect = service.run(&attempt, key.as_deref()).await;
            // The peer may have hung up; the effect stands all the same.
            let _ = sender.send(effect).await;
        });
        receiver.recv().await.ok()
    }
}

impl Handler for ServiceHandler {
    async fn handle(&self, received: ReceivedRequest) -> Response {
        let method = received.request.method();
        let path = received.request.url().path();
        match (method, path) {
            (Method::Post, FAULTS_PATH) => reply::with_json(&received.body, |faults| {
                self.service.set_faults(faults);
                reply::empty(StatusCode::NoContent)
            }),
            (Method::Get, JOURNAL_PATH) => reply::json(200, &self.service.journal().snapshot()),
            _ => self.call(&received).await,
        }
    }

    fn refuse(&self, fault: HttpFault) -> Response {
        reply::http_fault(fault)
    }
}
