//! Permits to send requests to brittle endpoints, which fall over when they reject too many.
//!
//! The entry that owns a brittle endpoint's limit counts the requests of all entries that run there, and
//! grants no more than the endpoint has slots. An endpoint may be short of memory with slots to spare.
//! Requests that may still be rejected, and those that were, therefore do not exceed what it survives
//! either.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::EndpointProcess;
use crate::Permit;

/// Time from the permit after which a request that was not rejected is taken for accepted.
const ACCEPTANCE_TIME: Duration = Duration::from_millis(150);

/// Time for which rejections count: the endpoint's own second, and what passes until the owner is told.
const REJECTION_PERIOD: Duration = Duration::from_millis(1250);

/// Share of the rejections that the endpoint survives that are risked.
const RISKED_SHARE: f64 = 0.75;

/// Share of the slots up to which requests are not expected to be rejected.
const SAFE_SHARE: f64 = 0.5;

/// Time after which a request that found all slots taken is tried again.
const FULL_WAIT: Duration = Duration::from_millis(50);

/// Time without requests after which what is known of an endpoint is forgotten.
const IDLE_RETENTION: Duration = Duration::from_mins(2);

/// A request that asks for a permit.
#[derive(Clone, Copy, Debug)]
pub struct CountedRun {
    /// Rejections per second that the endpoint survives.
    pub max_rejections: f64,
    /// Number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Time after which the request has ended, if its end is not reported.
    pub ends_at: Instant,
}

/// Requests at one brittle endpoint.
#[derive(Debug)]
struct BrittleEndpoint {
    /// Latest ends of the requests that run.
    running: Vec<Instant>,
    /// Times of the permits whose requests may still be rejected.
    undecided: VecDeque<Instant>,
    rejected: VecDeque<Instant>,
    known_since: Instant,
    used_at: Instant,
}

impl BrittleEndpoint {
    const fn new(now: Instant) -> Self {
        Self {
            running: Vec::new(),
            undecided: VecDeque::new(),
            rejected: VecDeque::new(),
            known_since: now,
            used_at: now,
        }
    }

    fn take(&mut self, run: CountedRun, now: Instant) -> Permit {
        self.used_at = now;
        self.remove_expired(now);
        if self.running.len() >= run.slots as usize {
            return Permit::After(FULL_WAIT);
        }
        let safe = f64::from(run.slots) * SAFE_SHARE;
        let is_safe = self.running.len() as f64 <= safe && self.rejected.is_empty();
        if !is_safe && let Some(wait) = self.risk_wait(run.max_rejections, now) {
            return Permit::After(wait);
        }
        self.running.push(run.ends_at);
        self.undecided.push_back(now);
        Permit::Granted
    }

    /// Returns the time until another rejection can be risked; `None` if it can be now.
    fn risk_wait(&self, max_rejections: f64, now: Instant) -> Option<Duration> {
        let is_new = now.duration_since(self.known_since) < REJECTION_PERIOD;
        let risked = if is_new {
            // Another owner may have seen rejections just before.
            1
        } else {
            ((max_rejections * RISKED_SHARE) as usize).max(1)
        };
        if self.undecided.len() + self.rejected.len() < risked {
            return None;
        }
        let decided = self.undecided.front().map(|at| *at + ACCEPTANCE_TIME);
        let expired = self.rejected.front().map(|at| *at + REJECTION_PERIOD);
        let next = decided.into_iter().chain(expired).min()?;
        Some(next.saturating_duration_since(now))
    }

    fn record_end(&mut self, is_rejected: bool, now: Instant) {
        // Which of the requests has ended does not matter much: the ends are upper bounds.
        self.running.pop();
        if is_rejected {
            self.undecided.pop_front();
            self.rejected.push_back(now);
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        self.running.retain(|end| now < *end);
        self.undecided
            .retain(|at| now.duration_since(*at) < ACCEPTANCE_TIME);
        self.rejected
            .retain(|at| now.duration_since(*at) < REJECTION_PERIOD);
    }
}

/// Requests at the brittle endpoints whose limits an entry owns.
#[derive(Debug, Default)]
pub struct BrittleLedger {
    endpoints: IndexMap<EndpointProcess, BrittleEndpoint>,
}

impl BrittleLedger {
    /// Takes a permit to send one request to an endpoint process.
    pub fn take(&mut self, process: EndpointProcess, run: CountedRun, now: Instant) -> Permit {
        let endpoint = self.endpoints.entry(process);
        endpoint
            .or_insert_with(|| BrittleEndpoint::new(now))
            .take(run, now)
    }

    /// Records that a request ended, and whether it was rejected for want of room.
    pub fn record_end(&mut self, process: EndpointProcess, is_rejected: bool, now: Instant) {
        let endpoint = self.endpoints.entry(process);
        endpoint
            .or_insert_with(|| BrittleEndpoint::new(now))
            .record_end(is_rejected, now);
    }

    /// Forgets endpoints that have not been used for long.
    pub fn remove_idle(&mut self, now: Instant) {
        self.endpoints
            .retain(|_, e| now.duration_since(e.used_at) < IDLE_RETENTION);
    }
}
