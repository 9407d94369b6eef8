//! Interface of the external platform and its data types.

use quick_error::quick_error;
use radishpin_protocol::{AvailabilityZone, HostId, Version};
use serde::{Deserialize, Serialize};
use std::{future::Future, pin::Pin};

/// A boxed future; boxing keeps [`Platform`] usable as a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlatformError {
        /// The call was refused or never sent, so it had no effect.
        Unavailable(cause: String) {
            display("platform unavailable: {cause}; the call had no effect")
        }
        /// The call exceeded the rate limit and had no effect.
        RateLimited {
            display("platform rate limit reached; the call had no effect")
        }
        /// No usable response arrived; a write may have taken effect.
        Unknown(cause: String) {
            display("no answer from the platform: {cause}; the effect is unknown")
        }
    }
}

/// Current version and value of a row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Table version of the commit that last wrote the row; 0 if it was never written.
    pub version: Version,
    /// Value as JSON text; `None` if the row is absent or deleted.
    pub value: Option<String>,
}

/// A row in a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedRow {
    /// Full key, including the prefix that was listed.
    pub key: String,
    /// The row; deleted rows are listed without a value.
    pub row: Row,
}

/// Result of [`Platform::list`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// Version of the whole table at the time of the listing.
    pub version: Version,
    /// Rows, sorted by key.
    pub rows: Vec<ListedRow>,
}

/// A row version that a commit requires.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 requires that it was never written.
    pub version: Version,
}

/// A row that a commit writes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value as JSON text; `None` deletes the row.
    pub value: Option<String>,
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Commit {
    /// Versions that rows must have for the commit to be applied.
    pub conditions: Vec<Condition>,
    /// Rows that the commit writes or deletes.
    pub writes: Vec<Write>,
}

/// The platform's response to a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CommitOutcome {
    /// The commit was applied; every written row has this version.
    Committed(Version),
    /// A condition failed and nothing was written. Holds the key of the first failed condition
    /// and the current version of that row.
    Conflict(Condition),
}

/// Whether a host remains in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// No reclaim has been announced.
    Live,
    /// The platform will reclaim the host soon.
    Leaving,
}

/// An entry of the platform's host list, which may lag behind the actual hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// Id that the platform gives the host.
    pub host: HostId,
    /// Availability zone that the host runs in.
    pub availability_zone: AvailabilityZone,
    /// Whether the host is about to be reclaimed.
    pub state: HostState,
    /// Address of the node's peer listener; `None` if the host runs no node.
    pub peer_address: Option<String>,
}

/// Operations of the platform: table service, object store and host list.
pub trait Platform: Send + Sync + 'static {
    /// Reads a row; an absent row is returned with version 0 and no value.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Row, PlatformError>>;

    /// Writes rows atomically if all conditions hold.
    fn commit<'a>(
        &'a self,
        commit: &'a Commit,
    ) -> BoxFuture<'a, Result<CommitOutcome, PlatformError>>;

    /// Lists the rows under `prefix` that were written after version `since`, including deleted
    /// ones.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        since: Version,
    ) -> BoxFuture<'a, Result<Listing, PlatformError>>;

    /// Stores an object, overwriting an existing one with the same key.
    fn put_object<'a>(
        &'a self,
        key: &'a str,
        value: &'a [u8],
    ) -> BoxFuture<'a, Result<(), PlatformError>>;

    /// Reads an object; `None` if there is none with this key.
    fn get_object<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, PlatformError>>;

    /// Returns the host list, which may lag behind the actual hosts.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<HostEntry>, PlatformError>>;
}
