//! For how long an entry has been in contact with its peers.
//!
//! An entry that was frozen or cut off is taken for gone by its peers, and it does not know what has
//! changed. Once it is back, it takes them a while to learn of it, as with an entry that has started.

use std::time::Duration;

use tokio::time::Instant;

use crate::suspended_time;

/// Time without contact after which peers may take an entry for gone.
const MAX_GAP: Duration = Duration::from_secs(2);

/// Contact of an entry with its peers.
#[derive(Debug)]
pub(crate) struct Contact {
    /// Start of the process, or end of the last gap.
    since: Instant,
    last: Instant,
    /// Suspensions of the VM up to the last contact.
    last_suspended: Duration,
}

impl Contact {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            since: now,
            last: now,
            last_suspended: suspended_time(),
        }
    }

    /// Records an exchange with a peer.
    pub(crate) fn record(&mut self, now: Instant) {
        let suspended = suspended_time();
        let gap = now.saturating_duration_since(self.last);
        if gap + suspended.saturating_sub(self.last_suspended) > MAX_GAP {
            self.since = now;
        }
        self.last = now;
        self.last_suspended = suspended;
    }

    /// Returns whether the last exchange with a peer is so long ago that peers may take this entry
    /// for gone.
    pub(crate) fn is_lost(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) > MAX_GAP
    }

    /// Returns the time since the process started or the last gap ended.
    pub(crate) fn duration(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}
