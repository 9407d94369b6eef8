//! Reads the view: polls the heads, and lists the kinds of rows that have changed.
//!
//! Every commit of the view writes the head, and the head of each kind of row that it changes.
//! One listing of the heads therefore tells which kinds have changed; the others stand as they
//! were up to the version of that listing.
//!
//! Listings are made one after the other, so rows may change between them. Each listing states
//! the version of the table at which it was made; the rows are put together in a copy, and the
//! copy becomes the view only when every kind is known up to the newest version seen in a head
//! or any row. It is then exactly the table at that version: no kind can lack a row up to it,
//! and no row is newer.

use crate::{CallError, Listing, PlatformClient};
use parking_lot::Mutex;
use radishpin_protocol::{ClusterView, HEAD_KEY, HEAD_KIND_PREFIX, VIEW_PREFIXES, Version};
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
    /// Version up to which the heads are known.
    heads_known_to: Version,
    /// What is known of each kind of row.
    kinds: [Kind; VIEW_PREFIXES.len()],
    /// Newest version seen in a head or any row.
    newest: Version,
}

/// What is known of one kind of row.
#[derive(Clone, Copy, Debug)]
struct Kind {
    /// Version up to which its rows are known.
    known_to: Version,
    /// Version of its last change.
    changed_at: Version,
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

    /// Reads the heads, and the changed rows if there are any; returns the new view if there
    /// is one. Heads older than the view, from a platform that lags, are passed over.
    ///
    /// # Errors
    /// The platform did not answer; the view stands, and the next poll goes on where this one
    /// stopped.
    pub async fn poll(&mut self) -> Result<Option<Arc<ClusterView>>, CallError> {
        let current = self.handle.current();
        let mut staged = match self.staged.take() {
            Some(staged) => staged,
            None => {
                let heads = self.client.list(HEAD_KEY, current.version).await?;
                if heads.rows.is_empty() {
                    return Ok(None);
                }
                Staged::new(&current, heads)
            }
        };
        let caught_up = self.catch_up(&mut staged).await;
        if !matches!(caught_up, Ok(true)) {
            self.staged = Some(staged);
            return caught_up.map(|_| None);
        }
        let view = Arc::new(staged.into_view());
        self.handle.publish(Arc::clone(&view));
        Ok(Some(view))
    }

    /// Lists what is behind until nothing is; false where that takes too long.
    async fn catch_up(&self, staged: &mut Staged) -> Result<bool, CallError> {
        for round in 0..MAX_ROUNDS {
            for index in 0..VIEW_PREFIXES.len() {
                if staged.kinds[index].is_behind() {
                    self.list(staged, index).await?;
                    self.client.metrics().listing(round == 0);
                }
            }
            if staged.is_consistent() {
                return Ok(true);
            }
            let heads = self.client.list(HEAD_KEY, staged.heads_known_to).await?;
            staged.take_heads(heads);
        }
        Ok(staged.is_consistent())
    }

    async fn list(&self, staged: &mut Staged, index: usize) -> Result<(), CallError> {
        let prefix = VIEW_PREFIXES[index];
        let known_to = staged.kinds[index].known_to;
        let listing = self.client.list(prefix, known_to).await?;
        for listed in listing.rows {
            let row = listed.row;
            staged.newest = staged.newest.max(row.version);
            let value = row.value.as_deref();
            if let Err(error) = staged.view.apply_row(&listed.key, row.version, value) {
                log::error!("row_malformed error=\"{error}\"");
                self.client.metrics().row_malformed();
            }
        }
        staged.kinds[index].known_to = known_to.max(listing.version);
        Ok(())
    }
}

impl Staged {
    fn new(view: &ClusterView, heads: Listing) -> Self {
        let kind = Kind {
            known_to: view.version,
            // Without a view, all rows have to be listed.
            changed_at: u64::from(view.version == 0),
        };
        let mut staged = Self {
            heads_known_to: view.version,
            kinds: [kind; VIEW_PREFIXES.len()],
            newest: view.version,
            view: view.clone(),
        };
        staged.take_heads(heads);
        staged
    }

    /// Takes note of the heads that have changed.
    fn take_heads(&mut self, heads: Listing) {
        let mut newest_kind = 0;
        let mut newest_head = 0;
        for listed in heads.rows {
            let version = listed.row.version;
            self.newest = self.newest.max(version);
            if listed.key == HEAD_KEY {
                newest_head = version;
            } else if let Some(index) = kind_of_head(&listed.key) {
                newest_kind = newest_kind.max(version);
                self.kinds[index].changed_at = version;
            }
        }
        if newest_head > newest_kind {
            // Written by hand, without saying what has changed.
            for kind in &mut self.kinds {
                kind.changed_at = newest_head;
            }
        }
        self.heads_known_to = self.heads_known_to.max(heads.version);
        for kind in &mut self.kinds {
            if !kind.is_behind() {
                kind.known_to = kind.known_to.max(heads.version);
            }
        }
    }

    fn is_consistent(&self) -> bool {
        self.kinds.iter().all(|kind| kind.known_to >= self.newest)
    }

    fn into_view(self) -> ClusterView {
        ClusterView {
            version: self.newest,
            ..self.view
        }
    }
}

impl Kind {
    fn is_behind(&self) -> bool {
        self.known_to < self.changed_at
    }
}

fn kind_of_head(key: &str) -> Option<usize> {
    let kind = key.strip_prefix(HEAD_KIND_PREFIX)?;
    VIEW_PREFIXES
        .iter()
        .position(|prefix| prefix.strip_suffix('/') == Some(kind))
}
