//! Slots of a continuous batch; interactive requests get them before deferred ones.

use std::collections::VecDeque;
use std::sync::Arc;

use hawthornrack_lib::Priority;
use parking_lot::Mutex;
use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct State {
    /// Number of slots in use.
    running: u32,
    /// Number of slots in total.
    slots: u32,
    interactive: VecDeque<oneshot::Sender<Slot>>,
    deferred: VecDeque<oneshot::Sender<Slot>>,
}

/// Slots of an engine, and the requests queued for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Batch {
    state: Arc<Mutex<State>>,
}

/// Slot in use. When it is dropped, the next queued request gets it.
#[derive(Debug)]
pub(crate) struct Slot {
    batch: Option<Batch>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(batch) = self.batch.take() {
            batch.state.lock().running -= 1;
            batch.assign_slots();
        }
    }
}

impl Batch {
    /// Sets the number of slots and assigns the ones that are free to queued requests.
    pub(crate) fn set_slots(&self, slots: u32) {
        self.state.lock().slots = slots;
        self.assign_slots();
    }

    /// Waits until the request gets a slot.
    pub(crate) async fn acquire_slot(&self, priority: Priority) -> Slot {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.state.lock();
            match priority {
                Priority::Interactive => state.interactive.push_back(sender),
                Priority::Deferred => state.deferred.push_back(sender),
            }
        }
        self.assign_slots();
        match receiver.await {
            Ok(slot) => slot,
            // Unreachable: a sender leaves its queue only to send a slot, and `self` keeps the
            // queues alive.
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns the number of running requests.
    pub(crate) fn running(&self) -> u32 {
        self.state.lock().running
    }

    /// Returns the number of queued requests.
    pub(crate) fn waiting(&self) -> u32 {
        let state = self.state.lock();
        (state.interactive.len() + state.deferred.len()) as u32
    }

    /// Assigns free slots to queued requests.
    fn assign_slots(&self) {
        while let Some(waiter) = self.pop_next() {
            let slot = Slot {
                batch: Some(self.clone()),
            };
            if let Err(mut slot) = waiter.send(slot) {
                // The waiter is gone. The slot is freed here; without its batch, `Drop` does not
                // free it a second time.
                slot.batch = None;
                self.state.lock().running -= 1;
            }
        }
    }

    /// Removes the next request from the queues and counts it as running, if a slot is free.
    fn pop_next(&self) -> Option<oneshot::Sender<Slot>> {
        let mut guard = self.state.lock();
        let state = &mut *guard;
        if state.running >= state.slots {
            return None;
        }
        let waiter = state.interactive.pop_front();
        let waiter = waiter.or_else(|| state.deferred.pop_front())?;
        state.running += 1;
        Some(waiter)
    }
}
