//! When this node last heard from the log and from a peer.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Silence of both the log and all peers after which a node withdraws.
///
/// It is shorter than the time within which a configuration must be in force everywhere, so
/// that a node that cannot learn of a new one no longer serves by the old one.
pub const ISOLATION_LIMIT: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Heard {
    log: Instant,
    peer: Option<Instant>,
}

/// When this node last heard from the log and from a peer.
#[derive(Debug)]
pub(crate) struct Contact {
    /// Whether the settings name peers.
    has_peers: bool,
    heard: Mutex<Heard>,
}

impl Contact {
    pub(crate) fn new(has_peers: bool) -> Self {
        Self {
            has_peers,
            heard: Mutex::new(Heard {
                log: Instant::now(),
                peer: None,
            }),
        }
    }

    /// Notes an answer of the log.
    pub(crate) fn log_heard(&self) {
        self.heard.lock().log = Instant::now();
    }

    /// Notes an answer of a peer.
    pub(crate) fn peer_heard(&self) {
        self.heard.lock().peer = Some(Instant::now());
    }

    /// Returns the time since the last answer of the log.
    pub(crate) fn log_silence(&self) -> Duration {
        self.heard.lock().log.elapsed()
    }

    /// Returns the time since the last answer of a peer, `None` when there never was one.
    pub(crate) fn peer_silence(&self) -> Option<Duration> {
        self.heard.lock().peer.map(|at| at.elapsed())
    }

    /// Returns the time since the last answer of the log or of a peer.
    ///
    /// Returns `None` for a node that never had a peer and knows of none: it is the whole
    /// deployment and is never isolated.
    pub(crate) fn silence(&self) -> Option<Duration> {
        let log = self.log_silence();
        match self.peer_silence() {
            Some(peer) => Some(log.min(peer)),
            None => self.has_peers.then_some(log),
        }
    }

    /// Tells whether the node has heard from neither for too long.
    pub(crate) fn is_isolated(&self) -> bool {
        self.silence().is_some_and(|s| s > ISOLATION_LIMIT)
    }
}
