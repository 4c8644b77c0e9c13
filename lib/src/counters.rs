//! Event counters of a gate.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

/// Snapshot of a gate's counters, each counted since the gate started.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GateCounts {
    /// Attempts after the first attempt of a request.
    pub retries: u64,
    /// Streams resumed on the same engine.
    pub resumed: u64,
    /// Streams continued on another engine from the text generated so far.
    pub continued: u64,
    /// Streams whose KV cache was transferred to another engine.
    #[serde(rename = "moved")]
    pub cache_transfers: u64,
    /// Prompt and output tokens recomputed to continue a stream; prompts are estimated at 4 bytes
    /// per token.
    pub recomputed: u64,
    /// Requests handed over to another gate.
    pub handed_over: u64,
    /// Responses dropped because they belonged to another attempt or stream.
    #[serde(rename = "crossed")]
    pub mismatched: u64,
}

/// Index of a counter in [`GateCounters`]; the fields of [`GateCounts`] describe them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum GateCounter {
    Retries,
    Resumed,
    Continued,
    CacheTransferred,
    Recomputed,
    HandedOver,
    Mismatched,
}

/// Lock-free counters, one for each [`GateCounter`].
#[derive(Debug, Default)]
pub(crate) struct GateCounters {
    values: [AtomicU64; 7],
}

impl GateCounters {
    pub(crate) fn add(&self, counter: GateCounter, amount: u64) {
        self.values[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> GateCounts {
        let value = |counter: GateCounter| self.values[counter as usize].load(Ordering::Relaxed);
        GateCounts {
            retries: value(GateCounter::Retries),
            resumed: value(GateCounter::Resumed),
            continued: value(GateCounter::Continued),
            cache_transfers: value(GateCounter::CacheTransferred),
            recomputed: value(GateCounter::Recomputed),
            handed_over: value(GateCounter::HandedOver),
            mismatched: value(GateCounter::Mismatched),
        }
    }
}
