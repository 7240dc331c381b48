//! A token budget that limits extra calls to a share of the first calls.

/// Token bucket that first calls fill and extra calls drain.
#[derive(Debug)]
pub struct Budget {
    tokens: f64,
    max_tokens: f64,
}

impl Budget {
    /// Creates a budget that starts with `tokens` and holds at most `max_tokens`.
    pub const fn new(tokens: f64, max_tokens: f64) -> Self {
        Self { tokens, max_tokens }
    }

    /// Adds `share` tokens for each of `calls` first calls.
    pub fn earn(&mut self, calls: usize, share: f64) {
        self.add(calls as f64 * share);
    }

    /// Adds `tokens`.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.max_tokens);
    }

    /// Sets the maximum number of tokens, and drops tokens beyond it.
    pub fn set_max(&mut self, max_tokens: f64) {
        self.max_tokens = max_tokens;
        self.tokens = self.tokens.min(max_tokens);
    }

    /// Returns the number of available tokens.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes one token, and returns whether one was available.
    pub fn take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
