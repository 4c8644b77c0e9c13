//! Events of other processes, retained so that the timeline includes them after a process dies.

use std::collections::VecDeque;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::Event;

/// Maximum number of events retained per process.
const MAX_EVENTS_PER_PROCESS: usize = 1024;

/// Maximum number of processes whose events are retained.
const MAX_PROCESSES: usize = 16;

/// Newest events received from other processes.
#[derive(Debug, Default)]
pub(crate) struct RelayedEvents {
    by_process: Mutex<IndexMap<String, VecDeque<Event>>>,
}

impl RelayedEvents {
    /// Stores events, evicting those of the process that has gone longest without sending any.
    ///
    /// Skips events that are not newer than the last one stored for their process, so that a
    /// repeated report adds no duplicates.
    pub(crate) fn store(&self, events: Vec<Event>) {
        let mut by_process = self.by_process.lock();
        for event in events {
            let mut retained = by_process.shift_remove(&event.process).unwrap_or_default();
            let process = event.process.clone();
            if retained.back().is_none_or(|last| last.time < event.time) {
                retained.push_back(event);
            }
            if retained.len() > MAX_EVENTS_PER_PROCESS {
                retained.pop_front();
            }
            by_process.insert(process, retained);
        }
        let excess = by_process.len().saturating_sub(MAX_PROCESSES);
        by_process.drain(..excess);
    }

    /// Returns all retained events.
    pub(crate) fn all(&self) -> Vec<Event> {
        let by_process = self.by_process.lock();
        by_process.values().flatten().cloned().collect()
    }
}
