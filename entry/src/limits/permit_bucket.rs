//! Permits to send requests to one endpoint that has stated a rate limit.
//!
//! The entry that owns an endpoint's limit keeps a token bucket for it and grants permits to all
//! entries. The bucket starts empty, since requests sent before it existed count towards the limit
//! as well.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::EndpointProcess;
use crate::duration_from_secs;

/// Maximum time between two permits: an endpoint with a lower limit, or one that takes no requests,
/// gets a request now and then, since only a response can show that its limit has ended.
const MAX_PERMIT_INTERVAL: Duration = Duration::from_mins(1);

/// Time over which unused permits add up, beyond a single one.
const MAX_BURST_TIME: Duration = Duration::from_millis(500);

/// Maximum time by which those that are turned away are told to come later than the next permit, so
/// that they do not all come at the same moment.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(5);

/// Minimum time that a request that is turned away waits.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Time without requests after which a bucket is removed.
const IDLE_RETENTION: Duration = Duration::from_mins(2);

/// Tolerance for rounding when a permit is taken at the time at which it was announced.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Decision on a request for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The request may be sent now.
    Granted,
    /// The request may not be sent; the next try is due after this time.
    After(Duration),
}

/// Token bucket of one endpoint's permits.
#[derive(Debug)]
pub struct PermitBucket {
    level: f64,
    /// Requests that were turned away and have not come to their turn yet.
    turned_away: f64,
    refilled_at: Instant,
}

impl PermitBucket {
    /// Creates an empty bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            level: 0.0,
            turned_away: 0.0,
            refilled_at: now,
        }
    }

    /// Takes a permit if there is one at a rate of permits per second.
    pub fn take(&mut self, rate: f64, now: Instant) -> Permit {
        let rate = rate.max(1.0 / MAX_PERMIT_INTERVAL.as_secs_f64());
        self.refill(rate, now);
        if self.level >= 1.0 - ROUNDING_TOLERANCE {
            self.level -= 1.0;
            return Permit::Granted;
        }
        let wait = (1.0 - self.level + self.turned_away) / rate;
        let max_queue = rate * MAX_QUEUE_TIME.as_secs_f64();
        self.turned_away = (self.turned_away + 1.0).min(max_queue);
        Permit::After(duration_from_secs(wait).max(MIN_WAIT))
    }

    fn refill(&mut self, rate: f64, now: Instant) {
        let added = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64()
            * rate;
        let capacity = 1.0 + rate * MAX_BURST_TIME.as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + added).min(capacity);
        self.turned_away = (self.turned_away - added).max(0.0);
    }
}

/// Buckets of the endpoints whose limits an entry owns.
#[derive(Debug, Default)]
pub struct PermitLedger {
    buckets: IndexMap<EndpointProcess, PermitBucket>,
    /// Buckets of cold endpoints, which are apart from those of stated limits: both apply.
    cold: IndexMap<EndpointProcess, PermitBucket>,
}

impl PermitLedger {
    /// Takes a permit for an endpoint process, as in [`PermitBucket::take`].
    pub fn take(&mut self, process: EndpointProcess, rate: f64, now: Instant) -> Permit {
        let bucket = self.buckets.entry(process);
        bucket
            .or_insert_with(|| PermitBucket::new(now))
            .take(rate, now)
    }

    /// Takes a permit for a cold endpoint process, as in [`PermitBucket::take`].
    pub fn take_cold(&mut self, process: EndpointProcess, rate: f64, now: Instant) -> Permit {
        let bucket = self.cold.entry(process);
        bucket
            .or_insert_with(|| PermitBucket::new(now))
            .take(rate, now)
    }

    /// Removes buckets that have not been used for long.
    pub fn remove_idle(&mut self, now: Instant) {
        let idle = |b: &PermitBucket| now.saturating_duration_since(b.refilled_at);
        self.buckets
            .retain(|_, bucket| idle(bucket) < IDLE_RETENTION);
        self.cold.retain(|_, bucket| idle(bucket) < IDLE_RETENTION);
    }
}
