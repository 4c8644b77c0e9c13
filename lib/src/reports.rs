//! What a gate has to report to its controller.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::CRASH_KEPT;
use crate::Counters;
use crate::CrashFact;
use crate::EvidenceFact;
use crate::EvidenceKey;
use crate::EvidenceRow;
use crate::Fact;
use crate::GateInfo;
use crate::MoveName;
use crate::NodeName;
use crate::OVERLOADED;
use crate::Origin;
use crate::Stamp;
use crate::Stop;
use crate::StopFact;
use crate::Timestamp;
use crate::window_start;

/// Time for which a gate keeps its own counters, so that another controller gets them whole.
const COUNTERS_KEPT: Duration = Duration::from_secs(15);

/// Crash counts kept at most.
const MAX_CRASHES: usize = 4096;

/// Change of the load that is reported, in thousandths.
const LOAD_STEP: u32 = 250;

#[derive(Debug, Default)]
struct Inner {
    seq: u64,
    counters: IndexMap<EvidenceKey, Counters>,
    crashes: IndexMap<u64, (u32, Timestamp)>,
    stops: IndexMap<MoveName, Stop>,
    new_counters: IndexSet<EvidenceKey>,
    new_crashes: IndexSet<u64>,
    new_stops: IndexSet<MoveName>,
    info: Option<GateInfo>,
}

/// What a gate has to report to its controller: totals, so that a repeat does no harm.
#[derive(Debug)]
pub struct Reports {
    origin: Origin,
    inner: Mutex<Inner>,
    urgent: Notify,
}

impl Reports {
    /// Creates an empty record for a gate that started at `started`.
    pub fn new(node: NodeName, started: Timestamp) -> Self {
        Self {
            origin: Origin { node, started },
            inner: Mutex::default(),
            urgent: Notify::new(),
        }
    }

    /// Adds counters that a gate gathered as evidence about a version.
    pub fn add(&self, row: &EvidenceRow) {
        let mut inner = self.inner.lock();
        inner.new_counters.insert(row.key.clone());
        let counters = inner.counters.entry(row.key.clone()).or_default();
        add_counters(counters, &row.sum);
    }

    /// Counts an endpoint's crash against a request, and returns this gate's count.
    pub fn count_crash(&self, digest: u64, at: Timestamp) -> u32 {
        let mut inner = self.inner.lock();
        if inner.crashes.len() >= MAX_CRASHES && !inner.crashes.contains_key(&digest) {
            inner.crashes.shift_remove_index(0);
        }
        let crash = inner.crashes.entry(digest).or_insert((0, at));
        *crash = (crash.0 + 1, at);
        let count = crash.0;
        inner.new_crashes.insert(digest);
        self.urgent.notify_one();
        count
    }

    /// Records that a move's new version is stopped.
    pub fn stop(&self, name: MoveName, stop: Stop) {
        let mut inner = self.inner.lock();
        if !inner.stops.contains_key(&name) {
            inner.stops.insert(name.clone(), stop);
            inner.new_stops.insert(name);
            self.urgent.notify_one();
        }
    }

    /// Returns the position of the gate's next statement.
    pub(crate) fn next_stamp(&self) -> Stamp {
        let mut inner = self.inner.lock();
        inner.seq += 1;
        Stamp {
            started: self.origin.started,
            seq: inner.seq,
        }
    }

    /// Waits until there is something that is reported at once.
    pub(crate) async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// Wakes the reporter.
    pub(crate) fn notify(&self) {
        self.urgent.notify_one();
    }

    /// Marks everything as new, for another controller.
    pub(crate) fn start_over(&self) {
        let mut inner = self.inner.lock();
        inner.new_counters = inner.counters.keys().cloned().collect();
        inner.new_crashes = inner.crashes.keys().copied().collect();
        inner.new_stops = inner.stops.keys().cloned().collect();
    }

    /// Notes what the controller knows of the gate.
    pub(crate) fn told(&self, info: GateInfo) {
        self.inner.lock().info = Some(info);
    }

    /// Tells whether the controller should hear of the gate's present state.
    pub(crate) fn is_news(&self, info: &GateInfo) -> bool {
        let inner = self.inner.lock();
        inner.info.as_ref().is_none_or(|told| {
            let load_changed = told.load.abs_diff(info.load) >= LOAD_STEP;
            let crossed = (told.load > OVERLOADED) != (info.load > OVERLOADED);
            load_changed || crossed || told.accepting != info.accepting
        })
    }

    /// Takes what is new since the last call.
    pub(crate) fn take(&self, now: Timestamp) -> Vec<Fact> {
        let mut inner = self.inner.lock();
        inner.drop_old(now);
        let keys = std::mem::take(&mut inner.new_counters);
        let mut facts: Vec<Fact> = keys
            .into_iter()
            .filter_map(|key| self.evidence(&inner, key))
            .collect();
        let digests = std::mem::take(&mut inner.new_crashes);
        facts.extend(digests.into_iter().filter_map(|d| self.crash(&inner, d)));
        let names = std::mem::take(&mut inner.new_stops);
        facts.extend(names.into_iter().filter_map(|name| {
            let stop = inner.stops.get(&name)?.clone();
            Some(Fact::Stop(StopFact { name, stop }))
        }));
        facts
    }

    fn evidence(&self, inner: &Inner, key: EvidenceKey) -> Option<Fact> {
        let counters = inner.counters.get(&key)?.clone();
        let origin = self.origin.clone();
        Some(Fact::Evidence(EvidenceFact {
            origin,
            key,
            counters,
        }))
    }

    fn crash(&self, inner: &Inner, digest: u64) -> Option<Fact> {
        let (count, at) = *inner.crashes.get(&digest)?;
        let origin = self.origin.clone();
        Some(Fact::Crash(CrashFact {
            origin,
            digest,
            count,
            at,
        }))
    }
}

impl Inner {
    fn drop_old(&mut self, now: Timestamp) {
        self.counters
            .retain(|key, _| now.since(window_start(key.window)) <= COUNTERS_KEPT);
        self.crashes
            .retain(|_, (_, at)| now.since(*at) <= CRASH_KEPT);
        let oldest = self.stops.len().saturating_sub(MAX_CRASHES);
        self.stops.drain(..oldest);
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
