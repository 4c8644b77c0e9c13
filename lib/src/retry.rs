//! Retry budget and backoff.

use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::Rng;

use crate::ServiceName;

/// Retries that a service may have saved up.
const MAX_SAVED: f64 = 50.0;

/// Retries that every service starts with.
const START: f64 = 10.0;

/// Retries earned by one request.
const EARNED: f64 = 0.1;

/// Upper bound of the first pause.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Upper bound of any pause.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Budget of retries of each service: a share of its requests and a floor.
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: Mutex<IndexMap<ServiceName, f64>>,
}

impl RetryBudget {
    /// Counts a request, which earns a share of a retry.
    pub fn earn(&self, service: &ServiceName) {
        let mut saved = self.saved.lock();
        let budget = saved.entry(service.clone()).or_insert(START);
        *budget = (*budget + EARNED).min(MAX_SAVED);
    }

    /// Takes one retry and returns whether there was one.
    pub fn spend(&self, service: &ServiceName) -> bool {
        let mut saved = self.saved.lock();
        let budget = saved.entry(service.clone()).or_insert(START);
        let enough = *budget >= 1.0;
        if enough {
            *budget -= 1.0;
        }
        enough
    }
}

/// Returns the pause before the retry that follows `failures` failures.
///
/// Source: "full jitter", Brooker, "Exponential Backoff And Jitter", 2015.
pub(crate) fn backoff(failures: u32) -> Duration {
    let factor = 1 << failures.saturating_sub(1).min(8);
    let bound = (FIRST_PAUSE * factor).min(MAX_PAUSE);
    bound.mul_f64(rand::rng().random_range(0.1..1.0))
}
