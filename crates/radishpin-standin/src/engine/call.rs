//! One call at an engine, from its place in the batch to its last token.

use super::{Engine, POLL, admission::Place, faults::AnswerFault, memory::Residency, wait};
use crate::journal::{RunEnd, RunGuard};
use radishpin_protocol::engine::{EngineErrorKind, prefix_hash, stable_hash};
use std::time::Duration;

/// Longest wait of a call between two looks at whether its model still stands.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Attempt that a crossed answer carries.
const CROSSED_ATTEMPT: &str = "other-request/1";
/// Prompt that a crossed answer answers.
const CROSSED_PROMPT: &str = "another caller's prompt";

/// A completion that an engine is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Attempt, `REQUEST/ATTEMPT`.
    pub attempt: String,
    /// Name of a model or adapter.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u32,
    /// Tokens to skip, as the caller has them.
    pub offset: u32,
    /// Priority, 0 (lowest) to 9.
    pub priority: u32,
}

/// A call that runs; dropped before its end, it is cancelled.
#[derive(Debug)]
pub struct Call {
    pub(super) request: CallRequest,
    pub(super) fault: AnswerFault,
    engine: Engine,
    residency: Residency,
    first_token: Duration,
    next_token: u32,
    guard: Option<RunGuard>,
    _place: Place,
}

impl Engine {
    /// Waits for a place in the batch and starts a call.
    ///
    /// # Errors
    /// The model is not loaded or the engine refuses; the call did not run.
    pub async fn start_call(&self, request: CallRequest) -> Result<Call, EngineErrorKind> {
        self.unfrozen().await;
        if self.shared.faults.refuses() {
            return Err(EngineErrorKind::Refused);
        }
        self.residency(&request.model)?;
        let place = self.shared.admission.enter(request.priority).await;
        self.shared.sample_load();
        let residency = self.residency(&request.model)?;
        let guard = self
            .shared
            .journal
            .start(&request.attempt, &request.model, None);
        Ok(Call {
            first_token: self.first_token(&request),
            next_token: request.offset,
            fault: self.shared.faults.take_answer_fault(),
            guard: Some(guard),
            engine: self.clone(),
            residency,
            request,
            _place: place,
        })
    }

    fn residency(&self, name: &str) -> Result<Residency, EngineErrorKind> {
        let memory = self.shared.memory.lock();
        memory
            .residency(name)
            .ok_or(EngineErrorKind::ModelNotLoaded)
    }

    fn first_token(&self, request: &CallRequest) -> Duration {
        let now = self.shared.clock.now();
        let hash = prefix_hash(&request.prompt);
        let settings = &self.shared.settings;
        if self.shared.cache.lock().touch(&request.model, hash, now) {
            settings.cached_first_token
        } else {
            settings.first_token
        }
    }
}

impl Call {
    /// Tokens left to generate.
    pub fn left(&self) -> u32 {
        self.request.tokens.saturating_sub(self.next_token)
    }

    /// Attempt that the answer carries.
    pub fn answer_attempt(&self) -> &str {
        match self.fault {
            AnswerFault::Crossed => CROSSED_ATTEMPT,
            _ => &self.request.attempt,
        }
    }

    /// Generates all tokens and ends the call.
    ///
    /// # Errors
    /// The model was unloaded or the engine restarted meanwhile.
    pub async fn run(&mut self) -> Result<Vec<String>, EngineErrorKind> {
        let mut tokens = Vec::new();
        let mut delay = Duration::ZERO;
        while self.left() > 0 {
            delay += self.next_delay();
            tokens.push(self.generate());
        }
        self.sleep(delay).await?;
        self.end(RunEnd::Finished);
        Ok(tokens)
    }

    /// Time until the next token.
    pub(super) fn next_delay(&self) -> Duration {
        let settings = &self.engine.shared.settings;
        let token = if settings.batch_slowdown_percent == 0 {
            settings.token
        } else {
            let (running, _) = self.engine.shared.admission.load();
            let percent = 100 + settings.batch_slowdown_percent * running.saturating_sub(1);
            settings.token * percent / 100
        };
        if self.next_token == self.request.offset {
            self.first_token + token
        } else {
            token
        }
    }

    /// The next token, which depends on model, prompt and index alone.
    pub(super) fn generate(&mut self) -> String {
        let prompt = match self.fault {
            AnswerFault::Crossed => CROSSED_PROMPT,
            _ => &self.request.prompt,
        };
        let token = token(&self.request.model, prompt, self.next_token);
        self.next_token += 1;
        token
    }

    /// Whether the engine stands still.
    pub(super) fn frozen(&self) -> bool {
        self.engine.shared.faults.frozen()
    }

    /// Whether the model still stands.
    pub(super) fn stands(&self) -> bool {
        self.engine.shared.memory.lock().holds(&self.residency)
    }

    /// Whether half of the tokens are out, where some faults strike.
    pub(super) fn is_halfway(&self) -> bool {
        let all = self.request.tokens.saturating_sub(self.request.offset);
        self.left() <= all / 2
    }

    /// Records how the call ended; only the first end counts.
    pub(super) fn end(&mut self, end: RunEnd) {
        if let Some(guard) = self.guard.take() {
            guard.end(end);
        }
    }

    async fn sleep(&mut self, delay: Duration) -> Result<(), EngineErrorKind> {
        let mut left = delay;
        loop {
            while self.frozen() {
                wait(POLL).await;
            }
            if !self.stands() {
                self.end(RunEnd::Cut);
                return Err(EngineErrorKind::Interrupted);
            }
            if left.is_zero() {
                return Ok(());
            }
            let step = left.min(MAX_WAIT);
            wait(step).await;
            left -= step;
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.engine.shared.sample_load();
    }
}

/// Token `index` of the answer of `model` to `prompt`, for checks of answers.
pub fn token(model: &str, prompt: &str, index: u32) -> String {
    let seed = stable_hash(model.as_bytes()) ^ stable_hash(prompt.as_bytes()).rotate_left(1);
    let hash = stable_hash(&(seed ^ u64::from(index)).to_le_bytes());
    format!("t{:05x} ", hash & 0xf_ffff)
}
