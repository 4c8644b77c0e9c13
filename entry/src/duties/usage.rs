//! Counts of the requests that endpoints responded to, by time window and customer.
//!
//! A request counts when its complete response, or the first event of its stream, has arrived.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::CustomerName;

/// Number of windows before the newest one whose counts are kept.
const RETAINED_WINDOWS: u64 = 8;

/// Number of a window: synchronized time since the Unix epoch divided by the length of a window.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct WindowIndex(pub u64);

/// Number of requests in one window, by customer.
pub type UsageCounts = IndexMap<CustomerName, u64>;

/// Usage counted by one entry, by window.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Usage {
    windows: IndexMap<WindowIndex, UsageCounts>,
}

impl Usage {
    /// Counts a request that an endpoint responded to, and discards windows that are too old.
    pub fn record(&mut self, window: WindowIndex, customer: &CustomerName) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(customer.clone()).or_default() += 1;
        let oldest = WindowIndex(window.0.saturating_sub(RETAINED_WINDOWS));
        self.windows.retain(|w, _| *w >= oldest);
    }

    /// Returns the counts of the newest `count` windows.
    pub fn newest(&self, count: usize) -> Self {
        let mut windows = self.windows.clone();
        windows.sort_unstable_keys();
        let skipped = windows.len().saturating_sub(count);
        Self {
            windows: windows.split_off(skipped),
        }
    }

    /// Returns whether there are no counts.
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty()
    }

    /// Raises each count to that of `other`, an older or newer version of the same counts.
    pub fn raise_to(&mut self, other: &Self) {
        for (window, counts) in &other.windows {
            let own = self.windows.entry(*window).or_default();
            for (customer, count) in counts {
                let known = own.entry(customer.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
        self.discard_old();
    }

    /// Adds all counts of `other` and discards windows that are too old.
    pub fn merge(&mut self, other: &Self) {
        for (window, counts) in &other.windows {
            let own = self.windows.entry(*window).or_default();
            for (customer, count) in counts {
                *own.entry(customer.clone()).or_default() += count;
            }
        }
        self.discard_old();
    }

    fn discard_old(&mut self) {
        let newest = self.windows.keys().max().copied().unwrap_or_default();
        let oldest = WindowIndex(newest.0.saturating_sub(RETAINED_WINDOWS));
        self.windows.retain(|w, _| *w >= oldest);
    }

    /// Adds the counts of one window to `sum`.
    pub fn add_to(&self, window: WindowIndex, sum: &mut UsageCounts) {
        for (customer, count) in self.windows.get(&window).into_iter().flatten() {
            *sum.entry(customer.clone()).or_default() += count;
        }
    }
}
