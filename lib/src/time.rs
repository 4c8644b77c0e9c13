//! Wall-clock timestamps derived from the runtime's clock.

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
    /// Returns this time moved later by `span`.
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// Returns the time from `earlier` to this time, zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Returns a duration in whole milliseconds.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// The runtime's clock, anchored once to wall time.
///
/// Tests pause and advance the runtime's clock; the anchor keeps both in step.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    wall: Timestamp,
}

impl Clock {
    /// Anchors the runtime's clock to the system's wall time.
    pub fn anchored() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            anchor: Instant::now(),
            wall: Timestamp(millis(wall)),
        }
    }

    /// Anchors the runtime's clock to a stated wall time.
    pub fn anchored_at(wall: Timestamp) -> Self {
        Self {
            anchor: Instant::now(),
            wall,
        }
    }

    /// Returns the current wall time.
    pub fn now(&self) -> Timestamp {
        self.wall.plus(self.anchor.elapsed())
    }
}
