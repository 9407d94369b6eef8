//! The client of the platform's store.

use super::Clock;
use crate::connection::{Connection, ExchangeError, get};
use parking_lot::Mutex;
use quick_error::quick_error;
use radishpin_adapter::{DecodeError, RowPage, Table, decode_rows, feed_path, rows_path};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use std::{net::SocketAddr, sync::Arc};

/// Time that a call may take beyond the wait that it asks for.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time that a call may take after one that failed: the store may be slow, and not away.
const PATIENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Bytes of an answer at most.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

quick_error! {
    /// Why a call to the store brought nothing.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum StoreError {
        /// The call failed on its way.
        Exchange(cause: ExchangeError) {
            display("{cause}")
            source(cause)
            from()
        }
        /// No answer in time.
        TimedOut {
            display("no answer in time")
        }
        /// The store refused the call.
        Refused(status: u16) {
            display("the store answered {status}")
        }
        /// The store no longer has the history that a feed asks for.
        HistoryGone {
            display("the store no longer has the history asked for")
        }
        /// The answer cannot be read.
        Unreadable(cause: DecodeError) {
            display("answer cannot be read: {cause}")
            source(cause)
            from()
        }
    }
}

/// Reads rows over one kept connection.
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

    /// All rows of a table.
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

    /// Rows of a table that changed after a version; waits for the first of them.
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
            Err(StoreError::TimedOut) => PATIENT_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        result
    }

    async fn exchange(&self, path: &str) -> Result<RowPage, StoreError> {
        // Taken out while in use: a call that is given up closes its connection.
        let kept = self.idle.lock().take();
        let kept = kept.filter(|connection| connection.is_usable(self.clock.now()));
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(&self.runtime, self.address).await?,
        };
        let answer = get(&mut connection, self.address, path, ANSWER_BYTES_MAX).await?;
        match answer.status {
            200 => {}
            410 => return Err(StoreError::HistoryGone),
            status => return Err(StoreError::Refused(status)),
        }
        let page = decode_rows(&answer.body)?;
        connection.keep(answer.keep_alive, self.clock.now());
        *self.idle.lock() = Some(connection);
        Ok(page)
    }
}
