//! A budget of extra calls, as a share of the first calls.

/// Tokens that first calls earn and extra calls spend.
#[derive(Debug)]
pub struct Budget {
    tokens: f64,
    max_tokens: f64,
}

impl Budget {
    /// Creates a budget with `tokens`, which saves up `max_tokens` at most.
    pub const fn new(tokens: f64, max_tokens: f64) -> Self {
        Self { tokens, max_tokens }
    }

    /// Earns a share of each of `calls` first calls.
    pub fn earn(&mut self, calls: usize, share: f64) {
        self.tokens = (self.tokens + calls as f64 * share).min(self.max_tokens);
    }

    /// Changes how much is saved up at most.
    pub fn set_max(&mut self, max_tokens: f64) {
        self.max_tokens = max_tokens;
        self.tokens = self.tokens.min(max_tokens);
    }

    /// Returns the tokens left.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Spends one token if there is one.
    pub fn take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
