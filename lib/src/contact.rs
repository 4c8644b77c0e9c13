//! Tracks when the log and the peers last responded, to detect that this node is isolated.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Time without contact with the log or any peer after which a node considers itself isolated.
///
/// It is shorter than the time within which a new configuration must be in force on all nodes,
/// so that a node that cannot receive it stops serving with the old one.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct LastContact {
    log: Instant,
    peer: Option<Instant>,
}

/// Times of the last responses from the log and from a peer.
#[derive(Debug)]
pub(crate) struct ContactTracker {
    /// Whether peers are configured in the settings.
    has_peers: bool,
    last: Mutex<LastContact>,
}

impl ContactTracker {
    pub(crate) fn new(has_peers: bool) -> Self {
        Self {
            has_peers,
            last: Mutex::new(LastContact {
                log: Instant::now(),
                peer: None,
            }),
        }
    }

    /// Records that the log has responded.
    pub(crate) fn record_log_contact(&self) {
        self.last.lock().log = Instant::now();
    }

    /// Records that a peer has sent a message or responded to one.
    pub(crate) fn record_peer_contact(&self) {
        self.last.lock().peer = Some(Instant::now());
    }

    /// Returns the time since the log last responded.
    pub(crate) fn time_since_log_contact(&self) -> Duration {
        self.last.lock().log.elapsed()
    }

    /// Returns the time since the last contact with a peer, or `None` if there was none yet.
    pub(crate) fn time_since_peer_contact(&self) -> Option<Duration> {
        self.last.lock().peer.map(|at| at.elapsed())
    }

    /// Returns the time since the last contact with the log or with a peer.
    ///
    /// Returns `None` for a node without configured peers that was never contacted by one: it is
    /// the only node of the deployment and is never isolated.
    pub(crate) fn time_since_contact(&self) -> Option<Duration> {
        let log = self.time_since_log_contact();
        match self.time_since_peer_contact() {
            Some(peer) => Some(log.min(peer)),
            None => self.has_peers.then_some(log),
        }
    }

    /// Returns whether there was no contact with the log or a peer for [`ISOLATION_TIMEOUT`].
    pub(crate) fn is_isolated(&self) -> bool {
        self.time_since_contact()
            .is_some_and(|s| s > ISOLATION_TIMEOUT)
    }
}
