//! Retry budget and retry backoff.

use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::Rng;

use crate::ServiceName;

/// Maximum budget of a service, in retries.
const MAX_BUDGET: f64 = 50.0;

/// Initial budget of a service, in retries.
const INITIAL_BUDGET: f64 = 10.0;

/// Maximum ratio of retries to requests in the long run; each request adds this amount to the
/// budget.
const MAX_RETRY_RATIO: f64 = 0.1;

/// Upper bound of the first backoff; doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Upper bound of every backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Retry budget by service: a fraction of its requests on top of an initial budget.
#[derive(Debug, Default)]
pub struct RetryBudget {
    budgets: Mutex<IndexMap<ServiceName, f64>>,
}

impl RetryBudget {
    /// Adds `MAX_RETRY_RATIO` to the service's budget, for one request.
    pub fn deposit(&self, service: &ServiceName) {
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(service.clone()).or_insert(INITIAL_BUDGET);
        *budget = (*budget + MAX_RETRY_RATIO).min(MAX_BUDGET);
    }

    /// Takes one retry from the service's budget; returns `false` when less than one is left.
    pub fn withdraw(&self, service: &ServiceName) -> bool {
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(service.clone()).or_insert(INITIAL_BUDGET);
        let is_allowed = *budget >= 1.0;
        if is_allowed {
            *budget -= 1.0;
        }
        is_allowed
    }
}

/// Returns the delay before the retry after `failures` failures, which is uniformly distributed
/// between a tenth of the bound and the bound.
///
/// Source: "full jitter" (from zero to the bound), Brooker, "Exponential Backoff And Jitter", 2015.
pub(crate) fn backoff(failures: u32) -> Duration {
    let factor = 1 << failures.saturating_sub(1).min(8);
    let bound = (INITIAL_BACKOFF * factor).min(MAX_BACKOFF);
    bound.mul_f64(rand::rng().random_range(0.1..1.0))
}
