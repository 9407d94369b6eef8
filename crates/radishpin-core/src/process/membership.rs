//! Failure detection for endpoints: suspicion with hysteresis.
//!
//! There are three sources: the platform's host list, which lags; the agent's own statement that it
//! is leaving; and the success or failure of calls. Suspicion only routes new work elsewhere. Only
//! [`MemberState::Gone`], which requires the host list, lets a grant be dropped without the agent's
//! confirmation.

use radishpin_protocol::prelude::*;

/// Consecutive failed calls after which an endpoint becomes suspect.
pub const SUSPECT_AFTER_FAILURES: u32 = 2;
/// Consecutive successful calls needed to end a suspicion.
pub const RECOVER_AFTER_SUCCESSES: u32 = 2;
/// Shortest suspicion; doubles with each flap, a new suspicion within
/// [`FLAP_COUNT_RESET_AFTER`] of the recovery from the last one.
pub const SUSPICION_MIN: Duration = Duration::from_secs(2);
/// Limit of the doubled shortest suspicion; calls that keep failing extend a suspicion beyond it.
pub const SUSPICION_MAX: Duration = Duration::from_secs(60);
/// Time without suspicion after which the flap count is reset.
pub const FLAP_COUNT_RESET_AFTER: Duration = Duration::from_secs(300);
/// Time for which a host that was listed must be missing from the list to count as gone.
pub const GONE_AFTER: Duration = Duration::from_secs(20);
/// The same for a host that was never listed.
pub const NEVER_LISTED_GONE_AFTER: Duration = Duration::from_secs(120);
/// Consecutive reads of the list in which a host must be missing to count as gone.
pub const GONE_AFTER_READS: u32 = 3;

/// State of an endpoint for placing work, ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It is not known to be failing; also the state of an endpoint not yet called.
    Usable,
    /// Recent calls to it failed.
    Suspect,
    /// It is about to be stopped and should get no new work.
    Leaving,
    /// The platform has reclaimed its host; all processes on it have ended.
    Gone,
}

/// State of a host in the platform's host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListedHostState {
    /// In service.
    Live,
    /// About to be reclaimed by the platform.
    Leaving,
}

/// One node's view of the hosts and endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    hosts: BTreeMap<HostId, HostObservation>,
    endpoints: BTreeMap<EndpointId, EndpointObservation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HostObservation {
    listed: Option<ListedHostState>,
    ever_listed: bool,
    missing_since: Duration,
    missing_reads: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct EndpointObservation {
    incarnation: Incarnation,
    leaving: bool,
    failures: u32,
    successes: u32,
    flaps: u32,
    /// Start of the present suspicion; `None` while not suspect.
    suspect_since: Option<Duration>,
    recovered_at: Option<Duration>,
    last_success: Option<Duration>,
}

impl Membership {
    /// Applies a read of the host list; `registered_hosts` are the hosts of registered endpoints.
    ///
    /// Must not be called for failed reads, so that no host counts as gone while the platform is
    /// down.
    pub fn observe_hosts(
        &mut self,
        list: &BTreeMap<HostId, ListedHostState>,
        registered_hosts: &BTreeSet<HostId>,
        now: Duration,
    ) {
        self.hosts
            .retain(|host, _| list.contains_key(host) || registered_hosts.contains(host));
        for host in registered_hosts.iter().chain(list.keys()) {
            let listed = list.get(host).copied();
            match self.hosts.get_mut(host) {
                Some(observed) => observed.observe(listed, now),
                None => {
                    self.hosts
                        .insert(host.clone(), HostObservation::new(listed, now));
                }
            }
        }
    }

    /// Records an answer of the endpoint's agent, also to a heartbeat, and whether it is leaving.
    ///
    /// Ignored if `incarnation` is older than one already seen.
    pub fn call_succeeded(
        &mut self,
        endpoint: &str,
        incarnation: Incarnation,
        leaving: bool,
        now: Duration,
    ) {
        let observed = self.endpoints.entry(endpoint.to_owned()).or_default();
        if incarnation >= observed.incarnation {
            observed.incarnation = incarnation;
            observed.leaving = leaving;
            observed.succeed(now);
        }
    }

    /// Records a call that timed out or could not be sent.
    pub fn call_failed(&mut self, endpoint: &str, now: Duration) {
        let observed = self.endpoints.entry(endpoint.to_owned()).or_default();
        observed.fail(now);
    }

    /// Removes endpoints that are no longer registered.
    pub fn retain_endpoints(&mut self, registered: impl Fn(&str) -> bool) {
        self.endpoints.retain(|endpoint, _| registered(endpoint));
    }

    /// State of an endpoint on a host; [`MemberState::Usable`] if neither has been observed.
    pub fn member_state(&self, endpoint: &str, host: &str, now: Duration) -> MemberState {
        let host = self.hosts.get(host);
        let observed = self.endpoints.get(endpoint).copied().unwrap_or_default();
        if host.is_some_and(|host| host.is_gone(observed.last_success, now)) {
            return MemberState::Gone;
        }
        let listed_leaving = host.is_some_and(|host| host.listed == Some(ListedHostState::Leaving));
        if observed.leaving || listed_leaving {
            return MemberState::Leaving;
        }
        match observed.suspect_since {
            Some(_) => MemberState::Suspect,
            None => MemberState::Usable,
        }
    }
}

impl HostObservation {
    const fn new(listed: Option<ListedHostState>, now: Duration) -> Self {
        Self {
            listed,
            ever_listed: listed.is_some(),
            missing_since: now,
            missing_reads: listed.is_none() as u32,
        }
    }

    const fn observe(&mut self, listed: Option<ListedHostState>, now: Duration) {
        if listed.is_some() {
            *self = Self::new(listed, now);
            return;
        }
        if self.listed.is_some() {
            self.missing_since = now;
        }
        self.listed = None;
        self.missing_reads += 1;
    }

    /// Whether the host was missing for long enough without an answer of the agent meanwhile.
    fn is_gone(&self, last_success: Option<Duration>, now: Duration) -> bool {
        if self.listed.is_some() || self.missing_reads < GONE_AFTER_READS {
            return false;
        }
        let required = if self.ever_listed {
            GONE_AFTER
        } else {
            NEVER_LISTED_GONE_AFTER
        };
        let absent_since = last_success.map_or(self.missing_since, |at| at.max(self.missing_since));
        now.saturating_sub(absent_since) >= required
    }
}

impl EndpointObservation {
    fn fail(&mut self, now: Duration) {
        self.successes = 0;
        self.failures = self.failures.saturating_add(1);
        if self.failures < SUSPECT_AFTER_FAILURES || self.suspect_since.is_some() {
            return;
        }
        let flaps_expired = self
            .recovered_at
            .is_none_or(|at| now.saturating_sub(at) >= FLAP_COUNT_RESET_AFTER);
        self.flaps = if flaps_expired { 0 } else { self.flaps + 1 };
        self.suspect_since = Some(now);
    }

    fn succeed(&mut self, now: Duration) {
        self.failures = 0;
        self.successes = self.successes.saturating_add(1);
        self.last_success = Some(now);
        let Some(since) = self.suspect_since else {
            return;
        };
        let min_elapsed = now.saturating_sub(since) >= self.min_suspicion();
        if min_elapsed && self.successes >= RECOVER_AFTER_SUCCESSES {
            self.suspect_since = None;
            self.recovered_at = Some(now);
        }
    }

    fn min_suspicion(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.flaps);
        SUSPICION_MIN.saturating_mul(factor).min(SUSPICION_MAX)
    }
}
