//! Requests that crash the endpoints that run them.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::EndpointId;
use crate::Fingerprint;

/// Endpoints that a request may have crashed before it is refused.
const MAX_CRASHES: usize = 3;

/// Time for which a crash is remembered.
const MEMORY: Duration = Duration::from_mins(2);

/// Requests that are remembered.
const MAX_REQUESTS: usize = 512;

#[derive(Debug)]
struct Crashes {
    endpoints: Vec<EndpointId>,
    seen: Instant,
}

/// Endpoints that broke off while they ran a request, by the request's fingerprint.
#[derive(Debug, Default)]
pub struct CrashRecord {
    requests: IndexMap<Fingerprint, Crashes>,
}

impl CrashRecord {
    /// Notes that an endpoint broke off while it ran the request; tells whether that was new.
    pub fn note(&mut self, request: Fingerprint, endpoint: &EndpointId, now: Instant) -> bool {
        self.requests
            .retain(|_, crashes| now.duration_since(crashes.seen) < MEMORY);
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&request) {
            self.requests.shift_remove_index(0);
        }
        let crashes = self.requests.entry(request).or_insert_with(|| Crashes {
            endpoints: Vec::new(),
            seen: now,
        });
        crashes.seen = now;
        if crashes.endpoints.contains(endpoint) {
            return false;
        }
        crashes.endpoints.push(endpoint.clone());
        true
    }

    /// Tells whether the request must not be run again.
    pub fn is_crashing(&self, request: Fingerprint) -> bool {
        let crashes = self.requests.get(&request);
        crashes.is_some_and(|c| c.endpoints.len() >= MAX_CRASHES)
    }

    /// Returns what peers need to know, newest last.
    pub fn to_share(&self, most: usize) -> Vec<(Fingerprint, EndpointId)> {
        let skipped = self.requests.len().saturating_sub(most);
        let requests = self.requests.iter().skip(skipped);
        requests
            .flat_map(|(f, c)| c.endpoints.iter().map(|e| (*f, e.clone())))
            .collect()
    }
}
