//! Reads the view: polls the head rows, and lists the kinds of rows that have changed.
//!
//! Every commit of the view writes the head row, and the head row of each kind of row that it
//! changes. One listing of the head rows therefore shows which kinds have changed; the other
//! kinds are unchanged up to the version of that listing.
//!
//! Listings are made one after the other, so rows may change between them. Each listing states
//! the version of the table at which it was made. The rows are applied to a copy of the view,
//! and the copy is published only when every kind was listed up to the newest version seen in a
//! head row or any other row. It then equals the table at that version: no kind lacks a row up
//! to it, and no row is newer.

use crate::{CallError, ListedRow, Listing, PlatformClient};
use parking_lot::Mutex;
use radishpin_protocol::{
    ClusterView, HEAD_KEY, HEAD_KIND_PREFIX, RowError, VIEW_PREFIXES, Version,
};
use std::sync::Arc;

/// Maximum rounds of listings in one poll; kinds that are still behind are listed by the next
/// poll.
const MAX_ROUNDS: u32 = 8;

/// Maximum number of changed rows for which the previous view is updated; with more of them,
/// copying the whole current view costs no more.
const MAX_MISSING_ROWS: usize = 1_000;

/// Shared access to the latest view; clones refer to the same view.
#[derive(Clone, Debug, Default)]
pub struct ViewHandle {
    view: Arc<Mutex<Arc<ClusterView>>>,
}

impl ViewHandle {
    /// Returns the latest view; an empty one of version 0 until the first was read.
    pub fn current(&self) -> Arc<ClusterView> {
        Arc::clone(&self.view.lock())
    }

    /// Replaces the view if `view` is newer than it.
    fn publish(&self, view: Arc<ClusterView>) {
        let mut current = self.view.lock();
        if view.version > current.version {
            *current = view;
        }
    }
}

/// Polls the view for one process and publishes it through a [`ViewHandle`].
#[derive(Debug)]
pub struct ViewReader {
    client: PlatformClient,
    handle: ViewHandle,
    staged: Option<Staged>,
    previous: Option<PreviousView>,
}

/// A copy of the view under construction, whose rows may be of different table versions.
#[derive(Debug)]
struct Staged {
    view: ClusterView,
    /// Version up to which the head rows were listed.
    heads_listed_version: Version,
    /// Versions of each kind of row, in the order of `VIEW_PREFIXES`.
    kinds: [KindVersions; VIEW_PREFIXES.len()],
    /// Newest version seen in a head row or any other row.
    newest_version: Version,
    /// Rows applied to the copy, in this order.
    applied_rows: Vec<ListedRow>,
}

/// The view before the current one. It is updated and reused as the next copy if nothing else
/// refers to it: applying a few rows costs far less than copying all rows.
#[derive(Debug)]
struct PreviousView {
    view: Arc<ClusterView>,
    /// Rows that turn it into the current view.
    missing_rows: Vec<ListedRow>,
}

/// Versions of one kind of row; the kind is behind while `listed_version` is the lower one.
#[derive(Clone, Copy, Debug)]
struct KindVersions {
    /// Version up to which its rows were listed.
    listed_version: Version,
    /// Version of its last known change.
    changed_version: Version,
}

impl ViewReader {
    /// Creates a reader whose view is empty until the first poll.
    pub fn new(client: PlatformClient) -> Self {
        Self {
            client,
            handle: ViewHandle::default(),
            staged: None,
            previous: None,
        }
    }

    /// Returns a handle through which other parts of the process read the view.
    pub fn handle(&self) -> ViewHandle {
        self.handle.clone()
    }

    /// Lists the head rows, and the changed rows if there are any; returns the new view, or `None`
    /// if nothing changed or some kinds are still behind.
    ///
    /// Head rows that are older than the view, from a replica of the platform that lags, are not
    /// listed and change nothing.
    ///
    /// # Errors
    /// Fails if the platform does not respond. The view remains as it is, and the next poll
    /// continues where this one stopped.
    pub async fn poll(&mut self) -> Result<Option<Arc<ClusterView>>, CallError> {
        let current = self.handle.current();
        let mut staged = match self.staged.take() {
            Some(staged) => staged,
            None => {
                let heads = self.client.list(HEAD_KEY, current.version).await?;
                if heads.rows.is_empty() {
                    return Ok(None);
                }
                Staged::new(self.copy_view(&current), heads)
            }
        };
        let caught_up = self.catch_up(&mut staged).await;
        if !matches!(caught_up, Ok(true)) {
            self.staged = Some(staged);
            return caught_up.map(|_| None);
        }
        let (view, applied_rows) = staged.into_view();
        let view = Arc::new(view);
        self.handle.publish(Arc::clone(&view));
        self.previous = PreviousView::new(current, applied_rows);
        Ok(Some(view))
    }

    /// Copies the current view, reusing the previous one if nothing else refers to it.
    fn copy_view(&mut self, current: &ClusterView) -> ClusterView {
        let previous = self.previous.take();
        previous
            .and_then(|previous| previous.into_updated(current.version))
            .unwrap_or_else(|| current.clone())
    }

    /// Lists the kinds that are behind until the copy is consistent; returns false if it is not
    /// after [`MAX_ROUNDS`] rounds.
    async fn catch_up(&self, staged: &mut Staged) -> Result<bool, CallError> {
        for round in 0..MAX_ROUNDS {
            for index in 0..VIEW_PREFIXES.len() {
                if staged.kinds[index].is_behind() {
                    self.list_kind(staged, index).await?;
                    self.client.metrics().record_listing(round == 0);
                }
            }
            if staged.is_consistent() {
                return Ok(true);
            }
            let heads = self
                .client
                .list(HEAD_KEY, staged.heads_listed_version)
                .await?;
            staged.apply_heads(heads);
        }
        Ok(staged.is_consistent())
    }

    async fn list_kind(&self, staged: &mut Staged, index: usize) -> Result<(), CallError> {
        let prefix = VIEW_PREFIXES[index];
        let listed_version = staged.kinds[index].listed_version;
        let listing = self.client.list(prefix, listed_version).await?;
        for listed in listing.rows {
            staged.newest_version = staged.newest_version.max(listed.row.version);
            if let Err(error) = apply_row(&mut staged.view, &listed) {
                log::error!("row_malformed error=\"{error}\"");
                self.client.metrics().record_malformed_row();
            }
            staged.applied_rows.push(listed);
        }
        staged.kinds[index].listed_version = listed_version.max(listing.version);
        Ok(())
    }
}

impl Staged {
    fn new(view: ClusterView, heads: Listing) -> Self {
        let kind = KindVersions {
            listed_version: view.version,
            // Without a view, every kind counts as changed, so that all rows are listed.
            changed_version: u64::from(view.version == 0),
        };
        let mut staged = Self {
            heads_listed_version: view.version,
            kinds: [kind; VIEW_PREFIXES.len()],
            newest_version: view.version,
            view,
            applied_rows: Vec::new(),
        };
        staged.apply_heads(heads);
        staged
    }

    /// Records which kinds have changed according to a listing of the head rows.
    fn apply_heads(&mut self, heads: Listing) {
        let mut newest_kind_head = 0;
        let mut newest_head = 0;
        for listed in heads.rows {
            let version = listed.row.version;
            self.newest_version = self.newest_version.max(version);
            if listed.key == HEAD_KEY {
                newest_head = version;
            } else if let Some(index) = kind_index_of_head(&listed.key) {
                newest_kind_head = newest_kind_head.max(version);
                self.kinds[index].changed_version = version;
            }
        }
        if newest_head > newest_kind_head {
            // The head was written without the head of a kind, for example by hand, so any kind
            // may have changed.
            for kind in &mut self.kinds {
                kind.changed_version = newest_head;
            }
        }
        self.heads_listed_version = self.heads_listed_version.max(heads.version);
        for kind in &mut self.kinds {
            if !kind.is_behind() {
                kind.listed_version = kind.listed_version.max(heads.version);
            }
        }
    }

    fn is_consistent(&self) -> bool {
        self.kinds
            .iter()
            .all(|kind| kind.listed_version >= self.newest_version)
    }

    /// Returns the finished view and the rows that were applied to it.
    fn into_view(self) -> (ClusterView, Vec<ListedRow>) {
        let view = ClusterView {
            version: self.newest_version,
            ..self.view
        };
        (view, self.applied_rows)
    }
}

impl PreviousView {
    /// Keeps the previous view unless more than [`MAX_MISSING_ROWS`] rows have changed since.
    fn new(view: Arc<ClusterView>, missing_rows: Vec<ListedRow>) -> Option<Self> {
        (missing_rows.len() <= MAX_MISSING_ROWS).then_some(Self { view, missing_rows })
    }

    /// Applies the missing rows; returns `None` if something else still refers to the view.
    fn into_updated(self, version: Version) -> Option<ClusterView> {
        let mut view = Arc::try_unwrap(self.view).ok()?;
        for listed in &self.missing_rows {
            // A malformed row was logged when it was first applied, and is skipped here too.
            let _ = apply_row(&mut view, listed);
        }
        view.version = version;
        Some(view)
    }
}

fn apply_row(view: &mut ClusterView, listed: &ListedRow) -> Result<(), RowError> {
    let row = &listed.row;
    view.apply_row(&listed.key, row.version, row.value.as_deref())
}

impl KindVersions {
    fn is_behind(&self) -> bool {
        self.listed_version < self.changed_version
    }
}

fn kind_index_of_head(key: &str) -> Option<usize> {
    let kind = key.strip_prefix(HEAD_KIND_PREFIX)?;
    VIEW_PREFIXES
        .iter()
        .position(|prefix| prefix.strip_suffix('/') == Some(kind))
}
