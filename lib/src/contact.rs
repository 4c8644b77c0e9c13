//! When this node last heard from the log and from a peer.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Silence of both the log and all peers after which a node withdraws.
pub const ISOLATION_LIMIT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Heard {
    log: Instant,
    peer: Option<Instant>,
}

/// When this node last heard from the log and from a peer.
#[derive(Debug)]
pub(crate) struct Contact {
    heard: Mutex<Heard>,
}

impl Contact {
    pub(crate) fn new() -> Self {
        Self {
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

    /// Tells whether the node has heard from neither for too long.
    ///
    /// A node that never had a peer is the whole deployment and is never isolated.
    pub(crate) fn is_isolated(&self) -> bool {
        let heard = *self.heard.lock();
        let peer_silent = heard.peer.is_some_and(|at| at.elapsed() > ISOLATION_LIMIT);
        peer_silent && heard.log.elapsed() > ISOLATION_LIMIT
    }
}
