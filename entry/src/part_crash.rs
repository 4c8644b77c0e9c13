//! Detection of prompt parts that crash the endpoints on which requests with them run.
//!
//! Such requests may differ in everything else, so the evidence is kept by part: the endpoint
//! processes that failed under requests with it, against the requests with it that completed. A sound
//! part fails together with a crashing one, but also completes without it, and its failures are a
//! subset of those of the crashing part. An endpoint process that responds to a later request has not
//! crashed. Every entry passes on all crashes that it knows, so that
//! they spread from every entry that has learnt of them and outlive the one that saw them.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::EndpointId;
use crate::EntryName;
use crate::PartId;

/// Number of endpoint processes that must have crashed under requests with a part.
const CRASH_THRESHOLD: usize = 3;

/// Number of crashes that one completed request with a part outweighs.
const CRASHES_PER_COMPLETION: u64 = 3;

/// Minimum time between the first and the last crash; failures at one moment have another cause,
/// such as the loss of a failure domain or of all connections of an entry.
const MIN_CRASH_SPAN: Duration = Duration::from_millis(250);

/// Time for which a crash counts.
const CRASH_RETENTION: Duration = Duration::from_mins(4);

/// Time for which a crash is passed on. As it is shorter than [`CRASH_RETENTION`], no entry learns of
/// a crash again that it has forgotten.
const CRASH_SHARING_PERIOD: Duration = Duration::from_mins(2);

/// Maximum number of parts with crashes; beyond it, the oldest with the fewest crashes is dropped.
const MAX_SUSPECTS: usize = 256;

/// Maximum number of crashes kept for a part; beyond it, the oldest is dropped.
const MAX_CRASHES_PER_PART: usize = 12;

/// Maximum number of processes known to have outlived a failure; beyond it, the one known for longest
/// is dropped.
const MAX_OUTLIVED: usize = 1024;

/// Maximum number of parts with crashes that are reported to peers, and of parts with counts only.
const MAX_REPORTS: usize = 16;

/// Length of the periods in which completed requests are counted; the current and the last one count.
const COUNTING_PERIOD: Duration = Duration::from_mins(2);

/// Maximum number of parts counted in a period; a period ends early when it is reached.
const MAX_COUNTED_PARTS: usize = 8192;

/// One process of an endpoint, as a hash of its id and incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct EndpointProcess(pub u64);

impl EndpointProcess {
    /// Returns the process that an endpoint started with an incarnation.
    pub fn new(id: &EndpointId, incarnation: u64) -> Self {
        let id = id.as_str().as_bytes();
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(id, incarnation))
    }
}

/// What an entry tells its peers of a part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// Part of prompts.
    pub part: PartId,
    /// Endpoint processes that crashed under requests with the part, each with the time since, in
    /// milliseconds.
    pub crashes: Vec<(EndpointProcess, u64)>,
    /// Requests with the part that completed through the reporting entry.
    pub completed: u64,
}

/// A part with crashes.
#[derive(Debug, Default)]
struct Suspect {
    crashes: IndexMap<EndpointProcess, Instant>,
    /// Number of completed requests that each peer reported last.
    peer_completed: IndexMap<EntryName, u64>,
    /// Whether a peer reported crashes, so that peers may need this entry's count.
    is_known_to_peers: bool,
}

/// Parts whose evidence is the same, of which at least one crashes endpoints.
#[derive(Debug)]
struct Culprit {
    parts: Vec<PartId>,
    crashes: IndexSet<EndpointProcess>,
}

/// Evidence on prompt parts, from this entry and its peers.
#[derive(Debug, Default)]
pub struct PartCrashTracker {
    suspects: IndexMap<PartId, Suspect>,
    completed: CompletedCounts,
    /// Processes that responded after they seemed to have crashed, each with the time of the last
    /// request that it responded to.
    outlived: IndexMap<EndpointProcess, Instant>,
    /// Parts returned by [`PartCrashTracker::take_new_culprits`].
    announced: IndexSet<PartId>,
}

impl PartCrashTracker {
    /// Counts a request with a part that completed.
    pub fn record_completed(&mut self, part: PartId, now: Instant) {
        self.completed.record(part, now);
    }

    /// Records that an endpoint process failed while it ran a request with a part.
    ///
    /// Returns whether peers are to be told at once: the crash was not known, and completed requests
    /// do not outweigh the part's crashes.
    pub fn record_crash(&mut self, part: PartId, process: EndpointProcess, now: Instant) -> bool {
        self.insert_crash(part, process, now, now) && !self.is_cleared(part, now)
    }

    /// Records that an endpoint process responded to a request that was sent at `sent`, so that it had
    /// not crashed before.
    pub fn record_alive(&mut self, process: EndpointProcess, sent: Instant) {
        let mut suspects = self.suspects.values();
        let seemed_crashed = suspects.any(|s| s.crashes.get(&process).is_some_and(|at| *at < sent));
        if let Some(last) = self.outlived.get_mut(&process) {
            *last = sent.max(*last);
        } else if seemed_crashed {
            if self.outlived.len() >= MAX_OUTLIVED {
                self.outlived.shift_remove_index(0);
            }
            self.outlived.insert(process, sent);
        }
        if seemed_crashed {
            for suspect in self.suspects.values_mut() {
                suspect.crashes.shift_remove(&process);
            }
        }
    }

    /// Merges what a peer published at `published_at`.
    pub fn merge(
        &mut self,
        peer: &EntryName,
        reports: &[PartReport],
        published_at: Instant,
        now: Instant,
    ) {
        for report in reports {
            for (process, age_ms) in &report.crashes {
                let at = published_at.checked_sub(Duration::from_millis(*age_ms));
                self.insert_crash(report.part, *process, at.unwrap_or(published_at), now);
            }
            let is_known = self.suspects.contains_key(&report.part);
            if !is_known && (report.completed == 0 || self.suspects.len() >= MAX_SUSPECTS) {
                continue;
            }
            let suspect = self.suspects.entry(report.part).or_default();
            suspect.is_known_to_peers |= !report.crashes.is_empty();
            suspect
                .peer_completed
                .insert(peer.clone(), report.completed);
        }
    }

    /// Inserts a crash at `at`; returns whether it was not known.
    fn insert_crash(
        &mut self,
        part: PartId,
        process: EndpointProcess,
        at: Instant,
        now: Instant,
    ) -> bool {
        let is_outlived = self.outlived.get(&process).is_some_and(|last| at < *last);
        if is_outlived || now.saturating_duration_since(at) >= CRASH_RETENTION {
            return false;
        }
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&part) {
            self.remove_expired(now);
        }
        let suspect = self.suspects.entry(part).or_default();
        if let Some(known) = suspect.crashes.get_mut(&process) {
            *known = at.min(*known);
            return false;
        }
        if suspect.crashes.len() >= MAX_CRASHES_PER_PART {
            suspect.crashes.shift_remove_index(0);
        }
        suspect.crashes.insert(process, at);
        true
    }

    /// Removes parts whose crashes no longer count, or the oldest with the fewest if there are none.
    fn remove_expired(&mut self, now: Instant) {
        self.suspects
            .retain(|_, suspect| suspect.live_crashes(now).count() > 0);
        if self.suspects.len() >= MAX_SUSPECTS {
            let crashes = |index: &usize| self.suspects[*index].crashes.len();
            if let Some(index) = (0..self.suspects.len()).min_by_key(crashes) {
                self.suspects.shift_remove_index(index);
            }
        }
        let suspects = &self.suspects;
        self.announced.retain(|part| suspects.contains_key(part));
    }

    /// Returns whether completed requests outweigh a part's crashes.
    fn is_cleared(&self, part: PartId, now: Instant) -> bool {
        let Some(suspect) = self.suspects.get(&part) else {
            return true;
        };
        let peers = suspect.peer_completed.values();
        let own = self.completed.count(part);
        let completed = peers.fold(own, |sum, count| sum.saturating_add(*count));
        let crashes = suspect.live_crashes(now).count() as u64;
        completed.saturating_mul(CRASHES_PER_COMPLETION) >= crashes
    }

    /// Returns whether a part has enough crashes, and completed requests do not outweigh them.
    fn is_candidate(&self, part: PartId, now: Instant) -> bool {
        let suspect = self.suspects.get(&part);
        suspect.is_some_and(|s| s.crashes.len() >= CRASH_THRESHOLD) && !self.is_cleared(part, now)
    }

    /// Returns whether a request with these parts is expected to crash its endpoint.
    pub fn is_crashing(&self, parts: &[PartId], now: Instant) -> bool {
        if !parts.iter().any(|part| self.is_candidate(*part, now)) {
            return false;
        }
        let culprits = self.culprits(now);
        culprits
            .iter()
            .any(|culprit| culprit.parts.iter().all(|part| parts.contains(part)))
    }

    /// Returns the parts that have become suspected of crashing endpoints since the last call.
    pub fn take_new_culprits(&mut self, now: Instant) -> Vec<PartId> {
        let parts: IndexSet<PartId> = self
            .culprits(now)
            .into_iter()
            .flat_map(|c| c.parts)
            .collect();
        let new = parts.difference(&self.announced).copied().collect();
        self.announced = parts;
        new
    }

    /// Finds the parts that explain the crashes: in each pass those with the most crashes that no
    /// part found before explains.
    fn culprits(&self, now: Instant) -> Vec<Culprit> {
        let mut candidates: Vec<(PartId, IndexMap<EndpointProcess, Instant>)> = self
            .suspects
            .iter()
            .filter(|(part, _)| self.is_candidate(**part, now))
            .map(|(part, suspect)| (*part, suspect.live_crashes(now).collect()))
            .collect();
        let mut culprits: Vec<Culprit> = Vec::new();
        loop {
            candidates.retain(|(_, crashes)| is_pattern(crashes));
            let Some(most) = candidates.iter().map(|(_, c)| c.len()).max() else {
                return culprits;
            };
            let first_found = culprits.len();
            for (part, crashes) in candidates.extract_if(.., |(_, c)| c.len() == most) {
                let crashes: IndexSet<EndpointProcess> = crashes.into_keys().collect();
                let same = culprits[first_found..]
                    .iter_mut()
                    .find(|c| c.crashes == crashes);
                match same {
                    Some(culprit) => culprit.parts.push(part),
                    None => culprits.push(Culprit {
                        parts: vec![part],
                        crashes,
                    }),
                }
            }
            let found = &culprits[first_found..];
            for (_, crashes) in &mut candidates {
                crashes.retain(|process, _| !found.iter().any(|c| c.crashes.contains(process)));
            }
        }
    }

    /// Returns what peers need to know: the parts with crashes that completed requests do not
    /// outweigh, and the counts of other parts of which peers reported crashes.
    pub fn reports(&self, now: Instant) -> Vec<PartReport> {
        let mut reports: Vec<PartReport> = self
            .suspects
            .iter()
            .filter_map(|(part, suspect)| self.report(*part, suspect, now))
            .collect();
        let culprits = self.culprits(now);
        let is_culprit = |part| culprits.iter().any(|c| c.parts.contains(&part));
        let newest_crash = |report: &PartReport| report.crashes.iter().map(|(_, age)| *age).min();
        reports.sort_by_key(|report| (!is_culprit(report.part), newest_crash(report)));
        let (mut crashes, mut counts): (Vec<_>, Vec<_>) = reports
            .into_iter()
            .partition(|report| !report.crashes.is_empty());
        crashes.truncate(MAX_REPORTS);
        counts.truncate(MAX_REPORTS);
        crashes.append(&mut counts);
        crashes
    }

    fn report(&self, part: PartId, suspect: &Suspect, now: Instant) -> Option<PartReport> {
        let completed = self.completed.count(part);
        let is_cleared = self.is_cleared(part, now);
        let age = |at: &Instant| now.saturating_duration_since(*at);
        let shared = suspect.crashes.iter();
        let shared = shared.filter(|(_, at)| !is_cleared && age(at) < CRASH_SHARING_PERIOD);
        let crashes: Vec<_> = shared
            .map(|(process, at)| (*process, crate::millis(age(at))))
            .collect();
        let is_needed = suspect.is_known_to_peers && completed > 0;
        (is_needed || !crashes.is_empty()).then_some(PartReport {
            part,
            crashes,
            completed,
        })
    }
}

impl Suspect {
    fn live_crashes(&self, now: Instant) -> impl Iterator<Item = (EndpointProcess, Instant)> {
        let crashes = self.crashes.iter().map(|(process, at)| (*process, *at));
        crashes.filter(move |(_, at)| now.saturating_duration_since(*at) < CRASH_RETENTION)
    }
}

/// Returns whether crashes are enough, and not all at one moment.
fn is_pattern(crashes: &IndexMap<EndpointProcess, Instant>) -> bool {
    let (Some(first), Some(last)) = (crashes.values().min(), crashes.values().max()) else {
        return false;
    };
    crashes.len() >= CRASH_THRESHOLD && last.duration_since(*first) >= MIN_CRASH_SPAN
}

/// Numbers of completed requests by part, in the current and the last period.
#[derive(Debug, Default)]
struct CompletedCounts {
    current: IndexMap<PartId, u64>,
    last: IndexMap<PartId, u64>,
    started: Option<Instant>,
}

impl CompletedCounts {
    fn record(&mut self, part: PartId, now: Instant) {
        let started = *self.started.get_or_insert(now);
        let is_over = now.duration_since(started) >= COUNTING_PERIOD;
        if is_over || self.current.len() >= MAX_COUNTED_PARTS {
            self.last = std::mem::take(&mut self.current);
            self.started = Some(now);
        }
        *self.current.entry(part).or_default() += 1;
    }

    fn count(&self, part: PartId) -> u64 {
        let count = |counts: &IndexMap<PartId, u64>| counts.get(&part).copied().unwrap_or(0);
        count(&self.current) + count(&self.last)
    }
}
