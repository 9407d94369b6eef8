//! Link between a gateway and the relay of one group of engines.

use super::{Connection, post};
use crate::process::Gateway;
use parking_lot::Mutex;
use radishpin_core::process::{
    GatewayReport, Group, LinkLoss, RELAYS, REPORT_INTERVAL, RelayAnswer, RelayPoll, RelayedState,
};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use std::{net::SocketAddr, sync::Arc};

/// Path at which a sidecar takes polls as a relay.
pub(crate) const RELAY_PATH: &str = "/relay";
/// Time after which a relay responds even without a change.
const POLL_WAIT: Duration = Duration::from_millis(600);
/// Longest time for a poll in addition to its wait for a change.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two polls, so that one answer contains the changes of many engines.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after all candidates for the relay failed.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);
/// Relays of a group that fail one after the other before its engines count as silent.
const SILENT_AFTER_RELAYS: usize = 2;
/// Time after which the first choice of a relay is tried again.
const PREFERENCE_INTERVAL: Duration = Duration::from_secs(10);
/// Largest answer that is read, in bytes.
const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Follows the engines of a group at its relay until the future is dropped.
pub(crate) async fn run_relay_link(gateway: Arc<Gateway>, group: Arc<Mutex<Group>>) {
    let mut link = RelayLink {
        gateway,
        group,
        connection: None,
        failed_candidates: 0,
        failed_at: Duration::ZERO,
        followed: Group::default(),
        poll: RelayPoll::default(),
        reports: BTreeMap::new(),
    };
    loop {
        let answered = link.poll_once().await;
        let pause = match answered {
            true => POLL_INTERVAL,
            false => link.fail_over(),
        };
        Runtime::sleep(pause).await;
    }
}

/// The last report about an engine.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    sent_at: Duration,
    /// Incarnation and version of the status that it acknowledged.
    acknowledged: (Incarnation, u64),
}

struct RelayLink {
    gateway: Arc<Gateway>,
    group: Arc<Mutex<Group>>,
    connection: Option<Connection>,
    /// Candidates that failed since the first choice was last tried.
    failed_candidates: usize,
    failed_at: Duration,
    followed: Group,
    poll: RelayPoll,
    reports: BTreeMap<SocketAddr, LastReport>,
}

impl RelayLink {
    /// Polls the relay; returns whether it answered.
    async fn poll_once(&mut self) -> bool {
        self.take_group();
        let now = self.gateway.clock.now();
        if self.failed_candidates > 0 && now.saturating_sub(self.failed_at) >= PREFERENCE_INTERVAL {
            self.use_candidate(0);
        }
        let Some(relay) = self.relay() else {
            return false;
        };
        self.poll.reports = self.due_reports(now);
        self.poll.unknown = self.unknown_members();
        let answer = timeout(POLL_WAIT + POLL_TIMEOUT, self.call(relay)).await;
        match answer {
            Some(Ok(answer)) => {
                self.apply(answer);
                true
            }
            Some(Err(cause)) => {
                log::debug!(event = "relay_failed", relay:% = relay, cause:% = cause; "the relay of a group of engines does not answer");
                false
            }
            None => false,
        }
    }

    /// Takes over changes of the group. A relay sends only what changed since its last answer, so it is asked for
    /// all if there are other members.
    fn take_group(&mut self) {
        let group = self.group.lock().clone();
        if group != self.followed {
            self.poll.seen_incarnation = 0;
            self.poll.members = group.members.keys().copied().collect();
            self.reports
                .retain(|sidecar, _| group.members.contains_key(sidecar));
            self.followed = group;
        }
    }

    /// The relay: gateways spread over the first candidates.
    fn relay(&self) -> Option<SocketAddr> {
        let candidates = &self.followed.candidates;
        let first = self.gateway.relay_preference() % RELAYS;
        let position = (first + self.failed_candidates).checked_rem(candidates.len())?;
        candidates.get(position).copied()
    }

    fn use_candidate(&mut self, failed_candidates: usize) {
        self.failed_candidates = failed_candidates;
        self.connection = None;
        self.poll.seen_incarnation = 0;
        self.reports.clear();
    }

    /// Goes on to the next candidate; returns the pause before it is tried. The engines of the group count
    /// as silent until one answers, unless only the first one failed.
    fn fail_over(&mut self) -> Duration {
        let failed = self.failed_candidates + 1;
        self.failed_at = self.gateway.clock.now();
        log::info!(event = "relay_lost", relay:? = self.relay(), failed = failed; "the relay of a group of engines is lost");
        let are_all_lost = failed >= self.followed.candidates.len();
        if failed >= SILENT_AFTER_RELAYS || are_all_lost {
            for id in self.followed.members.values() {
                self.gateway.link_lost(id, LinkLoss::TimedOut);
            }
        }
        if are_all_lost {
            self.use_candidate(0);
            return RETRY_BACKOFF;
        }
        self.use_candidate(failed);
        Duration::ZERO
    }

    /// Reports to engines that this gateway has not reported to for a while, or whose status it has to
    /// acknowledge.
    fn due_reports(&mut self, now: Duration) -> Vec<(SocketAddr, GatewayReport)> {
        let mut due = Vec::new();
        for (sidecar, id) in &self.followed.members {
            let seen = self.gateway.seen_status(id);
            let last = self.reports.get(sidecar);
            let is_due = last.is_none_or(|last| {
                last.acknowledged != seen || now.saturating_sub(last.sent_at) >= REPORT_INTERVAL
            });
            if is_due || self.gateway.has_leaving_model(id) {
                due.push((*sidecar, self.gateway.next_report(id)));
                let report = LastReport {
                    sent_at: now,
                    acknowledged: seen,
                };
                self.reports.insert(*sidecar, report);
            }
        }
        due
    }

    /// Members whose status this gateway lacks. It drops the one of an engine that restarted by the list, also
    /// if the relay told of the new process before.
    fn unknown_members(&self) -> BTreeSet<SocketAddr> {
        let fleet = self.gateway.fleet.lock();
        let members = self.followed.members.iter();
        let unknown = members.filter(|(_, id)| fleet.lacks_status(id));
        unknown.map(|(sidecar, _)| *sidecar).collect()
    }

    async fn call(
        &mut self,
        relay: SocketAddr,
    ) -> Result<RelayAnswer, Box<dyn std::error::Error + Send + Sync>> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(&self.gateway.runtime, relay).await?,
        };
        let path = format!("{RELAY_PATH}?wait_ms={}", POLL_WAIT.as_millis());
        let body = serde_json::to_vec(&self.poll)?;
        let response = post(&mut connection, relay, &path, &[], body, ANSWER_BYTES_MAX).await?;
        if response.status != 200 {
            return Err(format!("relay responded with status {}", response.status).into());
        }
        let answer = serde_json::from_slice(&response.body)?;
        self.connection = Some(connection);
        Ok(answer)
    }

    fn apply(&mut self, answer: RelayAnswer) {
        self.poll.seen_incarnation = answer.incarnation;
        self.poll.seen_version = answer.version;
        for (sidecar, state) in answer.changed {
            let Some(id) = self.followed.members.get(&sidecar) else {
                continue;
            };
            match state {
                RelayedState::Up(status) => self.gateway.record_status(id, *status),
                RelayedState::UpWithLoad(load) => self.gateway.record_status_load(id, load),
                RelayedState::Disconnected => self.gateway.link_lost(id, LinkLoss::Disconnected),
                RelayedState::TimedOut => self.gateway.link_lost(id, LinkLoss::TimedOut),
            }
        }
    }
}
