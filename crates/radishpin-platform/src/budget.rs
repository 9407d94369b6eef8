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
    pub max_balance: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            per_call: 0.1,
            per_second: 0.1,
            max_balance: 10.0,
        }
    }
}

/// A retry budget; starts full.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    balance: f64,
    refilled_at: Duration,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: BudgetSettings, now: Duration) -> Self {
        Self {
            settings,
            balance: settings.max_balance,
            refilled_at: now,
        }
    }

    /// Earns from a first try.
    pub fn deposit(&mut self, now: Duration) {
        self.refill(now);
        self.credit(self.settings.per_call);
    }

    /// Takes one retry, if there is one.
    pub fn try_withdraw(&mut self, now: Duration) -> bool {
        self.refill(now);
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.credit(elapsed.as_secs_f64() * self.settings.per_second);
    }

    fn credit(&mut self, retries: f64) {
        self.balance = (self.balance + retries).min(self.settings.max_balance);
    }
}
