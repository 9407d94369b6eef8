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

use crate::{CallError, ListedRow, Listing, PlatformClient};
use parking_lot::Mutex;
use radishpin_protocol::{
    ClusterView, HEAD_KEY, HEAD_KIND_PREFIX, RowError, VIEW_PREFIXES, Version,
};
use std::sync::Arc;

/// Rounds of listings in one poll; what is still behind then is listed by the next poll.
const MAX_ROUNDS: u32 = 8;

/// Rows up to which an earlier view is brought up to date rather than copied anew.
const MAX_MISSING_ROWS: usize = 1_000;

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
    previous: Option<PreviousView>,
}

/// A copy of the view with rows of versions that may not fit together yet.
#[derive(Debug)]
struct Staged {
    view: ClusterView,
    /// Version up to which the heads are known.
    heads_listed_version: Version,
    /// What is known of each kind of row.
    kinds: [KindVersions; VIEW_PREFIXES.len()],
    /// Newest version seen in a head or any row.
    newest_version: Version,
    /// Rows that were put into the copy.
    applied_rows: Vec<ListedRow>,
}

/// An earlier view, which becomes the next copy once nobody holds it any more: putting a few
/// rows into it costs far less than a copy of all rows.
#[derive(Debug)]
struct PreviousView {
    view: Arc<ClusterView>,
    /// Rows that lead from it to the present view.
    missing_rows: Vec<ListedRow>,
}

/// What is known of one kind of row.
#[derive(Clone, Copy, Debug)]
struct KindVersions {
    /// Version up to which its rows are known.
    listed_version: Version,
    /// Version of its last change.
    changed_version: Version,
}

impl ViewReader {
    /// A reader without a view.
    pub fn new(client: PlatformClient) -> Self {
        Self {
            client,
            handle: ViewHandle::default(),
            staged: None,
            previous: None,
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

    /// A copy of the present view, out of the spare one where nobody holds that.
    fn copy_view(&mut self, current: &ClusterView) -> ClusterView {
        let previous = self.previous.take();
        previous
            .and_then(|previous| previous.into_updated(current.version))
            .unwrap_or_else(|| current.clone())
    }

    /// Lists what is behind until nothing is; false where that takes too long.
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
            // Without a view, all rows have to be listed.
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

    /// Takes note of the heads that have changed.
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
            // Written by hand, without saying what has changed.
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

    /// The view, and the rows that led to it.
    fn into_view(self) -> (ClusterView, Vec<ListedRow>) {
        let view = ClusterView {
            version: self.newest_version,
            ..self.view
        };
        (view, self.applied_rows)
    }
}

impl PreviousView {
    /// Keeps an earlier view, unless so much has changed that a copy costs no more.
    fn new(view: Arc<ClusterView>, missing_rows: Vec<ListedRow>) -> Option<Self> {
        (missing_rows.len() <= MAX_MISSING_ROWS).then_some(Self { view, missing_rows })
    }

    /// The view with the rows that it missed; `None` where somebody holds it still.
    fn into_updated(self, version: Version) -> Option<ClusterView> {
        let mut view = Arc::try_unwrap(self.view).ok()?;
        for listed in &self.missing_rows {
            // A row that cannot be read was reported when it came, and is left out here too.
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
