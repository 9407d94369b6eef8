//! Client of the platform's table store.

use super::Clock;
use crate::connection::{Connection, ExchangeError, get};
use parking_lot::Mutex;
use quick_error::quick_error;
use radishpin_adapter::{DecodeError, RowPage, Table, decode_rows, feed_path, rows_path};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use std::{net::SocketAddr, sync::Arc};

/// Timeout of a call, on top of the wait that it requests from the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Replaces [`CALL_TIMEOUT`] after a call timed out, because the store may be slow rather than
/// unreachable.
const EXTENDED_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Largest accepted response body, in bytes.
const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;

quick_error! {
    /// Why a call to the store failed.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum StoreError {
        /// The connection failed, or the response was cut off or too large.
        Exchange(cause: ExchangeError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// The store did not respond within the timeout.
        TimedOut {
            display("no answer in time")
        }
        /// The store responded with an error status.
        Refused(status: u16) {
            display("the store responded with status {status}")
        }
        /// The store has discarded the changes that a feed asks for; the whole table must be read again.
        HistoryGone {
            display("the store no longer has the requested history")
        }
        /// The response cannot be decoded.
        Unreadable(cause: DecodeError) {
            display("cannot decode the response: {cause}")
            source(cause)
            from()
        }
    }
}

/// Reads rows over a single connection that is reused between calls.
#[derive(Debug)]
pub(crate) struct StoreClient {
    runtime: Runtime,
    clock: Clock,
    address: SocketAddr,
    idle: Arc<Mutex<Option<Connection>>>,
    call_timeout: Duration,
}

impl StoreClient {
    pub(crate) fn new(runtime: Runtime, clock: Clock, address: SocketAddr) -> Self {
        Self {
            runtime,
            clock,
            address,
            idle: Arc::default(),
            call_timeout: CALL_TIMEOUT,
        }
    }

    /// Reads all rows of a table, page by page; the version is that of the first page.
    pub(crate) async fn rows(&mut self, table: Table) -> Result<RowPage, StoreError> {
        let mut page = self.call(&rows_path(table, None), Duration::ZERO).await?;
        while page.has_more {
            let last = page.rows.last().map(|row| row.key.clone());
            let path = rows_path(table, last.as_deref());
            let next = self.call(&path, Duration::ZERO).await?;
            page.rows.extend(next.rows);
            page.has_more = next.has_more;
        }
        Ok(page)
    }

    /// Reads the rows of a table that changed after a version; waits up to `wait` for the first
    /// change.
    pub(crate) async fn feed(
        &mut self,
        table: Table,
        after: Version,
        wait: Duration,
    ) -> Result<RowPage, StoreError> {
        self.call(&feed_path(table, after, wait), wait).await
    }

    async fn call(&mut self, path: &str, wait: Duration) -> Result<RowPage, StoreError> {
        let limit = wait + self.call_timeout;
        let result = timeout(limit, self.exchange(path))
            .await
            .unwrap_or(Err(StoreError::TimedOut));
        self.call_timeout = match &result {
            Err(StoreError::TimedOut) => EXTENDED_CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        result
    }

    async fn exchange(&self, path: &str) -> Result<RowPage, StoreError> {
        // The connection is taken out while in use, so that an abandoned call closes it.
        let reusable = self.idle.lock().take();
        let reusable = reusable.filter(|connection| connection.is_usable(self.clock.now()));
        let mut connection = match reusable {
            Some(connection) => connection,
            None => Connection::open(&self.runtime, self.address).await?,
        };
        let response = get(&mut connection, self.address, path, RESPONSE_BYTES_MAX).await?;
        match response.status {
            200 => {}
            410 => return Err(StoreError::HistoryGone),
            status => return Err(StoreError::Refused(status)),
        }
        let page = decode_rows(&response.body)?;
        connection.keep(response.keep_alive, self.clock.now());
        *self.idle.lock() = Some(connection);
        Ok(page)
    }
}
