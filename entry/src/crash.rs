//! Detection of requests that crash the endpoints on which they run.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::EndpointId;
use crate::Fingerprint;

/// Number of endpoint processes that a request must have crashed to be refused.
const CRASH_THRESHOLD: usize = 3;

/// Time after a request's last new crash for which its crashes count.
const CRASH_RETENTION: Duration = Duration::from_mins(2);

/// Maximum number of tracked requests; beyond it, the one tracked for longest is dropped.
const MAX_TRACKED_REQUESTS: usize = 512;

#[derive(Debug)]
struct RequestCrashes {
    endpoints: Vec<EndpointCrash>,
    last_crash: Instant,
}

#[derive(Debug)]
struct EndpointCrash {
    endpoint: EndpointId,
    /// Incarnation of the endpoint; `None` if a peer did not report it.
    incarnation: Option<u64>,
    source: Source,
}

/// Who saw an endpoint fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    Own,
    Peer,
}

/// Endpoints that failed while they ran a request, by the request's fingerprint.
#[derive(Debug, Default)]
pub struct CrashTracker {
    requests: IndexMap<Fingerprint, RequestCrashes>,
}

impl CrashTracker {
    /// Records that an endpoint failed while it ran the request.
    ///
    /// Returns whether that was not yet known.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        endpoint: &EndpointId,
        incarnation: u64,
        now: Instant,
    ) -> bool {
        self.record(request, endpoint, Some(incarnation), Source::Own, now)
    }

    /// Records that a peer saw an endpoint fail while it ran the request.
    ///
    /// Returns whether that was not yet known. It is not passed on, as the peer's own state reaches
    /// every entry.
    pub fn record_peer_crash(
        &mut self,
        request: Fingerprint,
        endpoint: &EndpointId,
        incarnation: Option<u64>,
        now: Instant,
    ) -> bool {
        self.record(request, endpoint, incarnation, Source::Peer, now)
    }

    fn record(
        &mut self,
        request: Fingerprint,
        endpoint: &EndpointId,
        incarnation: Option<u64>,
        source: Source,
        now: Instant,
    ) -> bool {
        self.requests.retain(|_, crashes| crashes.is_live(now));
        if self.requests.len() >= MAX_TRACKED_REQUESTS && !self.requests.contains_key(&request) {
            self.requests.shift_remove_index(0);
        }
        let crashes = self
            .requests
            .entry(request)
            .or_insert_with(|| RequestCrashes {
                endpoints: Vec::new(),
                last_crash: now,
            });
        let is_same_incarnation =
            |known: Option<u64>| known.is_none() || incarnation.is_none() || known == incarnation;
        let mut known = crashes.endpoints.iter();
        if known.any(|c| c.endpoint == *endpoint && is_same_incarnation(c.incarnation)) {
            return false;
        }
        crashes.last_crash = now;
        crashes.endpoints.push(EndpointCrash {
            endpoint: endpoint.clone(),
            incarnation,
            source,
        });
        true
    }

    /// Returns whether the request crashed too many endpoints to be run again.
    pub fn is_crashing(&self, request: Fingerprint, now: Instant) -> bool {
        let crashes = self.requests.get(&request);
        crashes.is_some_and(|c| c.is_live(now) && c.endpoints.len() >= CRASH_THRESHOLD)
    }

    /// Returns the crashes that this entry saw itself of at most `max_requests` requests, to be sent to
    /// peers, each with the endpoint and its incarnation: of those with the most crashes, and among them
    /// of those recorded last.
    pub fn recent_crashes(
        &self,
        max_requests: usize,
        now: Instant,
    ) -> Vec<(Fingerprint, EndpointId, u64)> {
        let requests = self.requests.iter().rev();
        let mut requests: Vec<_> = requests
            .filter(|(_, c)| c.is_live(now) && c.own().next().is_some())
            .collect();
        requests.sort_by_key(|(_, c)| Reverse(c.endpoints.len()));
        requests.truncate(max_requests);
        requests
            .into_iter()
            .flat_map(|(f, c)| c.own().map(move |crash| (f, crash)))
            .map(|(f, crash)| (*f, crash.endpoint.clone(), crash.incarnation.unwrap_or(0)))
            .collect()
    }
}

impl RequestCrashes {
    /// Returns whether the crashes still count.
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_crash) < CRASH_RETENTION
    }

    /// Returns the crashes that this entry saw itself.
    fn own(&self) -> impl Iterator<Item = &EndpointCrash> {
        let crashes = self.endpoints.iter();
        crashes.filter(|crash| crash.source == Source::Own)
    }
}
