//! Token bucket.

use std::time::Duration;

use tokio::time::Instant;

/// Admits a limited number of operations per second, with a burst.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    level: f64,
    filled: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn full(burst: f64) -> Self {
        Self {
            level: burst,
            filled: Instant::now(),
        }
    }

    /// Takes one token, or returns the time until one is there.
    pub(crate) fn take(&mut self, per_second: f64, burst: f64) -> Result<(), Duration> {
        let now = Instant::now();
        let gained = now.duration_since(self.filled).as_secs_f64() * per_second;
        self.level = (self.level + gained).min(burst.max(1.0));
        self.filled = now;
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / per_second.max(f64::MIN_POSITIVE);
        Err(Duration::from_secs_f64(wait.min(3600.0)))
    }
}
