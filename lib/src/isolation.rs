//! Tells whether a gate can still learn of a new configuration.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::ISOLATION_LIMIT;
use crate::LiveView;
use crate::NodeName;

/// Other entries remembered at most.
const ENTRIES_KEPT: usize = 256;

#[derive(Debug, Default)]
struct Inner {
    /// Time at which the configuration was known to be current, unless this gate is the whole
    /// deployment.
    current_at: Option<Instant>,
    /// Callers' addresses of the other entries, those seen last at the end.
    entries: IndexMap<NodeName, SocketAddr>,
}

/// How long ago the configuration in force was known to be current, and the other entries that
/// were known then.
///
/// An isolated node takes its peers for dead, so the entries are remembered apart from the
/// routing table.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    inner: Mutex<Inner>,
}

impl Isolation {
    /// Notes a message of a controller that heard from the log or a peer `silence` ago.
    pub(crate) fn update(&self, own: &NodeName, silence: Option<Duration>, live: &LiveView) {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        inner.current_at = match (silence, inner.current_at) {
            (None, _) => None,
            (Some(silence), before) => before.max(Some(now.checked_sub(silence).unwrap_or(now))),
        };
        for member in live.members.values().filter(|m| m.node != *own) {
            let Some(gate) = member.gate.as_ref().filter(|g| g.accepting) else {
                continue;
            };
            inner.entries.shift_remove(&member.node);
            inner.entries.insert(member.node.clone(), gate.callers);
        }
        let excess = inner.entries.len().saturating_sub(ENTRIES_KEPT);
        inner.entries.drain(..excess);
    }

    /// Tells whether the configuration in force may have been out of date for too long.
    pub(crate) fn is_isolated(&self) -> bool {
        let current_at = self.inner.lock().current_at;
        current_at.is_some_and(|at| at.elapsed() > ISOLATION_LIMIT)
    }

    /// Returns the callers' addresses of the other entries.
    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        self.inner.lock().entries.values().copied().collect()
    }
}
