//! Clock that keeps running while the VM is suspended, and the wall clock.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::Timespec;

/// Time since the VM started, including suspensions.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootTime(pub Duration);

impl BootTime {
    /// Returns the current time.
    pub fn now() -> Self {
        rustix::time::clock_gettime(rustix::time::ClockId::Boottime).into()
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this time.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time in milliseconds, rounded down.
    pub fn millis(self) -> u64 {
        millis(self.0)
    }
}

impl From<Timespec> for BootTime {
    fn from(time: Timespec) -> Self {
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanos))
    }
}

/// Returns for how long the VM has been suspended since it started.
pub fn suspended_time() -> Duration {
    let steady = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    BootTime::now().since(BootTime::from(steady))
}

/// Converts a duration to milliseconds, rounded down and saturating at `u64::MAX`.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the VM's wall-clock time in milliseconds since the Unix epoch; it may jump.
pub fn wall_millis() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    millis(wall.unwrap_or_default())
}
