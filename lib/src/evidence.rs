//! Records evidence: counts of request outcomes and latencies by version, route and time window, by
//! which moves are advanced or stopped.

use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::Clock;
use crate::Counters;
use crate::EVIDENCE_WINDOW_MS;
use crate::EvidenceKey;
use crate::EvidenceRow;
use crate::LATENCY_BOUNDS_MS;
use crate::ServiceName;
use crate::VersionName;
use crate::call::Call;
use crate::millis;

/// Number of shards, each with its own lock.
const SHARD_COUNT: usize = 16;

/// Outcome of a request as attributed to its version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleOutcome {
    /// The request succeeded.
    Ok,
    /// The request failed because of its version.
    Failed,
}

/// Counters of the requests of this process, by service, version, route and window.
#[derive(Debug)]
pub struct EvidenceRecorder {
    clock: Clock,
    shards: Vec<Mutex<IndexMap<EvidenceKey, Counters>>>,
}

impl EvidenceRecorder {
    /// Creates an empty recorder.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
        }
    }

    /// Counts one request. Only successful ones count towards the latency histogram.
    pub fn record(
        &self,
        service: &ServiceName,
        version: &VersionName,
        route: &str,
        outcome: SampleOutcome,
        first_byte: Duration,
    ) {
        let key = EvidenceKey {
            service: service.clone(),
            version: version.clone(),
            route: route.to_owned(),
            window: self.clock.now().0 / EVIDENCE_WINDOW_MS,
        };
        let name = format!("{service}/{version}/{route}");
        let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        let mut shard = self.shards[hash as usize % SHARD_COUNT].lock();
        let counters = shard.entry(key).or_default();
        counters.latency.resize(LATENCY_BOUNDS_MS.len() + 1, 0);
        match outcome {
            SampleOutcome::Ok => {
                counters.ok += 1;
                counters.latency[latency_bucket(first_byte)] += 1;
            }
            SampleOutcome::Failed => counters.failed += 1,
        }
    }

    /// Removes and returns the rows recorded since the last call.
    pub fn take_rows(&self) -> Vec<EvidenceRow> {
        let rows = self
            .shards
            .iter()
            .flat_map(|s| std::mem::take(&mut *s.lock()));
        rows.map(|(key, sum)| EvidenceRow { key, sum }).collect()
    }

    /// Counts one request by its call; see [`Self::record`].
    pub(crate) fn record_call(
        &self,
        call: &Call,
        version: &VersionName,
        outcome: SampleOutcome,
        first_byte: Duration,
    ) {
        let service = &call.service.name;
        self.record(service, version, &call.route.prefix, outcome, first_byte);
    }
}

/// Returns the index of the latency bucket, by upper bound; the last bucket is unbounded.
fn latency_bucket(first_byte: Duration) -> usize {
    let latency_ms = millis(first_byte);
    LATENCY_BOUNDS_MS.partition_point(|bound| *bound < latency_ms)
}
