//! Reads the view: polls the head row, and lists the changed rows when it has moved.
//!
//! Listings are made one after the other, so rows may change between them. Each listing states
//! the version of the table at which it was made; the rows are put together in a copy, and the
//! copy becomes the view only when every prefix was listed at or after the newest version seen
//! in the head or any row. It is then exactly the table at that version: no listing can lack a
//! row up to it, and no row is newer.

use crate::{CallError, PlatformClient};
use parking_lot::Mutex;
use radishpin_protocol::{ClusterView, HEAD_KEY, VIEW_PREFIXES, Version};
use std::sync::Arc;

/// Rounds of listings in one poll; what is still behind then is listed by the next poll.
const MAX_ROUNDS: u32 = 8;

/// The latest view; clones share it.
#[derive(Clone, Debug, Default)]
pub struct ViewHandle {
    view: Arc<Mutex<Arc<ClusterView>>>,
}

impl ViewHandle {
    /// The latest view; version 0 until one was read.
    pub fn current(&self) -> Arc<ClusterView> {
        Arc::clone(&self.view.lock())
    }

    /// Swaps the view in unless it is older than the present one.
    fn publish(&self, view: Arc<ClusterView>) {
        let mut current = self.view.lock();
        if view.version > current.version {
            *current = view;
        }
    }
}

/// Reads the view for one process.
#[derive(Debug)]
pub struct ViewReader {
    client: PlatformClient,
    handle: ViewHandle,
    staged: Option<Staged>,
}

/// A copy of the view with rows of versions that may not fit together yet.
#[derive(Debug)]
struct Staged {
    view: ClusterView,
    /// Version up to which each prefix was listed.
    listed_to: [Version; VIEW_PREFIXES.len()],
    /// Newest version seen in the head or any row.
    newest: Version,
}

impl ViewReader {
    /// A reader without a view.
    pub fn new(client: PlatformClient) -> Self {
        Self {
            client,
            handle: ViewHandle::default(),
            staged: None,
        }
    }

    /// The view for other parts of the process.
    pub fn handle(&self) -> ViewHandle {
        self.handle.clone()
    }

    /// Reads the head, and the changed rows if it has moved; returns the new view if there is
    /// one. A head older than the view, from a platform that lags, is passed over.
    ///
    /// # Errors
    /// The platform did not answer; the view stands, and the next poll goes on where this one
    /// stopped.
    pub async fn poll(&mut self) -> Result<Option<Arc<ClusterView>>, CallError> {
        let head = self.client.get(HEAD_KEY).await?.version;
        let current = self.handle.current();
        if head <= current.version {
            return Ok(None);
        }
        let mut staged = match self.staged.take() {
            Some(staged) => staged,
            None => Staged::from_view(&current),
        };
        staged.newest = staged.newest.max(head);
        let caught_up = self.catch_up(&mut staged).await;
        if !matches!(caught_up, Ok(true)) {
            self.staged = Some(staged);
            return caught_up.map(|_| None);
        }
        let view = Arc::new(staged.into_view());
        self.handle.publish(Arc::clone(&view));
        Ok(Some(view))
    }

    /// Lists the prefixes that are behind until none is; false where that takes too long.
    async fn catch_up(&self, staged: &mut Staged) -> Result<bool, CallError> {
        for round in 0..MAX_ROUNDS {
            if staged.is_consistent() {
                return Ok(true);
            }
            for index in 0..VIEW_PREFIXES.len() {
                if staged.listed_to[index] < staged.newest {
                    self.list(staged, index).await?;
                    self.client.metrics().listing(round == 0);
                }
            }
        }
        Ok(staged.is_consistent())
    }

    async fn list(&self, staged: &mut Staged, index: usize) -> Result<(), CallError> {
        let prefix = VIEW_PREFIXES[index];
        let listing = self.client.list(prefix, staged.listed_to[index]).await?;
        for listed in listing.rows {
            let row = listed.row;
            staged.newest = staged.newest.max(row.version);
            let value = row.value.as_deref();
            if let Err(error) = staged.view.apply_row(&listed.key, row.version, value) {
                log::error!("row_malformed error=\"{error}\"");
                self.client.metrics().row_malformed();
            }
        }
        staged.listed_to[index] = staged.listed_to[index].max(listing.version);
        Ok(())
    }
}

impl Staged {
    fn from_view(view: &ClusterView) -> Self {
        Self {
            listed_to: [view.version; VIEW_PREFIXES.len()],
            newest: view.version,
            view: view.clone(),
        }
    }

    fn is_consistent(&self) -> bool {
        self.listed_to
            .iter()
            .all(|listed_to| *listed_to >= self.newest)
    }

    fn into_view(self) -> ClusterView {
        ClusterView {
            version: self.newest,
            ..self.view
        }
    }
}
