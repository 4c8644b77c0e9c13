//! Detection of requests that crash the endpoints on which they run.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::EndpointId;
use crate::Fingerprint;

/// Number of endpoint processes that a request must have crashed to be refused.
const CRASH_THRESHOLD: usize = 3;

/// Time after a request's last new crash for which its crashes count, and for which peers' reports
/// of an endpoint whose crashes were forgotten are ignored.
const CRASH_RETENTION: Duration = Duration::from_mins(2);

/// Maximum number of tracked requests; beyond it, the one tracked for longest is dropped.
const MAX_TRACKED_REQUESTS: usize = 512;

#[derive(Debug, Default)]
struct RequestCrashes {
    endpoints: Vec<EndpointCrash>,
}

#[derive(Debug)]
struct EndpointCrash {
    endpoint: EndpointId,
    /// Incarnation of the endpoint; `None` if a peer did not report it.
    incarnation: Option<u64>,
    source: Source,
    at: Instant,
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
    /// Endpoints whose crashes were forgotten, each with the incarnation and the time.
    forgotten: IndexMap<EndpointId, (u64, Instant)>,
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
    /// Returns whether that counts and was not yet known. It is not passed on, as the peer's own
    /// state reaches every entry.
    pub fn record_peer_crash(
        &mut self,
        request: Fingerprint,
        endpoint: &EndpointId,
        incarnation: Option<u64>,
        now: Instant,
    ) -> bool {
        !self.is_forgotten(endpoint, incarnation, now)
            && self.record(request, endpoint, incarnation, Source::Peer, now)
    }

    /// Forgets the crashes of an incarnation of an endpoint, also those that peers still report.
    pub(crate) fn forget_crashes(&mut self, endpoint: &EndpointId, incarnation: u64, now: Instant) {
        self.forgotten.retain(|_, (_, at)| is_recent(*at, now));
        self.forgotten.insert(endpoint.clone(), (incarnation, now));
        for crashes in self.requests.values_mut() {
            let crashes = &mut crashes.endpoints;
            crashes.retain(|crash| !crash.is_of(endpoint, Some(incarnation)));
        }
    }

    /// Returns whether an endpoint's crashes were forgotten so lately that peers may still report
    /// them.
    fn is_forgotten(&self, endpoint: &EndpointId, incarnation: Option<u64>, now: Instant) -> bool {
        let forgotten = self.forgotten.get(endpoint);
        forgotten.is_some_and(|(known, at)| {
            is_recent(*at, now) && is_same_incarnation(Some(*known), incarnation)
        })
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
        let crashes = self.requests.entry(request).or_default();
        let mut known = crashes.endpoints.iter();
        if known.any(|crash| crash.is_of(endpoint, incarnation)) {
            return false;
        }
        crashes.endpoints.push(EndpointCrash {
            endpoint: endpoint.clone(),
            incarnation,
            source,
            at: now,
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
        let mut crashes = self.endpoints.iter();
        crashes.any(|crash| is_recent(crash.at, now))
    }

    /// Returns the crashes that this entry saw itself.
    fn own(&self) -> impl Iterator<Item = &EndpointCrash> {
        let crashes = self.endpoints.iter();
        crashes.filter(|crash| crash.source == Source::Own)
    }
}

impl EndpointCrash {
    /// Returns whether an endpoint crashed, and not another incarnation of it.
    fn is_of(&self, endpoint: &EndpointId, incarnation: Option<u64>) -> bool {
        self.endpoint == *endpoint && is_same_incarnation(self.incarnation, incarnation)
    }
}

/// Returns whether two incarnations of an endpoint are the same, as far as both are known.
fn is_same_incarnation(first: Option<u64>, second: Option<u64>) -> bool {
    first.is_none() || second.is_none() || first == second
}

/// Returns whether a time is so recent that a crash then still counts.
fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < CRASH_RETENTION
}
