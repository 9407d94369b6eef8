//! Client of the platform's table store.

use super::Clock;
use crate::connection::{Connection, ExchangeError, get};
use event_listener::Event;
use futures_lite::future;
use parking_lot::Mutex;
use quick_error::quick_error;
use radishpin_adapter::{
    DecodeError, Row, RowPage, Table, decode_rows, feed_path, header, rows_path,
};
use radishpin_core::process::{ResponseEra, StoreEras, StorePosition};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use std::{net::SocketAddr, sync::Arc};

/// Timeout of a call, on top of the wait that it requests from the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Replaces [`CALL_TIMEOUT`] after a call timed out, because the store may be slow rather than
/// unreachable. A connection that was opened before the store comes back from an outage may stay silent, so
/// this also bounds how long after its return the store is read again: less than the 3 s after which the
/// platform expects a process to know of new configurations.
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
        /// The store has come back from an older copy; the whole table must be read again.
        EraChanged {
            display("the store has come back from an older copy")
        }
        /// The response is of an earlier era of the store than another one before it.
        Late {
            display("the response is of an earlier era of the store")
        }
        /// The store moved to another address during the call.
        Moved {
            display("the address of the store has changed")
        }
        /// The response cannot be decoded.
        Unreadable(cause: DecodeError) {
            display("cannot decode the response: {cause}")
            source(cause)
            from()
        }
    }
}

/// Rows of a table, and how far they were read.
#[derive(Debug)]
pub(crate) struct StoreRead {
    /// Address of the store that was read.
    pub(crate) store: SocketAddr,
    pub(crate) rows: Vec<Row>,
    pub(crate) position: StorePosition,
    /// Time for which the store had waited in vain for changes; zero if there were some.
    pub(crate) waited: Duration,
}

/// Address of the platform's store, which the settings may change while the process runs.
#[derive(Debug)]
pub(crate) struct StoreAddress {
    current: Mutex<SocketAddr>,
    changed: Event,
}

impl StoreAddress {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            current: Mutex::new(address),
            changed: Event::new(),
        }
    }

    pub(crate) fn set(&self, address: SocketAddr) {
        *self.current.lock() = address;
        self.changed.notify(usize::MAX);
    }

    fn get(&self) -> SocketAddr {
        *self.current.lock()
    }

    /// Waits until the store is no longer at `address`.
    async fn moved_from(&self, address: SocketAddr) {
        loop {
            let changed = self.changed.listen();
            if self.get() != address {
                return;
            }
            changed.await;
        }
    }
}

/// Reads rows over a single connection that is reused between calls.
#[derive(Debug)]
pub(crate) struct StoreClient {
    runtime: Runtime,
    clock: Clock,
    address: Arc<StoreAddress>,
    /// Address that the last table was read from.
    read_from: SocketAddr,
    idle: Arc<Mutex<Option<(SocketAddr, Connection)>>>,
    /// Shared by all clients of a process.
    eras: Arc<Mutex<StoreEras>>,
    /// Whether the last call timed out.
    timed_out: bool,
}

impl StoreClient {
    pub(crate) fn new(runtime: Runtime, clock: Clock, address: Arc<StoreAddress>) -> Self {
        Self {
            runtime,
            clock,
            read_from: address.get(),
            address,
            idle: Arc::default(),
            eras: Arc::default(),
            timed_out: false,
        }
    }

    /// Another client of the same store, with a connection of its own.
    pub(crate) fn sibling(&self) -> Self {
        Self {
            eras: Arc::clone(&self.eras),
            ..Self::new(self.runtime.clone(), self.clock, Arc::clone(&self.address))
        }
    }

    /// Reads all rows of a table, page by page; the position is that of the first page. Fails if the store's
    /// era changes in between.
    pub(crate) async fn rows(&mut self, table: Table) -> Result<StoreRead, StoreError> {
        self.read_from = self.address.get();
        let (era, mut page) = self.call(&rows_path(table, None), Duration::ZERO).await?;
        let position = StorePosition {
            era: era.0,
            version: page.version,
        };
        while page.has_more {
            let last = page.rows.last().map(|row| row.key.clone());
            let path = rows_path(table, last.as_deref());
            let (next_era, next) = self.call(&path, Duration::ZERO).await?;
            if next_era != era {
                return Err(StoreError::EraChanged);
            }
            page.rows.extend(next.rows);
            page.has_more = next.has_more;
        }
        Ok(StoreRead {
            store: self.read_from,
            rows: page.rows,
            position,
            waited: Duration::ZERO,
        })
    }

    /// Reads the rows of a table that changed after a position; waits up to `wait` for the first change.
    /// After a call that timed out it does not wait, so that another silent connection is noticed sooner.
    /// After a change of the store's address the whole table must be read again, because the position may mean
    /// nothing there.
    pub(crate) async fn feed(
        &mut self,
        table: Table,
        after: StorePosition,
        wait: Duration,
    ) -> Result<StoreRead, StoreError> {
        if self.read_from != self.address.get() {
            return Err(StoreError::HistoryGone);
        }
        if self.eras.lock().current() != after.era {
            return Err(StoreError::EraChanged);
        }
        let wait = match self.timed_out {
            true => Duration::ZERO,
            false => wait,
        };
        let path = feed_path(table, after.version, wait);
        let (era, page) = self.call(&path, wait).await?;
        if era.0 != after.era {
            return Err(StoreError::EraChanged);
        }
        let position = StorePosition {
            version: page.version,
            ..after
        };
        let waited = match page.rows.is_empty() {
            true => wait,
            false => Duration::ZERO,
        };
        Ok(StoreRead {
            store: self.read_from,
            rows: page.rows,
            position,
            waited,
        })
    }

    async fn call(
        &mut self,
        path: &str,
        wait: Duration,
    ) -> Result<(ResponseEra, RowPage), StoreError> {
        let call_timeout = match self.timed_out {
            true => EXTENDED_CALL_TIMEOUT,
            false => CALL_TIMEOUT,
        };
        let moved = async {
            self.address.moved_from(self.read_from).await;
            Err(StoreError::Moved)
        };
        let exchange = future::or(moved, self.exchange(path));
        let result = timeout(wait + call_timeout, exchange)
            .await
            .unwrap_or(Err(StoreError::TimedOut));
        self.timed_out = matches!(result, Err(StoreError::TimedOut));
        result
    }

    async fn exchange(&self, path: &str) -> Result<(ResponseEra, RowPage), StoreError> {
        let known_before = self.eras.lock().current();
        // The connection is taken out while in use, so that an abandoned call closes it.
        let reusable = self.idle.lock().take();
        let address = self.read_from;
        let reusable = reusable.filter(|(opened_to, connection)| {
            *opened_to == address && connection.is_usable(self.clock.now())
        });
        let mut connection = match reusable {
            Some((_, connection)) => connection,
            None => Connection::open(&self.runtime, address).await?,
        };
        let response = get(&mut connection, address, path, RESPONSE_BYTES_MAX).await?;
        let stated = response.headers.get(header::STORE_ERA);
        let stated = stated.and_then(|value| header::parse_store_era(value.to_str().ok()?));
        let era = self.eras.lock().observe(stated, known_before);
        let era = era.ok_or(StoreError::Late)?;
        match response.status {
            200 => {}
            410 => return Err(StoreError::HistoryGone),
            status => return Err(StoreError::Refused(status)),
        }
        let page = decode_rows(&response.body)?;
        connection.keep(response.keep_alive, self.clock.now());
        *self.idle.lock() = Some((address, connection));
        Ok((era, page))
    }
}
