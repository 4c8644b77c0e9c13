//! Retry budget per service, kept by every entry on its own.
//!
//! Endpoints may fail or reject requests under load, and every retry adds to it. Each entry's
//! retries may amount to a fraction of the requests that it received itself plus an equal part of
//! the fixed allowance, so that all entries together stay within the budget without coordination.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::ServiceName;
use crate::SlidingCounter;

/// Fraction of the permitted retries that is used; the rest absorbs errors of the sliding windows.
const BUDGET_USE_FRACTION: f64 = 0.8;

/// Bounds of the retry budget of all entries together.
#[derive(Clone, Copy, Debug)]
pub struct RetryBounds {
    /// Permitted retries per request.
    pub ratio: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
    /// Permitted retries per window in addition to the ratio (the fixed allowance).
    pub slack: f64,
}

#[derive(Debug)]
struct ServiceCounts {
    requests: SlidingCounter,
    retries: SlidingCounter,
}

/// Retry budget of one entry.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    services: IndexMap<ServiceName, ServiceCounts>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            services: IndexMap::new(),
        }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        self.counts(service).requests.add(now, 1);
    }

    /// Takes one retry from the budget; returns `false` if the budget is exhausted.
    ///
    /// `entries` is the number of entries that share the fixed allowance.
    pub fn try_take(&mut self, service: &ServiceName, entries: usize, now: Instant) -> bool {
        let is_left = self.has_left(service, entries, now);
        if is_left {
            self.counts(service).retries.add(now, 1);
        }
        is_left
    }

    /// Returns whether [`RetryBudget::try_take`] would take a retry.
    pub fn has_left(&mut self, service: &ServiceName, entries: usize, now: Instant) -> bool {
        let bounds = self.bounds;
        let counts = self.counts(service);
        let requests = counts.requests.sum(now) as f64;
        let allowance = bounds.slack / entries.max(1) as f64;
        let limit = BUDGET_USE_FRACTION * (bounds.ratio * requests + allowance);
        (counts.retries.sum(now) + 1) as f64 <= limit
    }

    fn counts(&mut self, service: &ServiceName) -> &mut ServiceCounts {
        let window = self.bounds.window;
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceCounts {
                requests: SlidingCounter::new(window),
                retries: SlidingCounter::new(window),
            })
    }
}
