//! Token bucket for rate limits.

use std::time::Duration;

use tokio::time::Instant;

/// Limits the rate of operations, with bursts up to the capacity of the bucket.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket that is full with `burst` tokens.
    pub(crate) fn full(burst: f64) -> Self {
        Self {
            tokens: burst,
            refilled_at: Instant::now(),
        }
    }

    /// Refills the bucket for the time that has passed, up to the larger of `burst` and one token,
    /// and takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available, at most one hour, if the bucket holds less than
    /// one token.
    pub(crate) fn take(&mut self, tokens_per_second: f64, burst: f64) -> Result<(), Duration> {
        let now = Instant::now();
        let added = now.duration_since(self.refilled_at).as_secs_f64() * tokens_per_second;
        self.tokens = (self.tokens + added).min(burst.max(1.0));
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / tokens_per_second.max(f64::MIN_POSITIVE);
        Err(Duration::from_secs_f64(wait.min(3600.0)))
    }
}
