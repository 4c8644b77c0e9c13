//! Wall-clock timestamps computed from the async runtime's monotonic clock.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// Milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the timestamp `duration` after this one, saturating at the maximum.
    pub fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(millis(duration)))
    }

    /// Returns the time elapsed from `earlier` to this timestamp, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Converts a duration to whole milliseconds, rounding down and saturating at [`u64::MAX`].
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Wall clock that reads the system time once and then follows the runtime's clock.
///
/// Tests pause and advance the runtime's clock, and the wall time follows it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_time: Timestamp,
}

impl Clock {
    /// Creates a clock that starts at the system's current wall time.
    pub fn from_system_time() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            start_time: Timestamp(millis(wall)),
        }
    }

    /// Creates a clock that starts at the given wall time.
    pub fn starting_at(wall: Timestamp) -> Self {
        Self {
            start: Instant::now(),
            start_time: wall,
        }
    }

    /// Returns the current wall time.
    pub fn now(&self) -> Timestamp {
        self.start_time.plus(self.start.elapsed())
    }
}
