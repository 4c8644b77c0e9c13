//! Number of peers that a forwarded request tries, by what came of the latest ones.

use std::time::Duration;

use tokio::time::Instant;

/// Maximum number of peers to which a request is forwarded, one after the other. A peer that knows
/// that it is cut off too says so at once.
const MAX_TRIED_PEERS: usize = 16;

/// That number while nobody seems to reach an endpoint: a request is refused soon, and another finds out
/// when that is over.
const MAX_TRIED_PEERS_HOPELESS: usize = 3;

/// Time for which peers that could not take a request count.
const FAILURE_PERIOD: Duration = Duration::from_secs(1);

/// Peers that could not take a request, since one last did.
#[derive(Debug, Default)]
pub struct ForwardTries {
    failures: usize,
    failed_at: Option<Instant>,
}

impl ForwardTries {
    /// Records whether a peer has taken a request.
    pub fn record(&mut self, is_taken: bool, now: Instant) {
        if is_taken || !self.is_recent(now) {
            self.failures = 0;
        }
        if !is_taken {
            self.failures += 1;
            self.failed_at = Some(now);
        }
    }

    /// Returns the maximum number of peers that a request tries.
    pub fn max_peers(&self, now: Instant) -> usize {
        if self.failures >= MAX_TRIED_PEERS && self.is_recent(now) {
            MAX_TRIED_PEERS_HOPELESS
        } else {
            MAX_TRIED_PEERS
        }
    }

    fn is_recent(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.duration_since(at) < FAILURE_PERIOD;
        self.failed_at.is_some_and(is_recent)
    }
}
