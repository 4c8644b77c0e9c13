//! Prefill work of the prompts with a shared prefix, which determines how many engines serve them.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::PartId;
use crate::prefill_time;

/// Time constant of the moving average of a prefix's work. An entry of a large system gets a request
/// with a given prefix every few seconds at most.
const AVERAGING_TIME: Duration = Duration::from_secs(30);

/// Maximum number of prefixes whose work is known; the ones used least recently are forgotten.
const MAX_PREFIXES: usize = 1024;

/// Share of an engine's prefill time that the prompts with one prefix may use on average, so that
/// bursts and other prompts have room.
const MAX_ENGINE_SHARE: f64 = 0.3;

/// Prefill work of one prefix as sent by this entry, averaged exponentially.
#[derive(Clone, Copy, Debug)]
struct PrefixLoad {
    /// Sum of the prefill times, in seconds; each counts less as it gets older.
    seconds: f64,
    as_of: Instant,
}

impl PrefixLoad {
    fn seconds_at(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.as_of);
        self.seconds * (-age.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
    }
}

/// Prefill work by shared prefix, known by the prefix's last part.
#[derive(Debug, Default)]
pub(crate) struct PrefixLoads {
    loads: IndexMap<PartId, PrefixLoad>,
}

impl PrefixLoads {
    /// Adds a prompt that is sent with `prefill` tokens that are not cached.
    pub(crate) fn record(&mut self, prefix: PartId, prefill: u32, now: Instant) {
        let known = self.loads.shift_remove(&prefix);
        let seconds = known.map_or(0.0, |load| load.seconds_at(now));
        let load = PrefixLoad {
            seconds: seconds + prefill_time(prefill).as_secs_f64(),
            as_of: now,
        };
        self.loads.insert(prefix, load);
        if self.loads.len() > MAX_PREFIXES {
            self.loads.shift_remove_index(0);
        }
    }

    /// Returns the number of engines that the prompts with a prefix need, if each of `entries` sends
    /// as many as this one.
    pub(crate) fn needed_engines(&self, prefix: PartId, entries: usize, now: Instant) -> usize {
        let load = self.loads.get(&prefix);
        let seconds = load.map_or(0.0, |load| load.seconds_at(now));
        let busy = seconds / AVERAGING_TIME.as_secs_f64() * entries as f64;
        (busy / MAX_ENGINE_SHARE).ceil() as usize
    }
}
