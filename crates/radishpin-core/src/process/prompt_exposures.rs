//! Which prompt parts a gateway has sent to which engines, and what became of the engines.
//!
//! An engine that crashes breaks the connections of all requests that it serves; a broken connection
//! alone proves no crash, and one request may have ended just before it. So a request is held against
//! its parts only once the engine is known to be down, and counts in their favor only after a while.

use super::{CrashId, PARTS_MAX, PartCrash, PartCrashes};
use crate::{
    rendezvous::mix,
    request::{PromptPartId, SharedParts},
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

/// How a request at an engine ended, as far as it tells something about its prompt.
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

/// One request at one engine, until it is ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exposure {
    endpoint: EndpointId,
    started_unix_ms: UnixMs,
    number: u64,
}

/// What the requests that ended since the last call tell about prompt parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExposureNews {
    /// Parts whose requests were answered without harm to their engine.
    pub sound: BTreeSet<PromptPartId>,
    /// Crashes of engines, against each part that they served and that is not known to be sound.
    pub crashes: Vec<PartCrashes>,
}

/// Requests of a gateway at engines, until it is known what they did to them.
#[derive(Clone, Debug, Default)]
pub struct PromptExposures {
    runs: BTreeMap<(EndpointId, UnixMs), EngineRun>,
    sound: BTreeMap<PromptPartId, Duration>,
    last_number: u64,
}

/// One run of an engine's process, from its start to its end.
#[derive(Clone, Debug, Default)]
struct EngineRun {
    down_at: Option<Duration>,
    /// Whether another run has begun, which proves that this one ended.
    replaced: bool,
    requests: BTreeMap<u64, ExposedRequest>,
}

#[derive(Clone, Debug)]
struct ExposedRequest {
    parts: SharedParts,
    ended: Option<(Duration, ExposureEnd)>,
}

impl PromptExposures {
    /// Records that a request is sent to an engine that started at this time; `None` if its prompt
    /// shares no part.
    pub fn begin(
        &mut self,
        endpoint: &str,
        started_unix_ms: UnixMs,
        parts: &SharedParts,
    ) -> Option<Exposure> {
        if parts.is_empty() {
            return None;
        }
        self.last_number += 1;
        let request = ExposedRequest {
            parts: parts.clone(),
            ended: None,
        };
        let run = (endpoint.to_owned(), started_unix_ms);
        let run = self.runs.entry(run).or_default();
        run.requests.insert(self.last_number, request);
        Some(Exposure {
            endpoint: endpoint.to_owned(),
            started_unix_ms,
            number: self.last_number,
        })
    }

    /// Records how a request ended.
    pub fn end(&mut self, exposure: Exposure, end: ExposureEnd, now: Duration) {
        let run = (exposure.endpoint, exposure.started_unix_ms);
        let Some(run) = self.runs.get_mut(&run) else {
            return;
        };
        if end == ExposureEnd::NotRun {
            run.requests.remove(&exposure.number);
        } else if let Some(request) = run.requests.get_mut(&exposure.number) {
            request.ended = Some((now, end));
        }
    }

    /// Records that an engine does not answer its sidecar or does not accept connections.
    pub fn engine_down(&mut self, endpoint: &str, now: Duration) {
        for (_, run) in self.runs_of(endpoint) {
            run.down_at.get_or_insert(now);
        }
    }

    /// Records that an engine started at this time, so that its earlier runs have ended.
    pub fn engine_started(&mut self, endpoint: &str, started_unix_ms: UnixMs, now: Duration) {
        for (run_started, run) in self.runs_of(endpoint) {
            if run_started < started_unix_ms {
                run.down_at.get_or_insert(now);
                run.replaced = true;
            }
        }
    }

    fn runs_of(&mut self, endpoint: &str) -> impl Iterator<Item = (UnixMs, &mut EngineRun)> {
        let runs = self.runs.iter_mut();
        runs.filter(move |((id, _), _)| id == endpoint)
            .map(|((_, started_unix_ms), run)| (*started_unix_ms, run))
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

    /// Settles all requests of which it is known by now what they did to their engine.
    pub fn settle(&mut self, now: Duration) -> ExposureNews {
        let mut news = ExposureNews::default();
        let mut blamed: Vec<(PartCrash, PromptPartId)> = Vec::new();
        for ((endpoint, started_unix_ms), run) in &mut self.runs {
            let crashed_at = run.crashed_at().unwrap_or(now);
            let crash = PartCrash {
                crash: crash_id(endpoint, *started_unix_ms),
                age_ms: now.saturating_sub(crashed_at).as_millis() as u64,
                cleared: false,
            };
            let settled = run.settle(now);
            news.sound.extend(settled.sound);
            blamed.extend(settled.blamed.into_iter().map(|part| (crash, part)));
        }
        self.runs.retain(|_, run| !run.requests.is_empty());
        self.remember_sound(&news.sound, now);
        let mut crashes: BTreeMap<PromptPartId, Vec<PartCrash>> = BTreeMap::new();
        for (crash, part) in blamed {
            if crashes.len() < PARTS_MAX && !self.is_sound(part, now) {
                crashes.entry(part).or_default().push(crash);
            }
        }
        let crashes = crashes.into_iter();
        news.crashes = crashes
            .map(|(part, crashes)| PartCrashes { part, crashes })
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
struct SettledParts {
    sound: BTreeSet<PromptPartId>,
    blamed: BTreeSet<PromptPartId>,
}

impl EngineRun {
    fn settle(&mut self, now: Duration) -> SettledParts {
        let mut settled = SettledParts::default();
        let context = SettleContext {
            now,
            first_break: self.first_break(),
            down_at: self.down_at,
            replaced: self.replaced,
        };
        self.requests.retain(|_, request| {
            let verdict = context.judge(request.ended);
            match verdict {
                Judgment::Pending => return true,
                Judgment::Sound => settled.sound.extend(request.parts.ids()),
                Judgment::Blamed => settled.blamed.extend(request.parts.ids()),
                Judgment::Unknown => {}
            }
            false
        });
        settled
    }

    /// Time at which the engine crashed, as far as it is known; `None` if it is not known to be down.
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
    replaced: bool,
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
        let proven = self.first_break.is_some() || self.replaced;
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
