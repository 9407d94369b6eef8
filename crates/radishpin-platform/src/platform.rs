//! The platform as an outside system.

use quick_error::quick_error;
use radishpin_protocol::{AvailabilityZone, HostId, Version};
use serde::{Deserialize, Serialize};
use std::{future::Future, pin::Pin};

/// A boxed future, so that the edge can be a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlatformError {
        /// Refused or never sent: it had no effect.
        Unavailable(cause: String) {
            display("platform unavailable: {cause}; the call had no effect")
        }
        /// Over the rate limit: it had no effect.
        RateLimited {
            display("platform rate limit reached; the call had no effect")
        }
        /// No answer: a commit may have taken effect.
        Unknown(cause: String) {
            display("no answer from the platform: {cause}; the effect is unknown")
        }
    }
}

/// A row as it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Table version of the commit that wrote it; 0 where it was never written.
    pub version: Version,
    /// Value, JSON text; `None` where absent or deleted.
    pub value: Option<String>,
}

/// A row in a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedRow {
    /// Key.
    pub key: String,
    /// The row; deleted rows are listed without a value.
    pub row: Row,
}

/// Rows under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// Version of the whole table when the listing was made.
    pub version: Version,
    /// Rows in order of key.
    pub rows: Vec<ListedRow>,
}

/// A row that a commit depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Condition {
    /// Key.
    pub key: String,
    /// Version that the row must still have; 0 for never written.
    pub version: Version,
}

/// A row that a commit writes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// Key.
    pub key: String,
    /// New value; `None` deletes.
    pub value: Option<String>,
}

/// Writes that take effect together, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Commit {
    /// Rows that must be unchanged.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub writes: Vec<Write>,
}

/// What became of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CommitOutcome {
    /// It took effect; every written row has this version.
    Committed(Version),
    /// A condition failed; nothing was written. Holds the first key that failed and its
    /// present version.
    Conflict(Condition),
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// To be reclaimed soon.
    Leaving,
}

/// An entry of the platform's host list, which lags behind the truth.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Whether it stays.
    pub state: HostState,
    /// Address of the node's peer listener, where the host runs a node.
    pub peer_address: Option<String>,
}

/// The platform's services.
pub trait Platform: Send + Sync + 'static {
    /// Reads a row.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Row, PlatformError>>;

    /// Writes rows together if all conditions hold.
    fn commit<'a>(
        &'a self,
        commit: &'a Commit,
    ) -> BoxFuture<'a, Result<CommitOutcome, PlatformError>>;

    /// Lists the rows under `prefix` written after version `since`, deleted ones too.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        since: Version,
    ) -> BoxFuture<'a, Result<Listing, PlatformError>>;

    /// Stores an object; the same key again overwrites.
    fn put_object<'a>(
        &'a self,
        key: &'a str,
        value: &'a [u8],
    ) -> BoxFuture<'a, Result<(), PlatformError>>;

    /// Reads an object.
    fn get_object<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, PlatformError>>;

    /// The list of hosts.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<HostEntry>, PlatformError>>;
}
