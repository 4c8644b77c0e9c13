//! Completed requests by prompt part: how many there were, and when the newest of them were sent.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::PartId;

/// Maximum number of send times kept for a part.
const MAX_SENDS: usize = 6;

/// Maximum error of a send time that a peer reports, as its age is measured and rounded anew for each
/// report, and the receiver does not know how long the report took.
const MAX_REPORT_ERROR: Duration = Duration::from_secs(1);

/// Time by which a request must be older than all that a report lists to count beside them, if
/// there are as many as were known. Such a report seldom follows a restart, and may just come late.
const MIN_AGE_BESIDE_FULL_REPORT: Duration = Duration::from_secs(5);

/// Length of the periods in which completed requests are counted; the current and the last one count.
const COUNTING_PERIOD: Duration = Duration::from_mins(2);

/// Maximum number of parts counted in a period; a period ends early when it is reached.
const MAX_COUNTED_PARTS: usize = 8192;

/// Completed requests with one part.
#[derive(Clone, Debug, Default)]
pub(crate) struct Completions {
    /// Number of requests.
    pub(crate) count: u64,
    /// Times at which the newest of them were sent, at most [`MAX_SENDS`].
    pub(crate) sends: Vec<Instant>,
}

impl Completions {
    /// Creates the completions that a peer reported.
    pub(crate) fn new(count: u64, mut sends: Vec<Instant>) -> Self {
        keep_newest(&mut sends);
        Self { count, sends }
    }

    /// Counts a request that was sent at `sent`.
    pub(crate) fn record(&mut self, sent: Instant) {
        self.count += 1;
        self.sends.push(sent);
        keep_newest(&mut self.sends);
    }

    /// Adds the requests of another period or entry.
    pub(crate) fn add(&mut self, other: &Self) {
        self.count = self.count.saturating_add(other.count);
        self.sends.extend(&other.sends);
    }

    /// Takes over a newer report of the same peer.
    ///
    /// A peer that restarts counts anew, but what it reported before stays true: older requests are
    /// kept, unless the report may list them.
    pub(crate) fn update(&mut self, reported: Self) {
        let known = std::mem::replace(self, reported);
        self.count = self.count.max(known.count);
        let max_error = if self.sends.len() < known.sends.len() {
            MAX_REPORT_ERROR
        } else {
            MIN_AGE_BESIDE_FULL_REPORT
        };
        let oldest = self.sends.iter().min().copied();
        let is_listed = |sent: Instant| oldest.is_some_and(|o| sent + max_error >= o);
        let older = known.sends.into_iter().filter(|sent| !is_listed(*sent));
        self.sends.extend(older);
        self.count = self.count.max(self.sends.len() as u64);
        keep_newest(&mut self.sends);
    }

    /// Returns how many of the newest requests were sent after `at`.
    pub(crate) fn sent_after(&self, at: Instant) -> usize {
        self.sends.iter().filter(|sent| **sent > at).count()
    }
}

fn keep_newest(sends: &mut Vec<Instant>) {
    sends.sort_unstable_by(|a, b| b.cmp(a));
    sends.truncate(MAX_SENDS);
}

/// Completed requests by part, in the current and the last period.
#[derive(Debug, Default)]
pub(crate) struct CompletedRequests {
    current: IndexMap<PartId, Completions>,
    last: IndexMap<PartId, Completions>,
    started: Option<Instant>,
}

impl CompletedRequests {
    /// Counts a request with a part that was sent at `sent`.
    pub(crate) fn record(&mut self, part: PartId, sent: Instant, now: Instant) {
        let started = *self.started.get_or_insert(now);
        let is_over = now.duration_since(started) >= COUNTING_PERIOD;
        if is_over || self.current.len() >= MAX_COUNTED_PARTS {
            self.last = std::mem::take(&mut self.current);
            self.started = Some(now);
        }
        self.current.entry(part).or_default().record(sent);
    }

    /// Returns the requests with a part.
    pub(crate) fn get(&self, part: PartId) -> Completions {
        let mut sum = self.last.get(&part).cloned().unwrap_or_default();
        if let Some(current) = self.current.get(&part) {
            sum.add(current);
            keep_newest(&mut sum.sends);
        }
        sum
    }
}
