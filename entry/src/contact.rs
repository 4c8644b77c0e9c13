//! For how long an entry has been in contact with its peers.
//!
//! An entry that was frozen or cut off is taken for gone by its peers, and it does not know what has
//! changed. Once it is back, it takes them a while to learn of it, as with an entry that has started.

use std::time::Duration;

use tokio::time::Instant;

use crate::BootTime;

/// Time without contact after which peers may take an entry for gone.
const MAX_GAP: Duration = Duration::from_secs(2);

/// Contact of an entry with its peers.
#[derive(Debug)]
pub(crate) struct Contact {
    /// Start of the process, or end of the last gap.
    since: Instant,
    last: Instant,
    /// Time of the last contact on a clock that also runs while the VM is suspended.
    last_boot: BootTime,
}

impl Contact {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            since: now,
            last: now,
            last_boot: BootTime::now(),
        }
    }

    /// Records an exchange with a peer.
    pub(crate) fn record(&mut self, now: Instant) {
        let boot = BootTime::now();
        let suspended_ms = boot.millis().saturating_sub(self.last_boot.millis());
        let gap = now.saturating_duration_since(self.last);
        if gap.max(Duration::from_millis(suspended_ms)) > MAX_GAP {
            self.since = now;
        }
        self.last = now;
        self.last_boot = boot;
    }

    /// Returns the time since the process started or the last gap ended.
    pub(crate) fn duration(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}
