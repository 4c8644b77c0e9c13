//! What an entry keeps of a prompt part under which endpoints crashed.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::EndpointProcess;
use crate::EntryName;
use crate::part_completions::Completions;

/// Time for which a crash counts.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_mins(4);

/// A part with crashes.
#[derive(Debug, Default)]
pub(crate) struct Suspect {
    pub(crate) crashes: IndexMap<EndpointProcess, Instant>,
    /// Requests that completed through this entry, kept for as long as the crashes.
    pub(crate) completed: Completions,
    /// Completed requests that each peer reported last.
    pub(crate) peer_completed: IndexMap<EntryName, Completions>,
    /// Whether a peer reported crashes, so that peers may need this entry's count.
    pub(crate) is_known_to_peers: bool,
}

impl Suspect {
    /// Removes the crashes that no longer count, so that their processes count when they crash again.
    pub(crate) fn remove_expired_crashes(&mut self, now: Instant) {
        self.crashes.retain(|_, at| counts(*at, now));
    }

    /// Returns the crashes that still count.
    pub(crate) fn live_crashes(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (EndpointProcess, Instant)> {
        let crashes = self.crashes.iter().map(|(process, at)| (*process, *at));
        crashes.filter(move |(_, at)| counts(*at, now))
    }
}

/// Returns whether a crash at `at` still counts.
fn counts(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < CRASH_RETENTION
}
