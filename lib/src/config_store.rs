//! Store of the configuration in force at this node; callers can wait for a record's verdict.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::Body;
use crate::ConfigState;
use crate::Offset;
use crate::Record;
use crate::RecordId;
use crate::Timestamp;
use crate::Verdict;
use crate::recent_records::RecentRecords;

/// Newest checkpoint that this node knows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CheckpointInfo {
    /// Last offset that the checkpoint covers.
    pub(crate) as_of: Offset,
    /// Time at which the checkpoint was written.
    pub(crate) at: Timestamp,
}

/// The configuration in force; `None` until it has been read.
#[derive(Debug)]
pub(crate) struct ConfigStore {
    pub(crate) recent: RecentRecords,
    checkpoint: Mutex<CheckpointInfo>,
    state: watch::Sender<Option<Arc<ConfigState>>>,
}

impl ConfigStore {
    pub(crate) fn new() -> Self {
        Self {
            recent: RecentRecords::default(),
            checkpoint: Mutex::default(),
            state: watch::Sender::new(None),
        }
    }

    /// Returns the configuration in force, or `None` until it has been read.
    pub(crate) fn current(&self) -> Option<Arc<ConfigState>> {
        self.state.borrow().clone()
    }

    /// Returns a receiver that is notified of every later configuration.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Arc<ConfigState>>> {
        self.state.subscribe()
    }

    /// Returns the offset of the next record to apply.
    pub(crate) fn next_offset(&self) -> Offset {
        self.state.borrow().as_ref().map_or(Offset(0), |s| s.next)
    }

    /// Replaces the state, unless the one in force is as new or newer.
    pub(crate) fn install(&self, state: ConfigState) {
        self.state.send_if_modified(|current| {
            let is_newer = current.as_ref().is_none_or(|c| c.next < state.next);
            if is_newer {
                *current = Some(Arc::new(state));
            }
            is_newer
        });
    }

    /// Applies those records that directly follow the state in force.
    ///
    /// Returns the applied records with their verdicts; a record without a change, or one that was
    /// applied before, has none.
    pub(crate) fn apply(&self, records: &[Record]) -> Vec<(Record, Option<Verdict>)> {
        let mut applied = Vec::new();
        self.state.send_if_modified(|current| {
            let mut state = current.as_deref().cloned().unwrap_or_default();
            let before = state.next;
            for record in records {
                if record.offset == state.next {
                    let verdict = state.apply(record);
                    self.recent.push(record);
                    self.record_checkpoint_part(record);
                    applied.push((record.clone(), verdict));
                }
            }
            let changed = state.next != before || current.is_none();
            if changed {
                *current = Some(Arc::new(state));
            }
            changed
        });
        applied
    }

    /// Returns the newest checkpoint that this node knows.
    pub(crate) fn checkpoint(&self) -> CheckpointInfo {
        *self.checkpoint.lock()
    }

    /// Records a checkpoint if it is newer than the known one.
    pub(crate) fn record_checkpoint(&self, as_of: Offset, at: Timestamp) {
        let mut newest = self.checkpoint.lock();
        if at > newest.at {
            *newest = CheckpointInfo { as_of, at };
        }
    }

    /// Records a checkpoint if `record` holds its last part.
    fn record_checkpoint_part(&self, record: &Record) {
        if let Body::Checkpoint(part) = &record.envelope.body
            && part.index + 1 == part.count
        {
            self.record_checkpoint(part.as_of, record.envelope.at);
        }
    }

    /// Waits until the verdict on a record is known; returns it with the record's offset.
    pub(crate) async fn wait_for_verdict(&self, id: RecordId) -> (Offset, Verdict) {
        let mut states = self.subscribe();
        loop {
            let known = states
                .borrow_and_update()
                .as_ref()
                .and_then(|s| s.verdicts.get(&id).cloned());
            if let Some(verdict) = known {
                return verdict;
            }
            if states.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}
