//! Slots of a continuous batch, given to interactive requests before deferred ones.

use std::collections::VecDeque;
use std::sync::Arc;

use hawthornrack_lib::Priority;
use parking_lot::Mutex;
use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    slots: u32,
    interactive: VecDeque<oneshot::Sender<Slot>>,
    deferred: VecDeque<oneshot::Sender<Slot>>,
}

/// The slots of an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Batch {
    inner: Arc<Mutex<Inner>>,
}

/// A slot in use; dropped, it goes to the next request.
#[derive(Debug)]
pub(crate) struct Slot {
    batch: Option<Batch>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(batch) = self.batch.take() {
            batch.inner.lock().running -= 1;
            batch.admit();
        }
    }
}

impl Batch {
    /// Sets the number of slots.
    pub(crate) fn resize(&self, slots: u32) {
        self.inner.lock().slots = slots;
        self.admit();
    }

    /// Waits for a slot.
    pub(crate) async fn enter(&self, priority: Priority) -> Slot {
        let (sender, receiver) = oneshot::channel();
        {
            let mut inner = self.inner.lock();
            match priority {
                Priority::Interactive => inner.interactive.push_back(sender),
                Priority::Deferred => inner.deferred.push_back(sender),
            }
        }
        self.admit();
        match receiver.await {
            Ok(slot) => slot,
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns the number of requests that run.
    pub(crate) fn running(&self) -> u32 {
        self.inner.lock().running
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&self) -> u32 {
        let inner = self.inner.lock();
        (inner.interactive.len() + inner.deferred.len()) as u32
    }

    fn admit(&self) {
        while let Some(next) = self.take_next() {
            let slot = Slot {
                batch: Some(self.clone()),
            };
            if let Err(mut unused) = next.send(slot) {
                unused.batch = None;
                self.inner.lock().running -= 1;
            }
        }
    }

    fn take_next(&self) -> Option<oneshot::Sender<Slot>> {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        if inner.running >= inner.slots {
            return None;
        }
        let next = inner.interactive.pop_front();
        let next = next.or_else(|| inner.deferred.pop_front())?;
        inner.running += 1;
        Some(next)
    }
}
