//! In-memory event log of one process; the timeline merges the logs of all processes.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use crate::Clock;
use crate::Timestamp;

/// Maximum number of events that a process retains; the oldest are dropped first.
const EVENT_CAPACITY: usize = 4096;

/// Timestamp of a hybrid logical clock: wall time, then a counter that orders events within the
/// same millisecond.
///
/// Source: Kulkarni et al., "Logical Physical Clocks", 2014.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct HybridTime {
    /// Largest wall time seen so far, on this process's clock or in a message.
    pub wall: Timestamp,
    /// Counter that orders timestamps with the same wall time.
    pub count: u32,
}

/// Event recorded by a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Process that recorded the event.
    pub process: String,
    /// Sequence number of the event within its process, starting at zero.
    pub seq: u64,
    /// Hybrid logical timestamp, consistent with causality between processes.
    pub time: HybridTime,
    /// Kind of event, in the form `area.verb`.
    pub what: String,
    /// Event attributes by name, such as `request`, `move`, `lease` and `endpoint`.
    pub fields: IndexMap<String, String>,
}

#[derive(Debug)]
struct Inner {
    events: VecDeque<Event>,
    next_seq: u64,
    time: HybridTime,
}

/// Bounded event log of a process; clones share the same log.
#[derive(Clone, Debug)]
pub struct EventLog {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
    process: Arc<str>,
}

impl EventLog {
    /// Creates an empty log for the process called `process`.
    pub fn new(process: &str, clock: Clock) -> Self {
        let inner = Inner {
            events: VecDeque::new(),
            next_seq: 0,
            time: HybridTime::default(),
        };
        Self {
            clock,
            inner: Arc::new(Mutex::new(inner)),
            process: Arc::from(process),
        }
    }

    /// Appends an event of kind `what`, dropping the oldest event when the log is full.
    pub fn record(&self, what: &str, fields: &[(&str, &dyn ToString)]) {
        let fields: IndexMap<String, String> = fields
            .iter()
            .map(|(name, value)| ((*name).to_owned(), value.to_string()))
            .collect();
        tracing::debug!(what, ?fields, "event");
        let mut inner = self.inner.lock();
        let time = inner.tick(self.clock.now());
        let seq = inner.next_seq;
        inner.next_seq += 1;
        if inner.events.len() == EVENT_CAPACITY {
            inner.events.pop_front();
        }
        inner.events.push_back(Event {
            process: self.process.to_string(),
            seq,
            time,
            what: what.to_owned(),
            fields,
        });
    }

    /// Advances the hybrid clock and returns its time, to be attached to an outgoing message.
    pub fn time(&self) -> HybridTime {
        self.inner.lock().tick(self.clock.now())
    }

    /// Advances the hybrid clock to at least the time received with a message.
    pub fn observe(&self, received: HybridTime) {
        let mut inner = self.inner.lock();
        inner.time = inner.time.max(received);
    }

    /// Returns events with sequence number `from` or higher, but only the newest `limit` ones.
    pub fn newest(&self, from: u64, limit: usize) -> Vec<Event> {
        let inner = self.inner.lock();
        let skipped = inner.next_seq.saturating_sub(limit as u64);
        let from = from.max(skipped);
        // Scans from the end: reports are frequent and contain only a few new events.
        let newest = inner.events.iter().rev().take_while(|e| e.seq >= from);
        let mut events: Vec<Event> = newest.cloned().collect();
        events.reverse();
        events
    }

    /// Returns all retained events with sequence number `from` or higher.
    pub fn since(&self, from: u64) -> Vec<Event> {
        let inner = self.inner.lock();
        inner
            .events
            .iter()
            .filter(|e| e.seq >= from)
            .cloned()
            .collect()
    }
}

impl Inner {
    fn tick(&mut self, now: Timestamp) -> HybridTime {
        if now > self.time.wall {
            self.time = HybridTime {
                wall: now,
                count: 0,
            };
        } else {
            self.time.count += 1;
        }
        self.time
    }
}
