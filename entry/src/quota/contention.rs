//! Order of a customer's requests while it asks for more than its quota.
//!
//! First come, first served, a prompt of 19,000 units displaces fifteen short ones that are more urgent, and
//! short requests that come all the time keep the bucket too low for any long one. While requests are refused,
//! short ones go first therefore, and a quarter of the rate is held for long ones. Refused requests get retry
//! times that are spread over the backlog: with the time until this one request would fit, hundreds of callers
//! return at the same moment.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::Quota;

/// Multiple of the customer's mean size above which a request is long.
const LONG_FACTOR: f64 = 2.0;

/// Weight of the newest request in the mean size.
const MEAN_SMOOTHING_FACTOR: f64 = 0.02;

/// Part of the rate that is held for long requests while some are refused.
const LONG_SHARE: f64 = 0.25;

/// Time after its last refusal for which a kind of request counts as waiting.
const WAITING_PERIOD: Duration = Duration::from_secs(1);

/// Maximum time between the next moment at which the request would fit and its retry time.
const MAX_SPREAD: Duration = Duration::from_secs(5);

/// Step between the retry times of requests beyond [`MAX_SPREAD`], as a fraction of its second half. Multiples of
/// the golden ratio are spread evenly, however many there are.
const SPREAD_STEP: f64 = 0.618_034;

/// Units of refused requests that have been given a retry time in the future.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaBacklog {
    /// Units of short requests.
    pub short: f64,
    /// Units of long requests.
    pub long: f64,
}

impl QuotaBacklog {
    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.short <= 0.0 && self.long <= 0.0
    }

    /// Returns the larger backlog of each kind.
    pub(super) fn max(self, other: Self) -> Self {
        Self {
            short: self.short.max(other.short),
            long: self.long.max(other.long),
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Size {
    Short,
    Long,
}

/// State of the order of one customer's requests.
#[derive(Debug, Default)]
pub(super) struct Contention {
    mean_units: Option<f64>,
    /// When a short request was last refused.
    short_refused: Option<Instant>,
    /// When a long request was last refused.
    long_refused: Option<Instant>,
    /// Units of the bucket that are held for long requests.
    held: f64,
    /// Units of the longest request that waits for them.
    held_goal: f64,
    backlog: QuotaBacklog,
    updated_at: Option<Instant>,
    /// Number of retry times given beyond [`MAX_SPREAD`].
    spread_count: u32,
}

impl Contention {
    /// Returns the time after which a request may be admitted from a bucket with a level; `None` if it is
    /// admitted now.
    pub(super) fn decide(
        &mut self,
        units: f64,
        level: f64,
        quota: Quota,
        now: Instant,
    ) -> Option<Duration> {
        self.update(quota, now);
        let size = self.classify(units);
        // A request larger than the burst is admitted from a full bucket.
        let needed = units.min(quota.capacity());
        let available = match size {
            Size::Short => level - self.held,
            Size::Long if self.waits(Size::Short, now) => level.min(self.held),
            Size::Long => level,
        };
        if available >= needed {
            if size == Size::Long {
                self.held = (self.held - units).max(0.0);
            }
            return None;
        }
        self.record_refusal(size, needed, now);
        Some(self.retry_time(size, needed, needed - available, quota, now))
    }

    /// Returns the backlog as of the last decision.
    pub(super) const fn backlog(&self) -> QuotaBacklog {
        self.backlog
    }

    /// Takes over the backlog of the customer's owner.
    pub(super) fn merge_backlog(&mut self, backlog: QuotaBacklog) {
        self.backlog = self.backlog.max(backlog);
    }

    /// Works off the backlog, and holds units for long requests if some wait.
    fn update(&mut self, quota: Quota, now: Instant) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(updated_at).as_secs_f64();
        let short = elapsed * self.rate_of(Size::Short, quota, now);
        let long = elapsed * self.rate_of(Size::Long, quota, now);
        self.backlog.short = (self.backlog.short - short).max(0.0);
        self.backlog.long = (self.backlog.long - long).max(0.0);
        if self.waits(Size::Long, now) {
            let held = self.held + elapsed * quota.rate * LONG_SHARE;
            self.held = held.min(self.held_goal);
        } else {
            self.held = 0.0;
            self.held_goal = 0.0;
        }
    }

    fn classify(&mut self, units: f64) -> Size {
        let mean = self.mean_units.unwrap_or(units);
        self.mean_units = Some(mean + MEAN_SMOOTHING_FACTOR * (units - mean));
        if units > mean * LONG_FACTOR {
            Size::Long
        } else {
            Size::Short
        }
    }

    fn waits(&self, size: Size, now: Instant) -> bool {
        let refused = match size {
            Size::Short => self.short_refused,
            Size::Long => self.long_refused,
        };
        refused.is_some_and(|at| now.saturating_duration_since(at) < WAITING_PERIOD)
    }

    /// Returns the rate at which requests of a size are admitted while they wait.
    fn rate_of(&self, size: Size, quota: Quota, now: Instant) -> f64 {
        match size {
            Size::Short if self.waits(Size::Long, now) => quota.rate * (1.0 - LONG_SHARE),
            Size::Long if self.waits(Size::Short, now) => quota.rate * LONG_SHARE,
            Size::Short | Size::Long => quota.rate,
        }
    }

    fn record_refusal(&mut self, size: Size, needed: f64, now: Instant) {
        match size {
            Size::Short => self.short_refused = Some(now),
            Size::Long => {
                self.long_refused = Some(now);
                self.held_goal = self.held_goal.max(needed);
            }
        }
    }

    /// Returns the time after which a refused request is to be sent again, and adds it to the backlog.
    fn retry_time(
        &mut self,
        size: Size,
        needed: f64,
        missing: f64,
        quota: Quota,
        now: Instant,
    ) -> Duration {
        let rate = self.rate_of(size, quota, now);
        let backlog = match size {
            Size::Short => &mut self.backlog.short,
            Size::Long => &mut self.backlog.long,
        };
        let fits_after = missing / quota.rate;
        let spread = *backlog / rate;
        let wait = if spread <= MAX_SPREAD.as_secs_f64() {
            *backlog += needed;
            fits_after + spread
        } else {
            self.spread_count = self.spread_count.wrapping_add(1);
            let fraction = (f64::from(self.spread_count) * SPREAD_STEP).fract();
            fits_after + MAX_SPREAD.as_secs_f64() * (0.5 + fraction / 2.0)
        };
        Duration::from_secs_f64(wait.clamp(0.0, 60.0))
    }
}
