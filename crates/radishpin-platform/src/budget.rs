//! Budget of retries: a share of the calls, so that retries cannot multiply an overload.

use std::time::Duration;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries earned by each call.
    pub per_call: f64,
    /// Retries earned each second, so that a process with few calls can retry.
    pub per_second: f64,
    /// Most retries saved up.
    pub max_saved: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            per_call: 0.1,
            per_second: 0.1,
            max_saved: 10.0,
        }
    }
}

/// A retry budget; starts full.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    saved: f64,
    filled_at: Duration,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: BudgetSettings, now: Duration) -> Self {
        Self {
            settings,
            saved: settings.max_saved,
            filled_at: now,
        }
    }

    /// Earns from a first try.
    pub fn deposit(&mut self, now: Duration) {
        self.fill(now);
        self.save(self.settings.per_call);
    }

    /// Takes one retry, if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        self.fill(now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.save(elapsed.as_secs_f64() * self.settings.per_second);
    }

    fn save(&mut self, retries: f64) {
        self.saved = (self.saved + retries).min(self.settings.max_saved);
    }
}
