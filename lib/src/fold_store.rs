//! Store of a folded log stream; callers can wait for a change of its state.

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::CheckpointPart;
use crate::Offset;
use crate::Record;

/// Functions that fold a stream's records into its state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fold<S> {
    /// Applies a record.
    pub(crate) apply: fn(&mut S, &Record),
    /// Returns the initial state for a stream whose first records have expired before they were
    /// read.
    pub(crate) after_gap: fn() -> S,
    /// Returns whether the state is complete, that is, lacks nothing because of records that
    /// expired before they were applied.
    pub(crate) is_complete: fn(&S) -> bool,
}

/// Folded state of a stream up to an offset.
#[derive(Debug)]
pub(crate) struct FoldStore<S> {
    folded: Mutex<Folded<S>>,
    changed: watch::Sender<u64>,
    fold: Fold<S>,
}

#[derive(Debug)]
struct Folded<S> {
    state: S,
    next: Offset,
    caught_up: bool,
    checkpoint: StreamCheckpoint,
}

/// Newest checkpoint of a stream that this node knows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamCheckpoint {
    /// First offset that no checkpoint covers.
    pub(crate) next: Offset,
    /// Local time at which this node learned of the checkpoint.
    pub(crate) at: Instant,
}

impl<S> FoldStore<S>
where
    S: Default,
{
    pub(crate) fn new(fold: Fold<S>) -> Self {
        let folded = Folded {
            state: S::default(),
            next: Offset(0),
            caught_up: false,
            checkpoint: StreamCheckpoint {
                next: Offset(0),
                at: Instant::now(),
            },
        };
        Self {
            folded: Mutex::new(folded),
            changed: watch::Sender::new(0),
            fold,
        }
    }

    /// Returns the offset of the next record to apply.
    pub(crate) fn next(&self) -> Offset {
        self.folded.lock().next
    }

    /// Returns the newest checkpoint that this node knows.
    pub(crate) fn checkpoint(&self) -> StreamCheckpoint {
        self.folded.lock().checkpoint
    }

    /// Records that a checkpoint covers every record before `next`.
    pub(crate) fn record_checkpoint(&self, next: Offset) {
        let mut folded = self.folded.lock();
        folded.checkpoint = StreamCheckpoint {
            next: next.max(folded.checkpoint.next),
            at: Instant::now(),
        };
    }

    /// Passes the state to `read` and returns its result.
    pub(crate) fn with<T>(&self, read: impl FnOnce(&S) -> T) -> T {
        read(&self.folded.lock().state)
    }

    /// Passes the state and the offset of the next record to apply to `read`.
    pub(crate) fn with_next<T>(&self, read: impl FnOnce(&S, Offset) -> T) -> T {
        let folded = self.folded.lock();
        read(&folded.state, folded.next)
    }

    /// Returns whether the state is complete, that is, lacks nothing because of records that
    /// expired before they were applied.
    pub(crate) fn is_complete(&self) -> bool {
        self.with(self.fold.is_complete)
    }

    /// Returns whether the stream has been read to its end since the state was last reset or
    /// installed from a checkpoint.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.folded.lock().caught_up
    }

    /// Marks the stream as read to its end.
    pub(crate) fn set_caught_up(&self) {
        self.folded.lock().caught_up = true;
        self.notify();
    }

    /// Applies those records that directly follow the state.
    pub(crate) fn apply(&self, records: &[Record]) {
        let mut folded = self.folded.lock();
        for record in records {
            if record.offset != folded.next {
                continue;
            }
            (self.fold.apply)(&mut folded.state, record);
            folded.next = record.offset.next();
        }
        drop(folded);
        self.notify();
    }

    /// Resets the state and continues at `first`, because the next record has expired.
    pub(crate) fn restart(&self, first: Offset) {
        let mut folded = self.folded.lock();
        folded.state = (self.fold.after_gap)();
        folded.next = first;
        folded.caught_up = false;
    }

    /// Installs a checkpoint's state, unless the current state is complete.
    pub(crate) fn install(&self, state: S, part: &CheckpointPart) {
        let mut folded = self.folded.lock();
        if (self.fold.is_complete)(&folded.state) {
            return;
        }
        folded.state = state;
        folded.next = part.as_of.next();
        folded.caught_up = false;
    }

    /// Waits until `find` returns a value for the state.
    pub(crate) async fn wait_for<T>(&self, mut find: impl FnMut(&S) -> Option<T>) -> T {
        let mut changes = self.changed.subscribe();
        loop {
            changes.borrow_and_update();
            if let Some(found) = self.with(&mut find) {
                return found;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}
