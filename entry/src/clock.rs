//! Time that goes on while the VM is suspended.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Time since the VM started, including suspensions.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootTime(pub Duration);

impl BootTime {
    /// Reads the clock.
    pub fn now() -> Self {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanos))
    }

    /// Returns the time from `earlier` to this time, zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time in whole milliseconds.
    pub fn millis(self) -> u64 {
        millis(self.0)
    }
}

/// Returns a duration in whole milliseconds.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the VM's time of day in milliseconds since 1970; it may jump.
pub fn wall_millis() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    millis(wall.unwrap_or_default())
}
