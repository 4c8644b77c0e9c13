//! The bounded event record of a process, for the time line over all processes.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use crate::Clock;
use crate::Timestamp;

/// Events kept by a process.
const EVENTS_KEPT: usize = 4096;

/// Hybrid logical time: wall time, then a counter that orders events of the same millisecond.
///
/// Source: Kulkarni et al., "Logical Physical Clocks", 2014.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct HybridTime {
    /// Wall time, never behind any time seen.
    pub wall: Timestamp,
    /// Counter within the wall time.
    pub count: u32,
}

/// One event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Process that recorded the event.
    pub process: String,
    /// Number of the event in its process, from zero.
    pub seq: u64,
    /// Causally consistent time.
    pub time: HybridTime,
    /// What happened, as `area.verb`.
    pub what: String,
    /// Identifiers and values: `request`, `move`, `lease`, `endpoint` and others.
    pub fields: IndexMap<String, String>,
}

#[derive(Debug)]
struct Inner {
    events: VecDeque<Event>,
    next: u64,
    time: HybridTime,
}

/// Event record of a process.
#[derive(Clone, Debug)]
pub struct EventLog {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
    process: Arc<str>,
}

impl EventLog {
    /// Creates an empty record for the named process.
    pub fn new(process: &str, clock: Clock) -> Self {
        let inner = Inner {
            events: VecDeque::new(),
            next: 0,
            time: HybridTime::default(),
        };
        Self {
            clock,
            inner: Arc::new(Mutex::new(inner)),
            process: Arc::from(process),
        }
    }

    /// Records an event with its fields.
    pub fn record(&self, what: &str, fields: &[(&str, &dyn ToString)]) {
        let fields: IndexMap<String, String> = fields
            .iter()
            .map(|(name, value)| ((*name).to_owned(), value.to_string()))
            .collect();
        tracing::debug!(what, ?fields, "event");
        let mut inner = self.inner.lock();
        let time = inner.tick(self.clock.now());
        let seq = inner.next;
        inner.next += 1;
        if inner.events.len() == EVENTS_KEPT {
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

    /// Returns the current hybrid time, to be sent along with a message.
    pub fn time(&self) -> HybridTime {
        self.inner.lock().tick(self.clock.now())
    }

    /// Moves the hybrid time past a time that came with a message.
    pub fn observe(&self, seen: HybridTime) {
        let mut inner = self.inner.lock();
        inner.time = inner.time.max(seen);
    }

    /// Returns the newest events from number `from` on, at most `limit`.
    pub fn newest(&self, from: u64, limit: usize) -> Vec<Event> {
        let inner = self.inner.lock();
        let skipped = inner.next.saturating_sub(limit as u64);
        let from = from.max(skipped);
        // Looked for from the end, since a report is made often and brings few events.
        let newest = inner.events.iter().rev().take_while(|e| e.seq >= from);
        let mut events: Vec<Event> = newest.cloned().collect();
        events.reverse();
        events
    }

    /// Returns the events from number `from` on.
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
