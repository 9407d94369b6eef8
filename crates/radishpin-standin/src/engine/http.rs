//! The engine over HTTP, as its agent speaks to it.

mod completion;

use super::{Engine, faults::AnswerFault};
use crate::{broken_body::broken_body, reply};
use completion::Shape;
use http_types::{Method, Request, Response, StatusCode};
use radishpin_http::{Handler, HttpFault, ReceivedRequest, Server, ServerLimits, Shutdown};
use radishpin_protocol::engine::{
    CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH, EngineErrorKind, LOAD_PATH, Order, REPORT_PATH,
    UNLOAD_PATH,
};
use radishpin_runtime::Runtime;
use smol::net::TcpListener;
use std::{io, sync::Arc};

/// Path that switches the faults.
const FAULTS_PATH: &str = "/faults";
/// Path that shows the journal.
const JOURNAL_PATH: &str = "/journal";
/// Path that restarts the engine.
const RESTART_PATH: &str = "/restart";

/// An engine with the threads that its orders run on.
struct EngineHandler {
    engine: Engine,
    runtime: Runtime,
}

/// Which order a path stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderKind {
    Load,
    Unload,
}

impl Engine {
    /// Serves the engine over HTTP until `shutdown`; beside the interface in
    /// [`radishpin_protocol::engine`], `POST /faults`, `POST /restart` and `GET /journal`
    /// serve tests.
    ///
    /// # Errors
    /// The listener fails for good.
    pub async fn serve(
        &self,
        runtime: Runtime,
        listener: TcpListener,
        shutdown: Shutdown,
    ) -> io::Result<()> {
        let handler = Arc::new(EngineHandler {
            engine: self.clone(),
            runtime: runtime.clone(),
        });
        let limits = ServerLimits::default();
        Server::serve(runtime, listener, handler, limits, shutdown).await
    }
}

impl EngineHandler {
    async fn complete(&self, shape: Shape, request: &Request, body: &[u8]) -> Response {
        let asked = match completion::read(request, body) {
            Ok(asked) => asked,
            Err(kind) => return reply::engine_error(kind),
        };
        let mut call = match self.engine.start_call(asked.call).await {
            Ok(call) => call,
            Err(kind) => return reply::engine_error(kind),
        };
        let unstreamed = asked.stream && self.takes_unstreamed();
        if asked.stream && !unstreamed {
            return completion::streamed(shape, call);
        }
        let tokens = match call.run().await {
            Ok(tokens) => tokens,
            Err(kind) => return reply::engine_error(kind),
        };
        let mut response = completion::whole(shape, &call, &tokens);
        if unstreamed {
            completion::lengthen(&mut response).await;
        }
        match call.fault {
            AnswerFault::Lost => std::future::pending().await,
            AnswerFault::Broken => response.set_body(broken_body(1)),
            AnswerFault::None | AnswerFault::Crossed => {}
        }
        response
    }

    fn takes_unstreamed(&self) -> bool {
        let faults = &self.engine.shared.faults;
        faults.take(|faults| &mut faults.unstreamed_answers)
    }

    /// Carries an order out to its end, also when the peer hangs up.
    async fn order(&self, kind: OrderKind, body: &[u8]) -> Response {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return reply::engine_error(EngineErrorKind::BadRequest);
        };
        let (sender, receiver) = async_channel::bounded(1);
        let engine = self.engine.clone();
        self.runtime.spawn_detached(async move {
            let done = match kind {
                OrderKind::Load => engine.load(&order).await,
                OrderKind::Unload => engine.unload(&order).await,
            };
            let lost = engine
                .shared
                .faults
                .take(|faults| &mut faults.lose_order_replies);
            // The peer may have hung up; the order stands all the same.
            let _ = sender.send((done, lost)).await;
        });
        match receiver.recv().await {
            Ok((_, true)) => std::future::pending().await,
            Ok((Ok(()), false)) => reply::json(200, &serde_json::json!({})),
            Ok((Err(kind), false)) => reply::engine_error(kind),
            Err(_) => reply::engine_error(EngineErrorKind::Superseded),
        }
    }

    async fn report(&self) -> Response {
        self.engine.unfrozen().await;
        reply::json(200, &self.engine.report())
    }

    fn restart(&self) -> Response {
        self.engine.restart();
        reply::empty(StatusCode::NoContent)
    }
}

impl Handler for EngineHandler {
    async fn handle(&self, received: ReceivedRequest) -> Response {
        let method = received.request.method();
        let path = received.request.url().path();
        let body = received.body.as_slice();
        match (method, path) {
            (Method::Post, COMPLETIONS_PATH) => {
                self.complete(Shape::Text, &received.request, body).await
            }
            (Method::Post, CHAT_COMPLETIONS_PATH) => {
                self.complete(Shape::Chat, &received.request, body).await
            }
            (Method::Post, LOAD_PATH) => self.order(OrderKind::Load, body).await,
            (Method::Post, UNLOAD_PATH) => self.order(OrderKind::Unload, body).await,
            (Method::Get, REPORT_PATH) => self.report().await,
            (Method::Post, FAULTS_PATH) => reply::with_json(body, |faults| {
                self.engine.set_faults(faults);
                reply::empty(StatusCode::NoContent)
            }),
            (Method::Post, RESTART_PATH) => self.restart(),
            (Method::Get, JOURNAL_PATH) => reply::json(200, &self.engine.journal().snapshot()),
            _ => reply::engine_error(EngineErrorKind::UnknownPath),
        }
    }

    fn refuse(&self, fault: HttpFault) -> Response {
        reply::http_fault(fault)
    }
}
