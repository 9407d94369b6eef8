//! What the stand-ins' journals say about the answers.

use super::{
    fetch::get,
    recorder::{Claims, KeyClaim},
};
use crate::CommandError;
use radishpin_http::Client;
use radishpin_standin::{JournalSnapshot, Run};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Path of a stand-in's journal.
const JOURNAL_PATH: &str = "/journal";
/// Time in which a request that was answered "not run" would still start, if it wrongly could.
const SETTLE: Duration = Duration::from_secs(1);
/// Most requests that are named.
const NAMED: usize = 8;

/// What really ran, against what the answers said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub(super) struct Truth {
    /// Runs in all journals.
    pub(super) runs: u64,
    /// Runs that the journals did not keep, and that could not be checked.
    pub(super) runs_not_kept: u64,
    /// Keys whose call ran more than once.
    pub(super) run_twice: u64,
    /// Requests and keys that were answered "not run" and ran.
    pub(super) not_run_but_run: u64,
    /// Keys that were answered whole and have no run.
    pub(super) answered_but_not_run: u64,
    /// Load orders beyond an engine's memory.
    pub(super) overcommits: u64,
    /// Some of the requests and keys concerned.
    pub(super) examples: Vec<String>,
}

impl Truth {
    /// Reads the journals and checks the claims.
    ///
    /// # Errors
    /// A journal cannot be read.
    pub(super) async fn read(
        client: &Client,
        journals: &[SocketAddr],
        claims: &Claims,
    ) -> Result<Self, CommandError> {
        smol::Timer::after(SETTLE).await;
        let mut snapshots = Vec::new();
        for address in journals {
            snapshots.push(get(client, *address, JOURNAL_PATH).await?);
        }
        Ok(Self::check(&snapshots, claims))
    }

    /// Checks the claims against journals.
    pub(super) fn check(snapshots: &[JournalSnapshot], claims: &Claims) -> Self {
        let runs: Vec<&Run> = snapshots.iter().flat_map(|s| &s.runs).collect();
        let runs_of_keys = runs_of_keys(&runs);
        let mut truth = Self {
            runs: runs.len() as u64,
            runs_not_kept: snapshots.iter().map(|s| s.runs_not_kept).sum(),
            overcommits: snapshots.iter().map(|s| s.overcommits.len() as u64).sum(),
            ..Self::default()
        };
        for (key, count) in &runs_of_keys {
            if *count > 1 {
                truth.run_twice += 1;
                truth.name(format!("key {key} ran {count} times"));
            }
        }
        for run in &runs {
            if let Some(answer) = denial(run, claims) {
                truth.not_run_but_run += 1;
                truth.name(format!(
                    "request {} was answered {answer}, and attempt {} of {} ran: {:?}",
                    run.request_id, run.attempt, run.model, run.end
                ));
            }
        }
        for (key, claim) in &claims.keys {
            if *claim == KeyClaim::Whole && !runs_of_keys.contains_key(key.as_str()) {
                truth.answered_but_not_run += 1;
                truth.name(format!("key {key} did not run"));
            }
        }
        truth
    }

    fn name(&mut self, example: String) {
        if self.examples.len() < NAMED {
            self.examples.push(example);
        }
    }
}

/// The answer that says that this run did not happen, if there is one.
fn denial<'a>(run: &Run, claims: &'a Claims) -> Option<&'a str> {
    let key = run.idempotency_key.as_ref();
    let claim = key.and_then(|key| claims.keys.get(key));
    match claims.not_run.get(&run.request_id) {
        Some(name) => Some(name),
        None => (claim == Some(&KeyClaim::NotRun)).then_some("not run"),
    }
}

fn runs_of_keys<'a>(runs: &[&'a Run]) -> BTreeMap<&'a str, u64> {
    let mut counts = BTreeMap::new();
    for key in runs.iter().filter_map(|run| run.idempotency_key.as_deref()) {
        *counts.entry(key).or_default() += 1;
    }
    counts
}
