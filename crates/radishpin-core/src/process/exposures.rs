//! Which requests a gateway has sent to which endpoints, and what became of the endpoints.
//!
//! An endpoint that crashes breaks the connections of all requests that it runs; a broken connection
//! alone proves no crash, and one request may have ended just before it. So a crash is held against
//! requests and the parts of their prompts only once the endpoint is known to be down, and an answer counts
//! in favor of the parts only after a while.

use super::{CrashId, CrashRecord, EndpointVariant, SUSPECTS_MAX, Suspect, SuspectCrashes};
use crate::{
    rendezvous::mix,
    request::{PromptPartId, RequestFingerprint, SharedParts},
};
use radishpin_protocol::{UnixMs, engine::stable_hash, prelude::*};

/// Longest time from the end of an answer to a crash that generating it has caused.
const CRASH_DELAY_MAX: Duration = Duration::from_secs(1);
/// Longest time between a connection that breaks and the news that the engine is down.
const DOWN_NEWS_DELAY_MAX: Duration = Duration::from_secs(5);
/// Time for which an answered request clears its parts of crashes that follow.
const SOUND_LIFETIME: Duration = Duration::from_secs(10);
/// Largest number of parts that are remembered as sound.
const SOUND_MAX: usize = 4_096;

/// How a request at an endpoint ended, as far as it tells something about what crashes endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExposureEnd {
    /// The whole answer came.
    Served,
    /// The connection broke before the whole answer came.
    Broken,
    /// The engine did not run it.
    NotRun,
    /// Anything else, for example because its caller left.
    Other,
}

/// One request at one endpoint, until it is ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exposure {
    run: RunKey,
    number: u64,
}

/// A run of an endpoint's process: its listed start, and how many ends of runs with this start were known
/// when it began.
type RunKey = (EndpointId, UnixMs, u32);

/// What matters of a request at an endpoint if that crashes.
#[derive(Clone, Debug, Default)]
pub struct ExposedRequest {
    /// Parts of its prompt that other requests may share.
    pub parts: SharedParts,
    /// Variant of the endpoint.
    pub variant: EndpointVariant,
    /// Whether it was sent to find out whether endpoints still crash under it.
    pub trial: bool,
}

/// What the requests that ended since the last call tell about what crashes endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExposureNews {
    /// Prompt parts whose requests were answered without harm to their endpoint.
    pub sound: BTreeSet<PromptPartId>,
    /// Crashes of endpoints, against each suspect that they ran and that is not known to be sound.
    pub crashes: Vec<SuspectCrashes>,
}

/// Requests of a gateway at endpoints, until it is known what they did to them.
#[derive(Clone, Debug, Default)]
pub struct Exposures {
    runs: BTreeMap<RunKey, EndpointRun>,
    sound: BTreeMap<PromptPartId, Duration>,
    last_number: u64,
}

/// One run of an endpoint's process, from its start to its end.
#[derive(Clone, Debug, Default)]
struct EndpointRun {
    down_at: Option<Duration>,
    /// Whether it is certain that it ended: another run has begun, or its address refuses connections.
    proven_down: bool,
    requests: BTreeMap<u64, RunRequest>,
}

#[derive(Clone, Debug)]
struct RunRequest {
    exposed: ExposedRequest,
    /// Known once it has ended in a way that may be held against it.
    fingerprint: Option<RequestFingerprint>,
    ended: Option<(Duration, ExposureEnd)>,
}

impl Exposures {
    /// Records that a request is sent to an endpoint that started at this time.
    pub fn begin(
        &mut self,
        endpoint: &str,
        started_unix_ms: UnixMs,
        exposed: ExposedRequest,
    ) -> Exposure {
        self.last_number += 1;
        let run = self.current_run(endpoint, started_unix_ms);
        let request = RunRequest {
            exposed,
            fingerprint: None,
            ended: None,
        };
        let requests = &mut self.runs.entry(run.clone()).or_default().requests;
        requests.insert(self.last_number, request);
        Exposure {
            run,
            number: self.last_number,
        }
    }

    /// The run that a request goes to now: a new one if the last one with this start is known to have ended.
    fn current_run(&self, endpoint: &str, started_unix_ms: UnixMs) -> RunKey {
        let key = |number| (endpoint.to_owned(), started_unix_ms, number);
        let mut runs = self.runs.range(key(0)..=key(u32::MAX));
        match runs.next_back() {
            Some((last, run)) if run.down_at.is_some() => key(last.2 + 1),
            Some((last, _)) => last.clone(),
            None => key(0),
        }
    }

    /// Records how a request ended. The fingerprint is that of a request whose end may be held against it.
    pub fn end(
        &mut self,
        exposure: Exposure,
        end: ExposureEnd,
        fingerprint: Option<RequestFingerprint>,
        now: Duration,
    ) {
        let Some(run) = self.runs.get_mut(&exposure.run) else {
            return;
        };
        let Some(request) = run.requests.get_mut(&exposure.number) else {
            return;
        };
        request.ended = Some((now, end));
        request.fingerprint = fingerprint;
        let tells_nothing = fingerprint.is_none() && request.exposed.parts.is_empty();
        if end == ExposureEnd::NotRun || tells_nothing {
            run.requests.remove(&exposure.number);
        }
        if run.requests.is_empty() {
            self.runs.remove(&exposure.run);
        }
    }

    /// Records that an endpoint does not answer its sidecar, or is no longer listed.
    pub fn endpoint_down(&mut self, endpoint: &str, now: Duration) {
        for (_, run) in self.runs_of(endpoint) {
            run.down_at.get_or_insert(now);
        }
    }

    /// Records that an endpoint refuses connections, so that its runs have ended.
    pub fn endpoint_refuses(&mut self, endpoint: &str, now: Duration) {
        for (_, run) in self.runs_of(endpoint) {
            run.down_at.get_or_insert(now);
            run.proven_down = true;
        }
    }

    /// Records that an endpoint started at this time, so that its earlier runs have ended.
    pub fn endpoint_started(&mut self, endpoint: &str, started_unix_ms: UnixMs, now: Duration) {
        for (run_started, run) in self.runs_of(endpoint) {
            if run_started < started_unix_ms {
                run.down_at.get_or_insert(now);
                run.proven_down = true;
            }
        }
    }

    fn runs_of(&mut self, endpoint: &str) -> impl Iterator<Item = (UnixMs, &mut EndpointRun)> {
        let runs = self.runs.iter_mut();
        runs.filter(move |((id, _, _), _)| id == endpoint)
            .map(|((_, started_unix_ms, _), run)| (*started_unix_ms, run))
    }

    /// Whether nothing is left to settle.
    pub fn is_settled(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether a request with this part was answered lately without harm to its engine.
    pub fn is_sound(&self, part: PromptPartId, now: Duration) -> bool {
        let sound_at = self.sound.get(&part);
        sound_at.is_some_and(|at| now.saturating_sub(*at) < SOUND_LIFETIME)
    }

    /// Settles all requests of which it is known by now what they did to their endpoint.
    pub fn settle(&mut self, now: Duration) -> ExposureNews {
        let mut news = ExposureNews::default();
        let mut blamed: Vec<(Suspect, CrashRecord)> = Vec::new();
        for ((endpoint, started_unix_ms, _), run) in &mut self.runs {
            let crashed_at = run.crashed_at().unwrap_or(now);
            let crash = CrashRecord {
                crash: crash_id(endpoint, *started_unix_ms),
                age_ms: now.saturating_sub(crashed_at).as_millis() as u64,
                ..CrashRecord::default()
            };
            let settled = run.settle(crash, now);
            news.sound.extend(settled.sound);
            blamed.extend(settled.blamed);
        }
        self.runs.retain(|_, run| !run.requests.is_empty());
        self.remember_sound(&news.sound, now);
        let mut crashes: BTreeMap<Suspect, Vec<CrashRecord>> = BTreeMap::new();
        for (suspect, crash) in blamed {
            let is_sound = match suspect {
                Suspect::PromptPart(part) => self.is_sound(part, now),
                Suspect::Request(_) => false,
            };
            if crashes.len() < SUSPECTS_MAX && !is_sound {
                crashes.entry(suspect).or_default().push(crash);
            }
        }
        let crashes = crashes.into_iter();
        news.crashes = crashes
            .map(|(suspect, crashes)| SuspectCrashes { suspect, crashes })
            .collect();
        news
    }

    fn remember_sound(&mut self, parts: &BTreeSet<PromptPartId>, now: Duration) {
        if self.sound.len() + parts.len() > SOUND_MAX {
            self.sound
                .retain(|_, at| now.saturating_sub(*at) < SOUND_LIFETIME);
        }
        for part in parts {
            if self.sound.len() < SOUND_MAX || self.sound.contains_key(part) {
                self.sound.insert(*part, now);
            }
        }
    }
}

#[derive(Default)]
struct Settled {
    sound: BTreeSet<PromptPartId>,
    /// The crash against each suspect, where one of its requests was a trial marked as under a trial.
    blamed: BTreeMap<Suspect, CrashRecord>,
}

impl Settled {
    fn blame(&mut self, request: &RunRequest, crash: CrashRecord) {
        let parts = request.exposed.parts.ids().map(Suspect::PromptPart);
        let whole = request.fingerprint.map(Suspect::Request);
        for suspect in parts.chain(whole) {
            let blamed = self.blamed.entry(suspect).or_insert(crash);
            blamed.variant = request.exposed.variant;
            blamed.trial |= request.exposed.trial;
        }
    }
}

impl EndpointRun {
    fn settle(&mut self, crash: CrashRecord, now: Duration) -> Settled {
        let mut settled = Settled::default();
        let context = SettleContext {
            now,
            first_break: self.first_break(),
            down_at: self.down_at,
            proven_down: self.proven_down,
        };
        self.requests.retain(|_, request| {
            match context.judge(request.ended) {
                Judgment::Pending => return true,
                Judgment::Sound => settled.sound.extend(request.exposed.parts.ids()),
                Judgment::Blamed => settled.blame(request, crash),
                Judgment::Unknown => {}
            }
            false
        });
        settled
    }

    /// Time at which the endpoint crashed, as far as it is known; `None` if it is not known to be down.
    fn crashed_at(&self) -> Option<Duration> {
        let down_at = self.down_at?;
        Some(self.first_break().map_or(down_at, |at| at.min(down_at)))
    }

    /// Time at which the first connection broke that is not settled.
    fn first_break(&self) -> Option<Duration> {
        let ends = self.requests.values().filter_map(|request| request.ended);
        let breaks = ends.filter(|(_, end)| *end == ExposureEnd::Broken);
        breaks.map(|(at, _)| at).min()
    }
}

fn crash_id(endpoint: &str, started_unix_ms: UnixMs) -> CrashId {
    mix(stable_hash(endpoint.as_bytes()) ^ mix(started_unix_ms))
}

/// What is known of the run that a request belongs to.
#[derive(Clone, Copy)]
struct SettleContext {
    now: Duration,
    first_break: Option<Duration>,
    down_at: Option<Duration>,
    proven_down: bool,
}

enum Judgment {
    Pending,
    /// The engine outlived the request.
    Sound,
    /// The engine crashed while it served the request, or just after.
    Blamed,
    /// It tells nothing about its parts.
    Unknown,
}

impl SettleContext {
    fn judge(self, ended: Option<(Duration, ExposureEnd)>) -> Judgment {
        let Some((ended_at, end)) = ended else {
            // Its connection may hang although the engine is long down.
            let overdue = self.down_at.is_some_and(|at| self.has_passed(at));
            return if overdue {
                Judgment::Unknown
            } else {
                Judgment::Pending
            };
        };
        match self.down_at {
            Some(down_at) => self.judge_after_crash(down_at, ended_at, end),
            None => self.judge_before_news(ended_at, end),
        }
    }

    fn judge_after_crash(
        self,
        down_at: Duration,
        ended_at: Duration,
        end: ExposureEnd,
    ) -> Judgment {
        if end == ExposureEnd::Broken {
            return Judgment::Blamed;
        }
        let crashed_at = self.first_break.map_or(down_at, |at| at.min(down_at));
        if ended_at + CRASH_DELAY_MAX < crashed_at {
            return sound_if_served(end);
        }
        // A sidecar that restarts reports its engine as down for a moment.
        let proven = self.first_break.is_some() || self.proven_down;
        match proven {
            true => Judgment::Blamed,
            false if self.has_passed(down_at) => Judgment::Unknown,
            false => Judgment::Pending,
        }
    }

    fn judge_before_news(self, ended_at: Duration, end: ExposureEnd) -> Judgment {
        let broke = self.first_break;
        let may_have_crashed = broke.is_some_and(|at| ended_at + CRASH_DELAY_MAX >= at);
        if end == ExposureEnd::Broken || may_have_crashed {
            let overdue = self.has_passed(ended_at);
            return if overdue {
                Judgment::Unknown
            } else {
                Judgment::Pending
            };
        }
        let is_recent = self.now.saturating_sub(ended_at) < CRASH_DELAY_MAX;
        if is_recent {
            return Judgment::Pending;
        }
        sound_if_served(end)
    }

    /// Whether news about an engine that failed at `at` would have come by now.
    fn has_passed(self, at: Duration) -> bool {
        self.now.saturating_sub(at) >= DOWN_NEWS_DELAY_MAX
    }
}

fn sound_if_served(end: ExposureEnd) -> Judgment {
    match end {
        ExposureEnd::Served => Judgment::Sound,
        ExposureEnd::Broken | ExposureEnd::NotRun | ExposureEnd::Other => Judgment::Unknown,
    }
}
