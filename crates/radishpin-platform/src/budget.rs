//! Retry budget: limits retries to a fraction of the calls, so that they cannot amplify an
//! overload of the platform.

use std::time::Duration;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries deposited for each call; 0.1 allows one retry for ten calls.
    pub per_call: f64,
    /// Retries deposited each second, so that a process with few calls can retry too.
    pub per_second: f64,
    /// Maximum number of retries that the budget holds.
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

/// Token bucket of retries; starts full.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    balance: f64,
    refilled_at: Duration,
}

impl RetryBudget {
    /// Creates a full budget; `now` is measured on the same clock as in later calls.
    pub fn new(settings: BudgetSettings, now: Duration) -> Self {
        Self {
            settings,
            balance: settings.max_balance,
            refilled_at: now,
        }
    }

    /// Deposits the retries earned by a new call; called once per call, not per attempt.
    pub fn deposit(&mut self, now: Duration) {
        self.refill(now);
        self.credit(self.settings.per_call);
    }

    /// Withdraws one retry; returns false if less than one is left.
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
