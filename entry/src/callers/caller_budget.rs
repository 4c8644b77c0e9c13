//! Budget of a process for the connections, heads and bodies of requests.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::BufferBudget;
use crate::Metrics;
use crate::callers::caller_ledger::BudgetFull;
use crate::callers::caller_ledger::CallerLedger;
use crate::callers::caller_ledger::Phase;
use crate::log_limit;

/// Bytes of a head for which the read buffer of an idle connection has room.
const FREE_HEAD_BYTES: usize = 8 * 1024;

/// Divisor of the memory for connections, heads and bodies of callers.
const CALLER_PART_DIVISOR: usize = 3;

/// Divisor of the memory for the same of forwarded requests.
const FORWARD_PART_DIVISOR: usize = 12;

/// Divisor of the memory for the same of the directory, the readiness probe and metrics.
const INFO_PART_DIVISOR: usize = 24;

/// Divisor of the memory for the bodies of peers' calls; on the smallest VM, one of 10 MB fits.
const PEER_PART_DIVISOR: usize = 6;

/// Divisor of the descriptors for connections of callers. What all these shares leave, a tenth even if an
/// eighth more of each is about to close, is for endpoints and the platform.
const CALLER_DESCRIPTORS_DIVISOR: usize = 2;

/// Divisor of the descriptors for connections of peers that forward requests.
const FORWARD_DESCRIPTORS_DIVISOR: usize = 16;

/// Divisor of the descriptors for connections to the directory, the readiness probe and metrics.
const INFO_DESCRIPTORS_DIVISOR: usize = 32;

/// Divisor of the descriptors for connections of peers' calls; each peer keeps one or two open.
const PEER_DESCRIPTORS_DIVISOR: usize = 4;

/// Resources of the VM that a process may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResourceLimits {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Number of open descriptors.
    pub descriptors: usize,
    /// Bandwidth of the link in Mbit/s, rounded; 0 if it is not known.
    pub link_mbps: u32,
}

impl Default for ResourceLimits {
    /// Returns the resources of the smallest VM.
    fn default() -> Self {
        Self {
            memory_bytes: 120_000_000,
            descriptors: 3075,
            link_mbps: 0,
        }
    }
}

/// Budgets for the requests that an entry receives.
#[derive(Debug)]
pub struct RequestBudgets {
    /// Budget for callers.
    pub callers: Arc<CallerBudget>,
    /// Budget for peers that forward requests.
    pub forwards: Arc<CallerBudget>,
    /// Budget for the directory, the readiness probe and metrics.
    pub info: Arc<CallerBudget>,
    /// Memory for the bodies of peers' calls.
    pub(crate) peers: Arc<BufferBudget>,
    /// Maximum number of connections of peers' calls.
    pub(crate) peer_connections: u32,
}

impl RequestBudgets {
    /// Creates unused budgets.
    pub fn new(limits: ResourceLimits, metrics: &Metrics) -> Self {
        let ResourceLimits {
            memory_bytes,
            descriptors,
            link_mbps: _,
        } = limits;
        let budget = |memory_bytes, connections| {
            let budget = CallerBudget::new(memory_bytes, connections, metrics.clone());
            Arc::new(budget)
        };
        Self {
            callers: budget(
                memory_bytes / CALLER_PART_DIVISOR,
                descriptors / CALLER_DESCRIPTORS_DIVISOR,
            ),
            forwards: budget(
                memory_bytes / FORWARD_PART_DIVISOR,
                descriptors / FORWARD_DESCRIPTORS_DIVISOR,
            ),
            info: budget(
                memory_bytes / INFO_PART_DIVISOR,
                descriptors / INFO_DESCRIPTORS_DIVISOR,
            ),
            peer_connections: (descriptors / PEER_DESCRIPTORS_DIVISOR) as u32,
            peers: Arc::new(BufferBudget::with_capacity(
                memory_bytes / PEER_PART_DIVISOR,
            )),
        }
    }
}

/// What is needed to evict a connection.
#[derive(Debug)]
struct Evictee {
    buffer: Arc<Mutex<Vec<u8>>>,
    evicted: CancellationToken,
}

#[derive(Debug)]
struct Shared {
    ledger: CallerLedger,
    evictees: IndexMap<u64, Evictee>,
}

impl Shared {
    /// Frees the bodies of evicted connections at once and wakes their tasks.
    fn evict(&mut self, ids: &[u64]) {
        for id in ids {
            if let Some(evictee) = self.evictees.get(id) {
                *evictee.buffer.lock() = Vec::new();
                evictee.evicted.cancel();
            }
        }
    }
}

/// Budget for the connections, heads and bodies of the requests that a server receives.
#[derive(Debug)]
pub struct CallerBudget {
    shared: Mutex<Shared>,
    metrics: Metrics,
}

impl CallerBudget {
    /// Creates an unused budget of `bytes` for at most `connections` connections.
    pub fn new(bytes: usize, connections: usize, metrics: Metrics) -> Self {
        let shared = Shared {
            ledger: CallerLedger::new(bytes, connections),
            evictees: IndexMap::new(),
        };
        Self {
            shared: Mutex::new(shared),
            metrics,
        }
    }

    /// Adds a connection, for which idle ones may be evicted; `None` if the budget is used up.
    pub(crate) fn open(self: &Arc<Self>) -> Option<Arc<CallerConnection>> {
        let mut shared = self.shared.lock();
        let opened = shared.ledger.open(Instant::now());
        let Ok((id, closed_ids)) = opened else {
            drop(shared);
            self.record("connection_refused", 1);
            return None;
        };
        let connection = CallerConnection {
            budget: Arc::clone(self),
            id,
            evicted: CancellationToken::new(),
            buffer: Arc::default(),
            head_bytes: AtomicUsize::new(0),
            in_request: AtomicBool::new(false),
            has_unread_body: AtomicBool::new(false),
        };
        let evictee = Evictee {
            buffer: Arc::clone(&connection.buffer),
            evicted: connection.evicted.clone(),
        };
        shared.evictees.insert(id, evictee);
        shared.evict(&closed_ids);
        drop(shared);
        self.record("connection_closed", closed_ids.len());
        Some(Arc::new(connection))
    }

    /// Counts and logs what the budget was too small for.
    pub(crate) fn record(&self, reason: &'static str, count: usize) {
        if count == 0 {
            return;
        }
        self.metrics.record_caller_limit(reason, count as u64);
        if log_limit::allows(reason) {
            let (used, connections) = {
                let ledger = &self.shared.lock().ledger;
                (ledger.used(), ledger.connections())
            };
            tracing::warn!(event = "caller_limit", reason, count, used, connections);
        }
    }
}

/// A connection in a budget; removed from it when the value is dropped.
#[derive(Debug)]
pub struct CallerConnection {
    budget: Arc<CallerBudget>,
    id: u64,
    evicted: CancellationToken,
    /// Body of the request that arrives; emptied on eviction.
    buffer: Arc<Mutex<Vec<u8>>>,
    head_bytes: AtomicUsize,
    in_request: AtomicBool,
    has_unread_body: AtomicBool,
}

impl CallerConnection {
    /// Waits until the connection is to be closed in favour of others.
    pub(crate) async fn wait_for_eviction(&self) {
        self.evicted.cancelled().await;
    }

    /// Returns whether a request is being received or served.
    pub(crate) fn in_request(&self) -> bool {
        self.in_request.load(Ordering::Relaxed)
    }

    /// Returns whether the body of the last request has not been read to its end.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::Relaxed)
    }

    /// Records bytes that were read; those of heads occupy the budget if they are many.
    pub(crate) fn record_read(&self, bytes: usize) -> Result<(), BudgetFull> {
        let mut shared = self.budget.shared.lock();
        shared.ledger.record_progress(self.id, Instant::now());
        if self.in_request() {
            return Ok(());
        }
        let before = self.head_bytes.fetch_add(bytes, Ordering::Relaxed);
        let held = before.saturating_sub(FREE_HEAD_BYTES);
        let added = (before + bytes).saturating_sub(FREE_HEAD_BYTES) - held;
        drop(shared);
        self.grow(added)
    }

    /// Records that a request's head has arrived.
    pub(crate) fn begin_request(&self, has_body: bool) {
        self.in_request.store(true, Ordering::Relaxed);
        self.has_unread_body.store(has_body, Ordering::Relaxed);
        self.head_bytes.store(0, Ordering::Relaxed);
        self.set_phase(Phase::Serving);
    }

    /// Records that the response to a request is complete.
    pub(crate) fn end_request(&self) {
        self.in_request.store(false, Ordering::Relaxed);
        self.budget.shared.lock().ledger.clear(self.id);
        self.set_phase(Phase::Head);
    }

    /// Records that the connection waits for a request's body.
    pub(crate) fn begin_body(&self) {
        self.set_phase(Phase::Body);
    }

    /// Appends a part of a body of at most `max` bytes.
    pub(crate) fn extend_body(&self, part: &[u8], max: usize) -> Result<(), BudgetFull> {
        let (len, capacity) = {
            let buffer = self.buffer.lock();
            (buffer.len(), buffer.capacity())
        };
        let needed = len + part.len();
        if needed > capacity {
            let larger = needed.next_power_of_two().max(1024).min(max).max(needed);
            self.grow(larger - capacity)?;
            self.buffer.lock().reserve_exact(larger - len);
        }
        self.buffer.lock().extend_from_slice(part);
        Ok(())
    }

    /// Returns the complete body, which occupies the budget until the last copy is dropped.
    pub(crate) fn complete_body(&self) -> Result<Bytes, BudgetFull> {
        let mut shared = self.budget.shared.lock();
        // An eviction, which happens under this lock, has emptied the buffer.
        if self.evicted.is_cancelled() {
            return Err(BudgetFull);
        }
        let bytes = std::mem::take(&mut *self.buffer.lock());
        let held = shared.ledger.detach(self.id, bytes.capacity());
        drop(shared);
        self.has_unread_body.store(false, Ordering::Relaxed);
        self.set_phase(Phase::Serving);
        Ok(Bytes::from_owner(RequestBytes {
            bytes,
            held,
            budget: Arc::clone(&self.budget),
        }))
    }

    /// Drops what has arrived of a body that is not read on.
    pub(crate) fn abandon_body(&self) {
        *self.buffer.lock() = Vec::new();
        self.budget.shared.lock().ledger.clear(self.id);
        self.set_phase(Phase::Serving);
    }

    /// Counts and logs a body that is refused.
    pub(crate) fn record(&self, reason: &'static str) {
        self.budget.record(reason, 1);
    }

    fn set_phase(&self, phase: Phase) {
        let mut shared = self.budget.shared.lock();
        shared.ledger.set_phase(self.id, phase, Instant::now());
    }

    fn grow(&self, bytes: usize) -> Result<(), BudgetFull> {
        if bytes == 0 {
            return Ok(());
        }
        let mut shared = self.budget.shared.lock();
        let evicted = shared.ledger.grow(self.id, bytes)?;
        shared.evict(&evicted);
        Ok(())
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let mut shared = self.budget.shared.lock();
        shared.ledger.close(self.id);
        shared.evictees.swap_remove(&self.id);
    }
}

/// Complete body that occupies a budget until it is dropped.
struct RequestBytes {
    bytes: Vec<u8>,
    held: usize,
    budget: Arc<CallerBudget>,
}

impl AsRef<[u8]> for RequestBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for RequestBytes {
    fn drop(&mut self) {
        self.budget.shared.lock().ledger.release(self.held);
    }
}
