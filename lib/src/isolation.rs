//! Detects that a gate is cut off from configuration updates.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::ISOLATION_TIMEOUT;
use crate::LiveView;
use crate::NodeName;

/// Maximum number of other entries whose addresses are retained.
const MAX_KNOWN_ENTRIES: usize = 256;

#[derive(Debug, Default)]
struct Inner {
    /// Latest time at which the configuration was known to be current; `None` when this gate's node
    /// is the whole deployment.
    current_at: Option<Instant>,
    /// Addresses of the other entries for callers, the most recently seen last.
    entries: IndexMap<NodeName, SocketAddr>,
}

/// Time since the configuration in force was last known to be current, and the other entries seen
/// so far.
///
/// An isolated node considers its peers dead, so the entries are kept separately from the routing
/// table.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    inner: Mutex<Inner>,
}

impl Isolation {
    /// Processes an update from a controller that last heard from the log or a peer `silence` ago.
    ///
    /// `silence` is `None` if the gate's node is the whole deployment; the gate then never counts
    /// as isolated.
    pub(crate) fn update(&self, own: &NodeName, silence: Option<Duration>, live: &LiveView) {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        inner.current_at = match (silence, inner.current_at) {
            (None, _) => None,
            (Some(silence), prior) => prior.max(Some(now.checked_sub(silence).unwrap_or(now))),
        };
        for member in live.members.values().filter(|m| m.node != *own) {
            let Some(gate) = member.gate.as_ref().filter(|g| g.accepting) else {
                continue;
            };
            inner.entries.shift_remove(&member.node);
            inner.entries.insert(member.node.clone(), gate.callers);
        }
        let excess = inner.entries.len().saturating_sub(MAX_KNOWN_ENTRIES);
        inner.entries.drain(..excess);
    }

    /// Returns whether the configuration may have been out of date for longer than
    /// [`ISOLATION_TIMEOUT`].
    pub(crate) fn is_isolated(&self) -> bool {
        let current_at = self.inner.lock().current_at;
        current_at.is_some_and(|at| at.elapsed() > ISOLATION_TIMEOUT)
    }

    /// Returns the addresses of the other entries for callers.
    pub(crate) fn other_entries(&self) -> Vec<SocketAddr> {
        self.inner.lock().entries.values().copied().collect()
    }
}
