//! What an entry keeps of a prompt part under which endpoints crashed.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::EndpointProcess;
use crate::EntryName;
use crate::crashes::part_completions::Completions;

/// Time for which a crash counts.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_mins(4);

/// A part with crashes.
#[derive(Debug, Default)]
pub(crate) struct Suspect {
    pub(crate) crashes: IndexMap<EndpointProcess, Instant>,
    /// Requests that completed through this entry, kept for as long as the crashes.
    pub(crate) completed: Completions,
    /// Completed requests that each peer reported, also of peers that have left.
    pub(crate) peer_completed: IndexMap<EntryName, PeerCompletions>,
    /// Time of the newest crash that a peer reported.
    pub(crate) reported_crash: Option<Instant>,
}

/// Completed requests that a peer reported.
#[derive(Debug)]
pub(crate) struct PeerCompletions {
    pub(crate) completed: Completions,
    /// Time at which the peer published its last report of the part.
    pub(crate) published_at: Instant,
}

impl Suspect {
    /// Removes the crashes that no longer count, so that their processes count when they crash
    /// again.
    pub(crate) fn remove_expired_crashes(&mut self, now: Instant) {
        self.crashes.retain(|_, at| counts(*at, now));
    }

    /// Records what a peer published at `published_at`, and the newest crash that it reported.
    pub(crate) fn record_report(
        &mut self,
        peer: &EntryName,
        completed: Completions,
        newest_crash: Option<Instant>,
        published_at: Instant,
    ) {
        self.reported_crash = self.reported_crash.max(newest_crash);
        if let Some(known) = self.peer_completed.get_mut(peer) {
            known.completed.update(completed);
            known.published_at = published_at.max(known.published_at);
        } else {
            let known = PeerCompletions {
                completed,
                published_at,
            };
            self.peer_completed.insert(peer.clone(), known);
        }
    }

    /// Returns whether a crash that a peer reported still counts, so that peers may need this
    /// entry's count.
    pub(crate) fn is_known_to_peers(&self, now: Instant) -> bool {
        self.reported_crash.is_some_and(|at| counts(at, now))
    }

    /// Forgets completed requests that no peer has reported for as long as a crash counts; they are
    /// kept while any crash counts that they may outweigh.
    pub(crate) fn forget_old_reports(&mut self, now: Instant) {
        if self.live_crashes(now).next().is_none() {
            let reports = &mut self.peer_completed;
            reports.retain(|_, report| counts(report.published_at, now));
        }
    }

    /// Returns whether anything remains that counts.
    pub(crate) fn is_needed(&self, now: Instant) -> bool {
        let mut reports = self.peer_completed.values();
        self.live_crashes(now).next().is_some()
            || self.is_known_to_peers(now)
            || reports.any(|report| counts(report.published_at, now))
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

/// Returns whether a crash or report at `at` still counts.
fn counts(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < CRASH_RETENTION
}
