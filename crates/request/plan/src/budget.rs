//! A budget of extra calls, as a share of the first calls.

/// Tokens that first calls earn and extra calls spend.
#[derive(Debug)]
pub(crate) struct Budget {
    tokens: f64,
    max_tokens: f64,
}

impl Budget {
    pub(crate) const fn new(tokens: f64, max_tokens: f64) -> Self {
        Self { tokens, max_tokens }
    }

    /// Earns a share of each of `calls` first calls.
    pub(crate) fn earn(&mut self, calls: usize, share: f64) {
        self.tokens = (self.tokens + calls as f64 * share).min(self.max_tokens);
    }

    /// Spends one token if there is one.
    pub(crate) fn take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
