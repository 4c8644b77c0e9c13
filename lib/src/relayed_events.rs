//! Events of other processes, kept so that the time line shows them after their process died.

use std::collections::VecDeque;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::Event;

/// Events kept of one process.
const EVENTS_KEPT: usize = 1024;

/// Processes whose events are kept.
const PROCESSES_KEPT: usize = 16;

/// The newest events that some other processes have sent here.
#[derive(Debug, Default)]
pub(crate) struct RelayedEvents {
    by_process: Mutex<IndexMap<String, VecDeque<Event>>>,
}

impl RelayedEvents {
    /// Keeps events; those of the process heard of longest ago give way.
    pub(crate) fn keep(&self, events: Vec<Event>) {
        let mut by_process = self.by_process.lock();
        for event in events {
            let mut kept = by_process.shift_remove(&event.process).unwrap_or_default();
            let process = event.process.clone();
            if kept.back().is_none_or(|last| last.time < event.time) {
                kept.push_back(event);
            }
            if kept.len() > EVENTS_KEPT {
                kept.pop_front();
            }
            by_process.insert(process, kept);
        }
        let excess = by_process.len().saturating_sub(PROCESSES_KEPT);
        by_process.drain(..excess);
    }

    /// Returns all events kept.
    pub(crate) fn all(&self) -> Vec<Event> {
        let by_process = self.by_process.lock();
        by_process.values().flatten().cloned().collect()
    }
}
