//! HTTP connections: to endpoints, sidecars and the store, and from callers.

mod body_budget;
mod caller_stream;
mod client;
mod closed_log;
mod fair_stream;
mod head;
mod link;
mod pieces;
mod pool;
mod registry;
mod relay_link;
mod reset;
mod server;
mod shared_link;
mod tracked_body;

pub(crate) use body_budget::{BodyBudget, BodyError, BufferedBody};
pub(crate) use client::{CONNECT_TIMEOUT, Connection, ExchangeError, get, keep_alive, post};
pub(crate) use link::{run_demand_link, run_link};
pub(crate) use pieces::PIECE_BYTES_MAX;
pub(crate) use pool::{Pool, PooledConnection};
pub(crate) use registry::{ConnectionRegistry, ListenerKind};
pub(crate) use relay_link::{RELAY_PATH, run_relay_link};
pub(crate) use server::{DiscardRest, ServerLimits, serve};
pub(crate) use shared_link::{
    SHARED_BYTES_MAX, SHARED_STATE_PATH, SharedJob, exchange_shared, run_shared_link,
};
