//! Requests in progress at a gate, by endpoint.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::EndpointName;

/// Counts of requests in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    counts: Arc<Mutex<IndexMap<EndpointName, usize>>>,
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    counts: InFlight,
    endpoint: EndpointName,
}

impl InFlight {
    /// Returns the requests in progress on an endpoint.
    pub(crate) fn on(&self, endpoint: &EndpointName) -> usize {
        self.counts.lock().get(endpoint).copied().unwrap_or(0)
    }

    /// Counts a request on an endpoint until the guard is dropped.
    pub(crate) fn enter(&self, endpoint: &EndpointName) -> InFlightGuard {
        *self.counts.lock().entry(endpoint.clone()).or_default() += 1;
        InFlightGuard {
            counts: self.clone(),
            endpoint: endpoint.clone(),
        }
    }

    /// Returns all requests in progress over `limit`, in thousandths.
    pub(crate) fn load(&self, limit: usize) -> u32 {
        let total: usize = self.counts.lock().values().sum();
        u32::try_from(total * 1000 / limit.max(1)).unwrap_or(u32::MAX)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.counts.counts.lock();
        if let Some(count) = counts.get_mut(&self.endpoint) {
            *count -= 1;
            if *count == 0 {
                counts.swap_remove(&self.endpoint);
            }
        }
    }
}
