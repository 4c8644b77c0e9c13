//! Counts the requests in progress at a gate, by endpoint.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::EndpointName;

/// Number of requests in progress, by endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    counts: Arc<Mutex<IndexMap<EndpointName, usize>>>,
}

/// Guard that counts one request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    in_flight: InFlight,
    endpoint: EndpointName,
}

impl InFlight {
    /// Returns the number of requests in progress at an endpoint.
    pub(crate) fn count(&self, endpoint: &EndpointName) -> usize {
        self.counts.lock().get(endpoint).copied().unwrap_or(0)
    }

    /// Counts a request at an endpoint until the guard is dropped.
    pub(crate) fn enter(&self, endpoint: &EndpointName) -> InFlightGuard {
        *self.counts.lock().entry(endpoint.clone()).or_default() += 1;
        InFlightGuard {
            in_flight: self.clone(),
            endpoint: endpoint.clone(),
        }
    }

    /// Returns the ratio of all requests in progress to `limit`, in thousandths.
    pub(crate) fn load_permille(&self, limit: usize) -> u32 {
        let total: usize = self.counts.lock().values().sum();
        u32::try_from(total * 1000 / limit.max(1)).unwrap_or(u32::MAX)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.in_flight.counts.lock();
        if let Some(count) = counts.get_mut(&self.endpoint) {
            *count -= 1;
            if *count == 0 {
                counts.swap_remove(&self.endpoint);
            }
        }
    }
}
