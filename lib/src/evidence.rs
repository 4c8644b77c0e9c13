//! Records how requests went, by version and route.

use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::Clock;
use crate::Counters;
use crate::EvidenceKey;
use crate::EvidenceRow;
use crate::LATENCY_BOUNDS_MS;
use crate::ServiceName;
use crate::VersionName;
use crate::WINDOW_MS;
use crate::call::Call;
use crate::millis;

/// Shards, each with a lock.
const SHARDS: usize = 16;

/// How a request went, as far as its version is to blame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleOutcome {
    /// The request succeeded.
    Ok,
    /// The request failed through the version's fault.
    Failed,
}

/// Counters of the requests of this process.
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
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }

    /// Counts one request with its time to the first byte.
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
            window: self.clock.now().0 / WINDOW_MS,
        };
        let name = format!("{service}/{version}/{route}");
        let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        let mut shard = self.shards[hash as usize % SHARDS].lock();
        let counters = shard.entry(key).or_default();
        counters.latency.resize(LATENCY_BOUNDS_MS.len() + 1, 0);
        match outcome {
            SampleOutcome::Ok => {
                counters.ok += 1;
                counters.latency[bucket(first_byte)] += 1;
            }
            SampleOutcome::Failed => counters.failed += 1,
        }
    }

    /// Returns the rows since the last call.
    pub fn take_rows(&self) -> Vec<EvidenceRow> {
        let rows = self
            .shards
            .iter()
            .flat_map(|s| std::mem::take(&mut *s.lock()));
        rows.map(|(key, sum)| EvidenceRow { key, sum }).collect()
    }

    /// Counts one call.
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

fn bucket(first_byte: Duration) -> usize {
    let spent = millis(first_byte);
    LATENCY_BOUNDS_MS.partition_point(|bound| *bound < spent)
}
