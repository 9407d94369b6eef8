//! The platform in memory: table service, object store and host list, with faults.

mod call;
mod faults;
mod http;
mod table;

pub use faults::{Counts, Faults, Outage, SecondCounts};

use crate::{clock::Clock, lagged::Lagged};
use call::{CallKind, Gate, Verdict};
use parking_lot::Mutex;
use radishpin_platform::{
    BoxFuture, Commit, CommitOutcome, HostEntry, Listing, Platform, PlatformError, Row,
};
use radishpin_protocol::Version;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use table::Table;

/// Handle to a platform in memory; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryPlatform {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    table: Mutex<Table>,
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
    hosts: Mutex<Lagged<Vec<HostEntry>>>,
    gate: Mutex<Gate>,
}

impl MemoryPlatform {
    /// An empty platform on the system's clock; `seed` decides the seeded faults.
    pub fn new(seed: u64) -> Self {
        Self::with_clock(Clock::system(), seed)
    }

    /// An empty platform whose rate limits and host list go by `clock`.
    pub fn with_clock(clock: Clock, seed: u64) -> Self {
        let gate = Gate::new(seed, clock.now());
        let shared = Shared {
            clock,
            table: Mutex::default(),
            objects: Mutex::default(),
            hosts: Mutex::new(Lagged::new(Vec::new())),
            gate: Mutex::new(gate),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        let now = self.shared.clock.now();
        self.shared.gate.lock().set_faults(faults, now);
    }

    /// Changes the faults in place.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        let now = self.shared.clock.now();
        let mut gate = self.shared.gate.lock();
        let mut faults = gate.faults();
        change(&mut faults);
        gate.set_faults(faults, now);
    }

    /// The faults that are left.
    pub fn faults(&self) -> Faults {
        self.shared.gate.lock().faults()
    }

    /// Calls so far.
    pub fn counts(&self) -> Counts {
        self.shared.gate.lock().counts()
    }

    /// Replaces the truth about hosts; [`Platform::hosts`] shows it after the lag.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        let now = self.shared.clock.now();
        self.shared.hosts.lock().set(now, hosts);
    }

    /// Writes a row past all faults and limits, for the set-up of a test.
    pub fn put_row(&self, key: &str, value: Option<&str>) -> Version {
        let mut table = self.shared.table.lock();
        table.put(key, value.map(str::to_owned))
    }

    /// Reads a row past all faults and limits.
    pub fn row(&self, key: &str) -> Row {
        self.shared.table.lock().get(key)
    }

    /// Rows and tombstones that the table holds.
    pub fn rows(&self) -> usize {
        self.shared.table.lock().len()
    }

    /// Runs one call: latency, then the verdict on it, then its effect.
    async fn call<T: Clone>(
        &self,
        kind: CallKind,
        effect: impl FnOnce(&Shared) -> T,
    ) -> Result<T, PlatformError> {
        let latency = self.shared.gate.lock().latency();
        if latency > Duration::ZERO {
            smol::Timer::after(latency).await;
        }
        let verdict = self.shared.gate.lock().judge(kind, self.shared.clock.now());
        match verdict {
            Verdict::Serve => Ok(effect(&self.shared)),
            Verdict::Refuse(error) => Err(error),
            Verdict::Silent => std::future::pending().await,
            Verdict::LoseRequest => Err(PlatformError::Unknown("request lost".into())),
            Verdict::LoseReply => {
                effect(&self.shared);
                Err(PlatformError::Unknown("reply lost".into()))
            }
        }
    }
}

impl Platform for MemoryPlatform {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Row, PlatformError>> {
        Box::pin(self.call(CallKind::Read, |shared| shared.table.lock().get(key)))
    }

    fn commit<'a>(
        &'a self,
        commit: &'a Commit,
    ) -> BoxFuture<'a, Result<CommitOutcome, PlatformError>> {
        Box::pin(self.call(CallKind::Commit, |shared| {
            shared.table.lock().commit(commit)
        }))
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        since: Version,
    ) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        Box::pin(self.call(CallKind::Read, move |shared| {
            shared.table.lock().list(prefix, since)
        }))
    }

    fn put_object<'a>(
        &'a self,
        key: &'a str,
        value: &'a [u8],
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        Box::pin(self.call(CallKind::Write, |shared| {
            shared.objects.lock().insert(key.to_owned(), value.to_vec());
        }))
    }

    fn get_object<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, PlatformError>> {
        Box::pin(self.call(CallKind::Read, |shared| {
            shared.objects.lock().get(key).cloned()
        }))
    }

    fn hosts(&self) -> BoxFuture<'_, Result<Vec<HostEntry>, PlatformError>> {
        Box::pin(async {
            let lag = self.faults().hosts_lag();
            self.call(CallKind::Read, |shared| {
                let now = shared.clock.now();
                shared.hosts.lock().read(now, lag).unwrap_or_default()
            })
            .await
        })
    }
}
