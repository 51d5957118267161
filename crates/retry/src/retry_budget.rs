use {
    serde::{Deserialize, Serialize},
    std::time::Instant,
};

/// How many retries and hedges a budget grants.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Tokens that each successful call adds.
    pub share: f64,
    /// Tokens that come in each second, so that low traffic can retry too.
    pub floor_per_second: f64,
    /// Tokens that can be saved up; also what the budget starts with.
    pub saved: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            share: 0.1,
            floor_per_second: 0.5,
            saved: 10.0,
        }
    }
}

/// Bounds retries and hedges to a small share of the calls that succeed.
///
/// ```
/// use std::time::Instant;
/// use retry::{RetryBudgetSettings, RetryBudget};
///
/// let now = Instant::now();
/// let settings = RetryBudgetSettings { share: 0.5, floor_per_second: 0.0, saved: 1.0 };
/// let mut budget = RetryBudget::new(settings, now);
/// assert!(budget.take_token(now));
/// assert!(!budget.take_token(now));
/// budget.on_success();
/// budget.on_success();
/// assert!(budget.take_token(now));
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    tokens: f64,
    refilled: Instant,
}

impl RetryBudget {
    /// Budget with all its tokens.
    pub fn new(settings: RetryBudgetSettings, now: Instant) -> Self {
        Self {
            settings,
            tokens: settings.saved,
            refilled: now,
        }
    }

    /// Takes a token for one retry or hedge; false if there is none.
    pub fn take_token(&mut self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.refilled);
        self.refilled = self.refilled.max(now);
        self.add(idle.as_secs_f64() * self.settings.floor_per_second);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Adds the share of one successful call.
    pub fn on_success(&mut self) {
        self.add(self.settings.share);
    }

    /// Gives a token back that was taken for a call that was never sent.
    pub fn return_token(&mut self) {
        self.add(1.0);
    }

    /// Tokens that are left.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.saved);
    }
}
