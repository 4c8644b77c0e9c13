//! Counts of the requests that began to run, by window of true time and customer.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::CustomerName;

/// Windows that are kept.
const KEPT_WINDOWS: u64 = 8;

/// Number of a window: true time since 1970 divided by the window's length.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct WindowIndex(pub u64);

/// Requests of one window, by customer.
pub type UsageCounts = IndexMap<CustomerName, u64>;

/// Usage that one entry has seen.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Usage {
    windows: IndexMap<WindowIndex, UsageCounts>,
}

impl Usage {
    /// Counts a request that began to run.
    pub fn note(&mut self, window: WindowIndex, customer: &CustomerName) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(customer.clone()).or_default() += 1;
        let oldest = WindowIndex(window.0.saturating_sub(KEPT_WINDOWS));
        self.windows.retain(|w, _| *w >= oldest);
    }

    /// Returns the counts of the newest windows.
    pub fn newest(&self, count: usize) -> Self {
        let mut windows = self.windows.clone();
        windows.sort_unstable_keys();
        let skipped = windows.len().saturating_sub(count);
        Self {
            windows: windows.split_off(skipped),
        }
    }

    /// Adds all counts of another record.
    pub fn merge(&mut self, other: &Self) {
        for (window, counts) in &other.windows {
            let own = self.windows.entry(*window).or_default();
            for (customer, count) in counts {
                *own.entry(customer.clone()).or_default() += count;
            }
        }
        let newest = self.windows.keys().max().copied().unwrap_or_default();
        let oldest = WindowIndex(newest.0.saturating_sub(KEPT_WINDOWS));
        self.windows.retain(|w, _| *w >= oldest);
    }

    /// Adds the counts of a window to a sum.
    pub fn add_to(&self, window: WindowIndex, sum: &mut UsageCounts) {
        for (customer, count) in self.windows.get(&window).into_iter().flatten() {
            *sum.entry(customer.clone()).or_default() += count;
        }
    }
}
