//! HTTP connections: to endpoints, sidecars and the store, and from callers.

mod client;
mod link;
mod origin_link;
mod pool;
mod reset;
mod server;

pub(crate) use client::{Connection, ExchangeError, get, keep_alive, post};
pub(crate) use link::run_link;
pub(crate) use origin_link::{ORIGINS_PATH, OriginJob, run_origin_link};
pub(crate) use pool::{Pool, PooledConnection};
pub(crate) use server::{ServerLimits, serve};
