//! Warm-up of endpoints: a cold endpoint takes a stated number of requests a second from all entries
//! together, and crashes well above it.
//!
//! An endpoint is cold for a time after its start and whenever its record says so. Requests are sent to
//! it only with a permit of the owner of its limits. This is kept apart from the limits that endpoints
//! state in their responses, which end with the first response that states none.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::Config;
use crate::Endpoint;
use crate::EndpointRecord;
use crate::EndpointTable;
use crate::RateLimit;
use crate::ServiceName;
use crate::duration_from_secs;
use crate::wall_millis;

/// Difference of the end of a warm-up between two records below which they say the same; the time that
/// a record takes to arrive varies by less.
const END_TOLERANCE: Duration = Duration::from_millis(500);

/// Longest warm-up that counts, so that a malformed statement does not bind the entries for days.
const MAX_WARM_UP: Duration = Duration::from_hours(1);

/// Warm-up of a service's endpoints.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct WarmUp {
    /// Time after a start for which an endpoint is cold.
    pub period: Duration,
    /// Requests that a cold endpoint takes from all entries together.
    pub rate: RateLimit,
}

impl WarmUp {
    /// Creates a warm-up; `None` without a valid rate.
    pub fn new(period_s: Option<f64>, per_second: Option<f64>) -> Option<Self> {
        Some(Self {
            period: duration_from_secs(period_s.unwrap_or_default()),
            rate: RateLimit::new(per_second?)?,
        })
    }
}

/// Limit of an endpoint that is cold.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdLimit {
    /// Requests that the endpoint takes from all entries together.
    pub rate: RateLimit,
    /// Time for which the endpoint stays cold, in milliseconds.
    pub left_ms: u64,
}

/// Warm-ups of the services, with the start of this process.
#[derive(Debug, Default)]
pub(crate) struct WarmUps {
    services: IndexMap<ServiceName, WarmUp>,
    /// Start of this process, in milliseconds since the Unix epoch. Endpoints that started before it
    /// may have been warm for long, and are cold only if they say so.
    process_start_ms: u64,
}

impl WarmUps {
    /// Returns until when an endpoint is cold by its first record, which arrives at `now`, when the wall
    /// clock reads `wall_ms`; `None` if it is not.
    pub(crate) fn cold_until(
        &self,
        record: &EndpointRecord,
        now: Instant,
        wall_ms: u64,
    ) -> Option<Instant> {
        let left = record.warm_up.min(MAX_WARM_UP);
        let left = left.max(self.start_left(record, wall_ms));
        (!left.is_zero()).then(|| now + left)
    }

    /// Returns the rest of the warm-up after a start that was observed.
    fn start_left(&self, record: &EndpointRecord, wall_ms: u64) -> Duration {
        let warm_up = self.services.get(&record.service);
        let Some(warm_up) = warm_up.filter(|_| record.incarnation >= self.process_start_ms) else {
            return Duration::ZERO;
        };
        // An endpoint whose clock is ahead has just started.
        let age = Duration::from_millis(wall_ms.saturating_sub(record.incarnation));
        warm_up.period.min(MAX_WARM_UP).saturating_sub(age)
    }
}

impl EndpointTable {
    /// Applies the warm-ups of a configuration, also to endpoints that are known already, in a process
    /// that started at `process_start_ms`.
    pub(crate) fn apply_warm_ups(&mut self, config: &Config, process_start_ms: u64, now: Instant) {
        let services = config.services.values();
        let warm_ups = services.filter_map(|s| Some((s.name.clone(), s.warm_up?)));
        let services: IndexMap<ServiceName, WarmUp> = warm_ups.collect();
        if services == self.warm_ups.services {
            return;
        }
        let wall_ms = wall_millis();
        let warm_ups = WarmUps {
            services,
            process_start_ms,
        };
        for endpoint in self.iter_mut() {
            let left = warm_ups.start_left(&endpoint.record, wall_ms);
            if !left.is_zero() {
                endpoint.cold_until = endpoint.cold_until.max(Some(now + left));
            }
        }
        self.warm_ups = warm_ups;
    }

    /// Returns the limit of an endpoint that is cold; `None` if it is warm or its service has no
    /// warm-up.
    pub fn cold_limit(&self, endpoint: &Endpoint, now: Instant) -> Option<ColdLimit> {
        let left = endpoint.cold_until?.saturating_duration_since(now);
        let warm_up = self.warm_ups.services.get(&endpoint.record.service)?;
        (!left.is_zero()).then(|| ColdLimit {
            rate: warm_up.rate,
            left_ms: crate::millis(left).saturating_add(1),
        })
    }
}

impl Endpoint {
    /// Applies what a record or a peer says of how long the endpoint stays cold.
    pub(crate) fn extend_warm_up(&mut self, left: Duration, now: Instant) {
        if !left.is_zero() {
            self.cold_until = self.cold_until.max(Some(now + left.min(MAX_WARM_UP)));
        }
    }

    /// Returns whether a record says that the endpoint stays cold for longer than is known.
    pub fn is_warm_up_extended(&self, record: &EndpointRecord, now: Instant) -> bool {
        let stated = now + record.warm_up.min(MAX_WARM_UP);
        let known = self.cold_until.unwrap_or(now);
        !record.warm_up.is_zero() && known + END_TOLERANCE < stated
    }
}
