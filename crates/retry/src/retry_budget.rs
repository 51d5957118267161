use {
    serde::{Deserialize, Serialize},
    std::time::Instant,
};

/// Limits of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Tokens that each successful call adds.
    pub share: f64,
    /// Tokens added each second, so that a service with little traffic can retry too.
    pub floor_per_second: f64,
    /// Largest number of tokens that the budget holds, which is also the number that it starts
    /// with.
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

/// Token bucket that limits retries and hedges to a share of the successful calls.
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
    /// Time up to which the tokens of `floor_per_second` were added.
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetryBudgetSettings, now: Instant) -> Self {
        Self {
            settings,
            tokens: settings.saved,
            refilled_at: now,
        }
    }

    /// Takes a token for one retry or hedge; returns false if no whole token is left.
    pub fn take_token(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.add_tokens(elapsed.as_secs_f64() * self.settings.floor_per_second);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Adds the tokens of one successful call.
    pub fn on_success(&mut self) {
        self.add_tokens(self.settings.share);
    }

    /// Returns a token that was taken for a call that was not sent.
    pub fn return_token(&mut self) {
        self.add_tokens(1.0);
    }

    /// Returns the number of tokens left, fractions included.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    fn add_tokens(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.saved);
    }
}
