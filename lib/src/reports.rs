//! Facts that a gate reports to its controller.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::CRASH_RETENTION;
use crate::Counters;
use crate::CrashFact;
use crate::EvidenceFact;
use crate::EvidenceKey;
use crate::EvidenceRow;
use crate::Fact;
use crate::GateInfo;
use crate::MoveName;
use crate::NodeName;
use crate::OVERLOAD_THRESHOLD_PERMILLE;
use crate::Origin;
use crate::Stamp;
use crate::Stop;
use crate::StopFact;
use crate::Timestamp;
use crate::window_start;

/// Time for which a gate retains its counters, so that it can report the totals to another
/// controller.
const COUNTER_RETENTION: Duration = Duration::from_secs(15);

/// Maximum number of retained crash counts, and maximum number of retained stops.
const MAX_RETAINED_FACTS: usize = 4096;

/// Minimum change of the load, in thousandths, that is reported even if it does not cross
/// [`OVERLOAD_THRESHOLD_PERMILLE`].
const LOAD_REPORT_THRESHOLD_PERMILLE: u32 = 250;

#[derive(Debug, Default)]
struct ReportState {
    seq: u64,
    counters: IndexMap<EvidenceKey, Counters>,
    crashes: IndexMap<u64, (u32, Timestamp)>,
    stops: IndexMap<MoveName, Stop>,
    unreported_counters: IndexSet<EvidenceKey>,
    unreported_crashes: IndexSet<u64>,
    unreported_stops: IndexSet<MoveName>,
    info: Option<GateInfo>,
}

/// Facts that a gate reports to its controller.
///
/// Reports carry totals, so that repeating a report has no effect.
#[derive(Debug)]
pub struct Reports {
    origin: Origin,
    state: Mutex<ReportState>,
    urgent: Notify,
}

impl Reports {
    /// Creates an empty set of reports for a gate that started at `started`.
    pub fn new(node: NodeName, started: Timestamp) -> Self {
        Self {
            origin: Origin {
                node,
                started_at: started,
            },
            state: Mutex::default(),
            urgent: Notify::new(),
        }
    }

    /// Adds request counters that are evidence about a version.
    pub fn add_evidence(&self, row: &EvidenceRow) {
        let mut state = self.state.lock();
        state.unreported_counters.insert(row.key.clone());
        let counters = state.counters.entry(row.key.clone()).or_default();
        add_counters(counters, &row.sum);
    }

    /// Counts an endpoint crash caused by a request and returns this gate's count for the request.
    ///
    /// Evicts the oldest count when the maximum number is stored.
    pub fn count_crash(&self, digest: u64, at: Timestamp) -> u32 {
        let mut state = self.state.lock();
        if state.crashes.len() >= MAX_RETAINED_FACTS && !state.crashes.contains_key(&digest) {
            state.crashes.shift_remove_index(0);
        }
        let crash = state.crashes.entry(digest).or_insert((0, at));
        *crash = (crash.0 + 1, at);
        let count = crash.0;
        state.unreported_crashes.insert(digest);
        self.urgent.notify_one();
        count
    }

    /// Records that a move's new version has been stopped; only the first stop of a move counts.
    pub fn record_stop(&self, name: MoveName, stop: Stop) {
        let mut state = self.state.lock();
        if !state.stops.contains_key(&name) {
            state.stops.insert(name.clone(), stop);
            state.unreported_stops.insert(name);
            self.urgent.notify_one();
        }
    }

    /// Returns the stamp for the gate's next report.
    pub(crate) fn next_stamp(&self) -> Stamp {
        let mut state = self.state.lock();
        state.seq += 1;
        Stamp {
            started_at: self.origin.started_at,
            seq: state.seq,
        }
    }

    /// Waits until a report must be sent without delay.
    pub(crate) async fn wait_until_urgent(&self) {
        self.urgent.notified().await;
    }

    /// Wakes the task that waits in [`Self::wait_until_urgent`].
    pub(crate) fn request_urgent_report(&self) {
        self.urgent.notify_one();
    }

    /// Marks all facts as unreported, because the gate attached to another controller.
    pub(crate) fn mark_all_unreported(&self) {
        let mut state = self.state.lock();
        state.unreported_counters = state.counters.keys().cloned().collect();
        state.unreported_crashes = state.crashes.keys().copied().collect();
        state.unreported_stops = state.stops.keys().cloned().collect();
    }

    /// Stores the status that was last reported to the controller.
    pub(crate) fn set_reported_info(&self, info: GateInfo) {
        self.state.lock().info = Some(info);
    }

    /// Returns `true` if `info` differs enough from the last reported status to be reported.
    pub(crate) fn should_report(&self, info: &GateInfo) -> bool {
        let state = self.state.lock();
        state.info.as_ref().is_none_or(|reported| {
            let load_changed = reported.load.abs_diff(info.load) >= LOAD_REPORT_THRESHOLD_PERMILLE;
            let crosses_threshold = (reported.load > OVERLOAD_THRESHOLD_PERMILLE)
                != (info.load > OVERLOAD_THRESHOLD_PERMILLE);
            load_changed || crosses_threshold || reported.accepting != info.accepting
        })
    }

    /// Returns the facts that have not been reported, and marks them as reported.
    ///
    /// Evicts expired facts first.
    pub(crate) fn take_unreported_facts(&self, now: Timestamp) -> Vec<Fact> {
        let mut state = self.state.lock();
        state.evict_expired(now);
        let keys = std::mem::take(&mut state.unreported_counters);
        let mut facts: Vec<Fact> = keys
            .into_iter()
            .filter_map(|key| self.evidence_fact(&state, key))
            .collect();
        let digests = std::mem::take(&mut state.unreported_crashes);
        facts.extend(
            digests
                .into_iter()
                .filter_map(|d| self.crash_fact(&state, d)),
        );
        let names = std::mem::take(&mut state.unreported_stops);
        facts.extend(names.into_iter().filter_map(|name| {
            let stop = state.stops.get(&name)?.clone();
            Some(Fact::Stop(StopFact {
                move_name: name,
                stop,
            }))
        }));
        facts
    }

    fn evidence_fact(&self, state: &ReportState, key: EvidenceKey) -> Option<Fact> {
        let counters = state.counters.get(&key)?.clone();
        let origin = self.origin.clone();
        Some(Fact::Evidence(EvidenceFact {
            origin,
            key,
            counters,
        }))
    }

    fn crash_fact(&self, state: &ReportState, digest: u64) -> Option<Fact> {
        let (count, at) = *state.crashes.get(&digest)?;
        let origin = self.origin.clone();
        Some(Fact::Crash(CrashFact {
            origin,
            digest,
            count,
            at,
        }))
    }
}

impl ReportState {
    fn evict_expired(&mut self, now: Timestamp) {
        self.counters
            .retain(|key, _| now.since(window_start(key.window)) <= COUNTER_RETENTION);
        self.crashes
            .retain(|_, (_, at)| now.since(*at) <= CRASH_RETENTION);
        let excess = self.stops.len().saturating_sub(MAX_RETAINED_FACTS);
        self.stops.drain(..excess);
    }
}

fn add_counters(sum: &mut Counters, counters: &Counters) {
    sum.ok += counters.ok;
    sum.failed += counters.failed;
    let buckets = sum.latency.len().max(counters.latency.len());
    sum.latency.resize(buckets, 0);
    for (total, seen) in sum.latency.iter_mut().zip(&counters.latency) {
        *total += seen;
    }
}
