//! Which endpoints can be counted on: suspicion with hysteresis.
//!
//! Three sources: the platform's host list, which lags; the agent's own word; and calls that
//! fail or succeed. Suspicion only steers new work away. What takes a grant without the agent's
//! confirmation is [`MemberState::Gone`] alone, which needs the host list.

use radishpin_protocol::prelude::*;

/// Failed calls in a row after which an endpoint is under suspicion.
pub const SUSPECT_AFTER_FAILURES: u32 = 2;
/// Successful calls in a row that lift suspicion.
pub const RECOVER_AFTER_SUCCESSES: u32 = 2;
/// Shortest time under suspicion; doubles with every relapse.
pub const SUSPICION_MIN: Duration = Duration::from_secs(2);
/// Longest time under suspicion once calls succeed.
pub const SUSPICION_MAX: Duration = Duration::from_secs(60);
/// Time without suspicion after which relapses are forgotten.
pub const FLAP_COUNT_RESET_AFTER: Duration = Duration::from_secs(300);
/// Time for which a host must be missing from the list, after it was listed.
pub const GONE_AFTER: Duration = Duration::from_secs(20);
/// Time for which a host must be missing from the list that was never seen there.
pub const NEVER_LISTED_GONE_AFTER: Duration = Duration::from_secs(120);
/// Readings of the list in which a host must be missing.
pub const GONE_AFTER_READS: u32 = 3;

/// Whether an endpoint can be counted on, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers, as far as is known.
    Usable,
    /// Calls to it failed lately.
    Suspect,
    /// It will be stopped: no new work.
    Leaving,
    /// Its host was taken back by the platform, and all processes on it have ended.
    Gone,
}

/// What the host list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListedHostState {
    /// In service.
    Live,
    /// To be reclaimed soon.
    Leaving,
}

/// What a node knows of the hosts and endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    hosts: BTreeMap<HostId, HostSeen>,
    endpoints: BTreeMap<EndpointId, EndpointSeen>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HostSeen {
    listed: Option<ListedHostState>,
    ever_listed: bool,
    missing_since: Duration,
    missing_lists: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct EndpointSeen {
    incarnation: Incarnation,
    leaving: bool,
    failures: u32,
    successes: u32,
    relapses: u32,
    /// When it came under suspicion, while it is.
    suspect_since: Option<Duration>,
    trusted_since: Option<Duration>,
    last_success: Option<Duration>,
}

impl Membership {
    /// Takes a reading of the host list; `known` are the hosts of registered endpoints.
    ///
    /// A reading that failed is not passed in: while the platform is down nothing counts as gone.
    pub fn observe_hosts(
        &mut self,
        list: &BTreeMap<HostId, ListedHostState>,
        known: &BTreeSet<HostId>,
        now: Duration,
    ) {
        self.hosts
            .retain(|host, _| list.contains_key(host) || known.contains(host));
        for host in known.iter().chain(list.keys()) {
            let listed = list.get(host).copied();
            match self.hosts.get_mut(host) {
                Some(seen) => seen.observe(listed, now),
                None => {
                    self.hosts.insert(host.clone(), HostSeen::new(listed, now));
                }
            }
        }
    }

    /// Takes an answer of the agent, a heartbeat's too, with its word on whether it leaves.
    pub fn call_succeeded(
        &mut self,
        endpoint: &str,
        incarnation: Incarnation,
        leaving: bool,
        now: Duration,
    ) {
        let seen = self.endpoints.entry(endpoint.to_owned()).or_default();
        if incarnation >= seen.incarnation {
            seen.incarnation = incarnation;
            seen.leaving = leaving;
            seen.succeed(now);
        }
    }

    /// Takes a call that got no answer in time, or that could not be sent.
    pub fn call_failed(&mut self, endpoint: &str, now: Duration) {
        let seen = self.endpoints.entry(endpoint.to_owned()).or_default();
        seen.fail(now);
    }

    /// Forgets endpoints that are no longer registered.
    pub fn retain_endpoints(&mut self, registered: impl Fn(&str) -> bool) {
        self.endpoints.retain(|endpoint, _| registered(endpoint));
    }

    /// Whether the endpoint on this host can be counted on; one not heard of yet can.
    pub fn member_state(&self, endpoint: &str, host: &str, now: Duration) -> MemberState {
        let host = self.hosts.get(host);
        let seen = self.endpoints.get(endpoint).copied().unwrap_or_default();
        if host.is_some_and(|host| host.is_gone(seen.last_success, now)) {
            return MemberState::Gone;
        }
        let listed_leaving = host.is_some_and(|host| host.listed == Some(ListedHostState::Leaving));
        if seen.leaving || listed_leaving {
            return MemberState::Leaving;
        }
        match seen.suspect_since {
            Some(_) => MemberState::Suspect,
            None => MemberState::Usable,
        }
    }
}

impl HostSeen {
    const fn new(listed: Option<ListedHostState>, now: Duration) -> Self {
        Self {
            listed,
            ever_listed: listed.is_some(),
            missing_since: now,
            missing_lists: listed.is_none() as u32,
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
        self.missing_lists += 1;
    }

    /// Whether the host was missing for long enough and no agent on it answered meanwhile.
    fn is_gone(&self, last_success: Option<Duration>, now: Duration) -> bool {
        if self.listed.is_some() || self.missing_lists < GONE_AFTER_READS {
            return false;
        }
        let needed = if self.ever_listed {
            GONE_AFTER
        } else {
            NEVER_LISTED_GONE_AFTER
        };
        let silent_since = last_success.map_or(self.missing_since, |at| at.max(self.missing_since));
        now.saturating_sub(silent_since) >= needed
    }
}

impl EndpointSeen {
    fn fail(&mut self, now: Duration) {
        self.successes = 0;
        self.failures = self.failures.saturating_add(1);
        if self.failures < SUSPECT_AFTER_FAILURES || self.suspect_since.is_some() {
            return;
        }
        let calm = self
            .trusted_since
            .is_none_or(|at| now.saturating_sub(at) >= FLAP_COUNT_RESET_AFTER);
        self.relapses = if calm { 0 } else { self.relapses + 1 };
        self.suspect_since = Some(now);
    }

    fn succeed(&mut self, now: Duration) {
        self.failures = 0;
        self.successes = self.successes.saturating_add(1);
        self.last_success = Some(now);
        let Some(since) = self.suspect_since else {
            return;
        };
        let long_enough = now.saturating_sub(since) >= self.shortest_suspicion();
        if long_enough && self.successes >= RECOVER_AFTER_SUCCESSES {
            self.suspect_since = None;
            self.trusted_since = Some(now);
        }
    }

    fn shortest_suspicion(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.relapses);
        SUSPICION_MIN.saturating_mul(factor).min(SUSPICION_MAX)
    }
}
