//! Detection of prompt parts that crash the endpoints on which requests with them run.
//!
//! Such requests may differ in everything else, so the evidence is kept by part: the endpoint
//! processes that failed under requests with it, against the requests with it that were sent since
//! and completed. What completed before says little, as a part may turn bad: it only raises the number
//! of crashes that are needed. A sound part fails together with a crashing one, but also completes
//! without it, and its failures are a subset of those of the crashing part. An endpoint process that
//! responds to a later request has not crashed. Every entry passes on all crashes that it knows, so that
//! they spread from every entry that has learnt of them and outlive the one that saw them.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::EndpointProcess;
use crate::EntryName;
use crate::PartId;
use crate::PartReport;
use crate::crashes::part_completions::CompletedRequests;
use crate::crashes::part_completions::Completions;
use crate::crashes::part_evidence::Culprit;
use crate::crashes::part_evidence::Evidence;
use crate::crashes::part_evidence::MIN_CRASHES;
use crate::crashes::part_evidence::Suspicion;
use crate::crashes::part_suspect::CRASH_RETENTION;
use crate::crashes::part_suspect::Suspect;
use crate::crashes::part_unconfirmed::UnconfirmedRequest;
use crate::crashes::part_unconfirmed::UnconfirmedRequests;

/// Number of crashes that one request with a part outweighs that was sent after them and completed.
const CRASHES_PER_COMPLETION: usize = 3;

/// Time for which a crash is passed on. As it is shorter than [`CRASH_RETENTION`], no entry learns of
/// a crash again that it has forgotten.
const CRASH_SHARING_PERIOD: Duration = Duration::from_mins(2);

/// Maximum number of parts with crashes; beyond it, the oldest with the fewest crashes is dropped.
const MAX_SUSPECTS: usize = 256;

/// Maximum number of crashes kept for a part; beyond it, the oldest is dropped.
const MAX_CRASHES_PER_PART: usize = 16;

/// Maximum number of processes known to have outlived a failure; beyond it, the one known for longest
/// is dropped.
const MAX_OUTLIVED: usize = 1024;

/// Maximum number of parts with crashes that are reported to peers, and of parts with counts only.
const MAX_REPORTS: usize = 16;

/// Evidence on prompt parts, from this entry and its peers.
#[derive(Debug, Default)]
pub struct PartCrashTracker {
    suspects: IndexMap<PartId, Suspect>,
    completed: CompletedRequests,
    unconfirmed: UnconfirmedRequests,
    /// Processes whose crashes before a time do not count: they responded to a request sent then, or
    /// their version was rolled back.
    outlived: IndexMap<EndpointProcess, Instant>,
    /// Parts returned by [`PartCrashTracker::take_new_culprits`].
    announced: IndexSet<PartId>,
}

impl PartCrashTracker {
    /// Counts a request with a part that was sent at `sent` and completed.
    pub fn record_completed(&mut self, part: PartId, sent: Instant, now: Instant) {
        self.completed.record(part, sent, now);
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.completed.record(sent);
        }
    }

    /// Records that a response to a request with a part, which was sent at `sent`, ended with its
    /// connection, as it also does when the endpoint process crashes.
    ///
    /// The request counts as completed once the process has responded to a request sent later.
    pub fn record_ended(
        &mut self,
        part: PartId,
        process: EndpointProcess,
        sent: Instant,
        now: Instant,
    ) {
        self.unconfirmed.record(part, process, sent, now);
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
        for request in self.unconfirmed.take_confirmed(process, sent) {
            let UnconfirmedRequest { part, ended, .. } = request;
            self.record_completed(part, request.sent, ended);
        }
        let mut suspects = self.suspects.values();
        let seemed_crashed = suspects.any(|s| s.crashes.get(&process).is_some_and(|at| *at < sent));
        if seemed_crashed {
            self.forget_crashes(process, sent);
        } else if let Some(last) = self.outlived.get_mut(&process) {
            *last = sent.max(*last);
        }
    }

    /// Forgets the crashes of a process, also those before `until` that are reported later.
    pub(crate) fn forget_crashes(&mut self, process: EndpointProcess, until: Instant) {
        if let Some(last) = self.outlived.get_mut(&process) {
            *last = until.max(*last);
        } else {
            if self.outlived.len() >= MAX_OUTLIVED {
                self.outlived.shift_remove_index(0);
            }
            self.outlived.insert(process, until);
        }
        for suspect in self.suspects.values_mut() {
            suspect.crashes.shift_remove(&process);
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
        let time = |age_ms: &u64| {
            let at = published_at.checked_sub(Duration::from_millis(*age_ms));
            at.unwrap_or(published_at)
        };
        self.suspects.retain(|_, suspect| suspect.is_needed(now));
        for report in reports {
            for (process, age_ms) in &report.crashes {
                self.insert_crash(report.part, *process, time(age_ms), now);
            }
            let sends = report.completed_sends.iter().map(time).collect();
            let completed = Completions::new(report.completed, sends);
            let is_known = self.suspects.contains_key(&report.part);
            if !is_known && (report.completed == 0 || self.suspects.len() >= MAX_SUSPECTS) {
                continue;
            }
            let newest_crash = report.crashes.iter().map(|(_, age_ms)| time(age_ms)).max();
            let suspect = self.suspect(report.part, now);
            suspect.record_report(peer, completed, newest_crash, published_at);
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
        let suspect = self.suspect(part, now);
        suspect.remove_expired_crashes(now);
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

    /// Returns the record of a part, which starts with the requests that completed before if it has
    /// no crashes that count.
    fn suspect(&mut self, part: PartId, now: Instant) -> &mut Suspect {
        let suspect = self.suspects.entry(part).or_default();
        if suspect.live_crashes(now).next().is_none() {
            suspect.completed = self.completed.get(part);
        }
        suspect.forget_old_reports(now);
        suspect
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

    /// Returns the evidence that remains against a part: the longest run of its newest crashes that
    /// is not outweighed by requests sent after the run's first crash that completed.
    fn evidence(&self, part: PartId, now: Instant) -> Evidence {
        let Some(suspect) = self.suspects.get(&part) else {
            return Evidence::default();
        };
        let mut completed = self.completed(part, suspect, now);
        for peer in suspect.peer_completed.values() {
            completed.add(&peer.completed);
        }
        let mut crashes: Vec<_> = suspect.live_crashes(now).collect();
        crashes.sort_unstable_by_key(|(_, at)| *at);
        let is_outweighed = |start: &usize| {
            let refuting = completed.sent_after(crashes[*start].1);
            refuting * CRASHES_PER_COMPLETION >= crashes.len() - start
        };
        let Some(start) = (0..crashes.len()).find(|start| !is_outweighed(start)) else {
            return Evidence::default();
        };
        let refuting = completed.sent_after(crashes[start].1) as u64;
        Evidence {
            is_known_part: completed.count > refuting,
            crashes: crashes.split_off(start).into_iter().collect(),
        }
    }

    /// Returns the requests with a part that completed through this entry.
    fn completed(&self, part: PartId, suspect: &Suspect, now: Instant) -> Completions {
        match suspect.live_crashes(now).next() {
            Some(_) => suspect.completed.clone(),
            None => self.completed.get(part),
        }
    }

    /// Returns whether completed requests outweigh a part's crashes.
    fn is_cleared(&self, part: PartId, now: Instant) -> bool {
        self.evidence(part, now).crashes.is_empty()
    }

    /// Returns whether a request with these parts is expected to crash its endpoint.
    pub fn is_crashing(&self, parts: &[PartId], now: Instant) -> bool {
        self.suspicion(parts, now).is_some()
    }

    /// Returns how sure it is that a request with these parts crashes its endpoint; `None` if it is
    /// not expected to.
    pub(crate) fn suspicion(&self, parts: &[PartId], now: Instant) -> Option<Suspicion> {
        if !parts
            .iter()
            .any(|part| self.evidence(*part, now).is_pattern())
        {
            return None;
        }
        let culprits = self.culprits(now);
        let culprits = culprits.iter();
        culprits
            .filter(|culprit| culprit.parts.iter().all(|part| parts.contains(part)))
            .map(|culprit| culprit.suspicion)
            .max()
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
        let suspects = self.suspects.iter();
        let mut candidates: Vec<(PartId, Evidence)> = suspects
            .filter(|(_, suspect)| suspect.crashes.len() >= MIN_CRASHES)
            .map(|(part, _)| (*part, self.evidence(*part, now)))
            .collect();
        let mut culprits: Vec<Culprit> = Vec::new();
        loop {
            candidates.retain(|(_, evidence)| evidence.is_pattern());
            let Some(most) = candidates.iter().map(|(_, e)| e.crashes.len()).max() else {
                return culprits;
            };
            let first_found = culprits.len();
            for (part, evidence) in candidates.extract_if(.., |(_, e)| e.crashes.len() == most) {
                let suspicion = evidence.suspicion();
                let crashes: IndexSet<EndpointProcess> = evidence.crashes.into_keys().collect();
                let same = culprits[first_found..]
                    .iter_mut()
                    .find(|c| c.crashes == crashes);
                match same {
                    Some(culprit) => culprit.parts.push(part),
                    None => culprits.push(Culprit {
                        parts: vec![part],
                        crashes,
                        suspicion,
                    }),
                }
            }
            let found = &culprits[first_found..];
            for (_, evidence) in &mut candidates {
                let crashes = &mut evidence.crashes;
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
        reports.sort_by_key(|report| {
            let is_known_part = report.completed > 0;
            (
                !is_culprit(report.part),
                is_known_part,
                newest_crash(report),
            )
        });
        let (mut crashes, counts): (Vec<_>, Vec<_>) = reports
            .into_iter()
            .partition(|report| !report.crashes.is_empty());
        let rest = crashes.split_off(crashes.len().min(MAX_REPORTS));
        let rest = rest.into_iter().filter(|report| report.completed > 0);
        let rest = rest.map(|report| PartReport {
            crashes: Vec::new(),
            ..report
        });
        crashes.extend(rest.chain(counts).take(MAX_REPORTS));
        crashes
    }

    fn report(&self, part: PartId, suspect: &Suspect, now: Instant) -> Option<PartReport> {
        let completed = self.completed(part, suspect, now);
        let is_cleared = self.is_cleared(part, now);
        let age = |at: &Instant| now.saturating_duration_since(*at);
        let shared = suspect.crashes.iter();
        let shared = shared.filter(|(_, at)| !is_cleared && age(at) < CRASH_SHARING_PERIOD);
        let crashes: Vec<_> = shared
            .map(|(process, at)| (*process, crate::millis(age(at))))
            .collect();
        let sends = completed.sends.iter().map(|sent| crate::millis(age(sent)));
        let is_needed = suspect.is_known_to_peers(now) && completed.count > 0;
        (is_needed || !crashes.is_empty()).then_some(PartReport {
            part,
            crashes,
            completed: completed.count,
            completed_sends: sends.collect(),
        })
    }
}
