//! Counters of a gate.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

/// Readings of a gate's counters.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GateCounts {
    /// Attempts beyond the first of a request.
    pub retries: u64,
    /// Streams picked up again on their engine.
    pub resumed: u64,
    /// Streams continued on another engine from the text so far.
    pub continued: u64,
    /// Streams whose cache was moved to another engine.
    pub moved: u64,
    /// Prompt and answer tokens computed again for a continuation; prompts at 4 bytes a token.
    pub recomputed: u64,
    /// Requests handed over to another gate.
    pub handed_over: u64,
    /// Answers dropped because they belonged to another attempt or stream.
    pub crossed: u64,
}

/// What a counter counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Count {
    Retries,
    Resumed,
    Continued,
    Moved,
    Recomputed,
    HandedOver,
    Crossed,
}

/// Counters, updated by any thread.
#[derive(Debug, Default)]
pub(crate) struct GateCounters {
    values: [AtomicU64; 7],
}

impl GateCounters {
    pub(crate) fn add(&self, count: Count, amount: u64) {
        self.values[count as usize].fetch_add(amount, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> GateCounts {
        let value = |count: Count| self.values[count as usize].load(Ordering::Relaxed);
        GateCounts {
            retries: value(Count::Retries),
            resumed: value(Count::Resumed),
            continued: value(Count::Continued),
            moved: value(Count::Moved),
            recomputed: value(Count::Recomputed),
            handed_over: value(Count::HandedOver),
            crossed: value(Count::Crossed),
        }
    }
}
