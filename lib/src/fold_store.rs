//! A folded log stream at this node, with waits for what its records bring.

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::CheckpointPart;
use crate::Offset;
use crate::Record;

/// How a stream's records make its state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fold<S> {
    /// Applies a record.
    pub(crate) apply: fn(&mut S, &Record),
    /// Makes the state before the first record read when earlier ones have expired.
    pub(crate) after_gap: fn() -> S,
    /// Tells whether no expired record is missing from the state.
    pub(crate) is_whole: fn(&S) -> bool,
}

/// State of a stream as of an offset.
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
    covered: Mark,
}

/// Newest checkpoint known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mark {
    /// First offset that no checkpoint covers.
    pub(crate) next: Offset,
    /// Time at which the checkpoint was noticed.
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
            covered: Mark {
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

    /// Returns the newest checkpoint known.
    pub(crate) fn mark(&self) -> Mark {
        self.folded.lock().covered
    }

    /// Records that a checkpoint covers every record before `next`.
    pub(crate) fn note_checkpoint(&self, next: Offset) {
        let mut folded = self.folded.lock();
        folded.covered = Mark {
            next: next.max(folded.covered.next),
            at: Instant::now(),
        };
    }

    /// Reads the state.
    pub(crate) fn with<T>(&self, read: impl FnOnce(&S) -> T) -> T {
        read(&self.folded.lock().state)
    }

    /// Reads the state with the offset of the next record to apply.
    pub(crate) fn with_next<T>(&self, read: impl FnOnce(&S, Offset) -> T) -> T {
        let folded = self.folded.lock();
        read(&folded.state, folded.next)
    }

    /// Tells whether no expired record is missing from the state.
    pub(crate) fn is_whole(&self) -> bool {
        self.with(self.fold.is_whole)
    }

    /// Tells whether the stream has been read to its end once.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.folded.lock().caught_up
    }

    /// Records that the stream has been read to its end.
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

    /// Starts again at `first` because the next record has expired.
    pub(crate) fn restart(&self, first: Offset) {
        let mut folded = self.folded.lock();
        folded.state = (self.fold.after_gap)();
        folded.next = first;
        folded.caught_up = false;
    }

    /// Installs a checkpoint's state, unless the state is whole already.
    pub(crate) fn install(&self, state: S, part: &CheckpointPart) {
        let mut folded = self.folded.lock();
        if (self.fold.is_whole)(&folded.state) {
            return;
        }
        folded.state = state;
        folded.next = part.as_of.next();
        folded.caught_up = false;
    }

    /// Waits until `find` finds something in the state.
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
