//! Ledger of the connections of a server and of the bytes that their unfinished requests hold.
//!
//! When connections or bytes are short, connections that wait for their callers are evicted: first those
//! that hold bytes, then idle ones, in both cases the one without progress for longest.

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

/// Bytes that a connection occupies without a request: a read buffer of 8 KiB, its task and its state.
pub const CONNECTION_BYTES: usize = 12 * 1024;

/// Maximum number of bytes that a connection with a small request holds.
const SMALL_REQUEST_BYTES: usize = 64 * 1024;

/// Divisor of the capacity for the part that only small requests use.
const SMALL_PART_DIVISOR: usize = 4;

/// Divisor of the maximum number of connections for evicted ones that are not closed yet.
const CLOSING_DIVISOR: usize = 8;

/// Reason for which a connection or bytes are refused: the budget is used up by requests that are being
/// served or that have made progress later.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
#[displaydoc("no room is left for a connection or its request")]
pub struct BudgetFull;

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Waits for a request, or for the rest of its head.
    Head,
    /// Waits for the rest of a request's body.
    Body,
    /// Serves a request that has arrived.
    Serving,
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    progressed: Instant,
    bytes: usize,
}

/// Ledger of connections and of the bytes that their requests hold.
#[derive(Debug)]
pub struct CallerLedger {
    capacity: usize,
    max_connections: usize,
    used: usize,
    connections: IndexMap<u64, Entry>,
    /// Evicted connections that are not closed yet.
    closing: IndexSet<u64>,
    next_id: u64,
}

impl CallerLedger {
    /// Creates an empty ledger.
    pub fn new(capacity: usize, max_connections: usize) -> Self {
        Self {
            capacity,
            max_connections,
            used: 0,
            connections: IndexMap::new(),
            closing: IndexSet::new(),
            next_id: 0,
        }
    }

    /// Returns the bytes in use.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of open connections that are not evicted.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Adds a connection; returns its id and the connections that are evicted for it.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetFull`] if no connection can be evicted, or too many are that are still open.
    pub fn open(&mut self, now: Instant) -> Result<(u64, Vec<u64>), BudgetFull> {
        if self.closing.len() > self.max_connections / CLOSING_DIVISOR {
            return Err(BudgetFull);
        }
        let mut evicted = Vec::new();
        while self.connections.len() >= self.max_connections
            || self.used + CONNECTION_BYTES > self.capacity
        {
            evicted.push(self.evict(None).ok_or(BudgetFull)?);
        }
        let id = self.next_id;
        self.next_id += 1;
        self.used += CONNECTION_BYTES;
        let entry = Entry {
            phase: Phase::Head,
            progressed: now,
            bytes: 0,
        };
        self.connections.insert(id, entry);
        Ok((id, evicted))
    }

    /// Removes a connection that is closed, and its bytes.
    pub fn close(&mut self, id: u64) {
        if !self.closing.swap_remove(&id) {
            self.remove(id);
        }
    }

    /// Records what a connection does from now on.
    pub fn set_phase(&mut self, id: u64, phase: Phase, now: Instant) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.phase = phase;
            entry.progressed = now;
        }
    }

    /// Records that bytes have arrived on a connection.
    pub fn record_progress(&mut self, id: u64, now: Instant) {
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.progressed = now;
        }
    }

    /// Adds bytes to a connection's request; returns the connections that are evicted for it.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetFull`] if the connection has been evicted, or no other can be.
    pub fn grow(&mut self, id: u64, bytes: usize) -> Result<Vec<u64>, BudgetFull> {
        let held = self.connections.get(&id).ok_or(BudgetFull)?.bytes + bytes;
        let mut capacity = self.capacity;
        if held > SMALL_REQUEST_BYTES {
            capacity -= capacity / SMALL_PART_DIVISOR;
        }
        let mut evicted = Vec::new();
        while self.used + bytes > capacity {
            evicted.push(self.evict(Some(id)).ok_or(BudgetFull)?);
        }
        self.used += bytes;
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.bytes = held;
        }
        Ok(evicted)
    }

    /// Makes bytes of a connection's request outlive the connection, until [`CallerLedger::release`];
    /// returns how many.
    pub fn detach(&mut self, id: u64, bytes: usize) -> usize {
        let Some(entry) = self.connections.get_mut(&id) else {
            return 0;
        };
        entry.bytes -= bytes.min(entry.bytes);
        bytes
    }

    /// Releases bytes that were detached.
    pub const fn release(&mut self, bytes: usize) {
        self.used -= bytes;
    }

    /// Releases the bytes of a connection's request.
    pub fn clear(&mut self, id: u64) {
        if let Some(entry) = self.connections.get_mut(&id) {
            self.used -= std::mem::take(&mut entry.bytes);
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(entry) = self.connections.swap_remove(&id) {
            self.used -= entry.bytes + CONNECTION_BYTES;
        }
    }

    /// Evicts a connection other than `kept`; returns its id, or `None` if all serve requests.
    fn evict(&mut self, kept: Option<u64>) -> Option<u64> {
        let evictable = self
            .connections
            .iter()
            .filter(|(id, e)| e.phase != Phase::Serving && Some(**id) != kept);
        let (id, _) = evictable.min_by_key(|(_, e)| (e.bytes == 0, e.progressed))?;
        let id = *id;
        self.remove(id);
        self.closing.insert(id);
        Some(id)
    }
}
