//! The configuration in force at this node, with a wait for the verdict on a record.

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

/// The newest checkpoint that this node knows of.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CheckpointMark {
    /// Last offset that it covers.
    pub(crate) as_of: Offset,
    /// Time at which it was written.
    pub(crate) at: Timestamp,
}

/// The configuration in force; `None` until it has been read.
#[derive(Debug)]
pub(crate) struct ConfigStore {
    pub(crate) recent: RecentRecords,
    checkpoint: Mutex<CheckpointMark>,
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

    /// Returns the configuration in force.
    pub(crate) fn current(&self) -> Option<Arc<ConfigState>> {
        self.state.borrow().clone()
    }

    /// Returns a receiver of every later configuration.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Arc<ConfigState>>> {
        self.state.subscribe()
    }

    /// Returns the offset of the next record to apply.
    pub(crate) fn next(&self) -> Offset {
        self.state.borrow().as_ref().map_or(Offset(0), |s| s.next)
    }

    /// Installs a whole state, unless a newer one is in force.
    pub(crate) fn install(&self, state: ConfigState) {
        self.state.send_if_modified(|current| {
            let newer = current.as_ref().is_none_or(|c| c.next < state.next);
            if newer {
                *current = Some(Arc::new(state));
            }
            newer
        });
    }

    /// Applies those records that directly follow the state in force.
    ///
    /// Returns the records applied with their verdicts, `None` for those that hold no change.
    pub(crate) fn apply(&self, records: &[Record]) -> Vec<(Record, Option<Verdict>)> {
        let mut applied = Vec::new();
        self.state.send_if_modified(|current| {
            let mut state = current.as_deref().cloned().unwrap_or_default();
            let before = state.next;
            for record in records {
                if record.offset == state.next {
                    let verdict = state.apply(record);
                    self.recent.push(record);
                    self.note_part(record);
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

    /// Returns the newest checkpoint that this node knows of.
    pub(crate) fn checkpoint(&self) -> CheckpointMark {
        *self.checkpoint.lock()
    }

    /// Notes a checkpoint.
    pub(crate) fn note_checkpoint(&self, as_of: Offset, at: Timestamp) {
        let mut mark = self.checkpoint.lock();
        if at > mark.at {
            *mark = CheckpointMark { as_of, at };
        }
    }

    fn note_part(&self, record: &Record) {
        if let Body::Checkpoint(part) = &record.envelope.body
            && part.index + 1 == part.count
        {
            self.note_checkpoint(part.as_of, record.envelope.at);
        }
    }

    /// Waits until the verdict on a record is known.
    pub(crate) async fn verdict(&self, id: RecordId) -> (Offset, Verdict) {
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
