//! Budget of sends beyond the first, one a service, kept by every entry for itself.
//!
//! Load pattern: servers fail or reject, callers press, and every repeat makes it worse. Each
//! entry spends a share of the requests that it took itself and an equal part of the fixed
//! allowance, so that the sum over entries stays within the budget without a message.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::RateWindow;
use crate::ServiceName;

/// Part of the permitted ratio that is spent, leaving room for windows that slide.
const SPENT_SHARE: f64 = 0.8;

/// Bounds of the budget over all entries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Repeats beyond the ratio, over all entries.
    pub slack: f64,
}

#[derive(Debug)]
struct Spending {
    requests: RateWindow,
    repeats: RateWindow,
}

/// Budget of repeats of one entry.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    services: IndexMap<ServiceName, Spending>,
}

impl RetryBudget {
    /// Creates a budget in which nothing is spent.
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            services: IndexMap::new(),
        }
    }

    /// Counts a caller's request.
    pub fn note_request(&mut self, service: &ServiceName, now: Instant) {
        self.spending(service).requests.add(now, 1);
    }

    /// Takes one repeat from the budget and tells whether it was there.
    ///
    /// `entries` is the number of entries that share the allowance.
    pub fn take(&mut self, service: &ServiceName, entries: usize, now: Instant) -> bool {
        let bounds = self.bounds;
        let spending = self.spending(service);
        let requests = spending.requests.sum(now) as f64;
        let share = bounds.slack / entries.max(1) as f64;
        let most = SPENT_SHARE * (bounds.ratio * requests + share);
        if (spending.repeats.sum(now) + 1) as f64 > most {
            return false;
        }
        spending.repeats.add(now, 1);
        true
    }

    fn spending(&mut self, service: &ServiceName) -> &mut Spending {
        let window = self.bounds.window;
        self.services
            .entry(service.clone())
            .or_insert_with(|| Spending {
                requests: RateWindow::new(window),
                repeats: RateWindow::new(window),
            })
    }
}
