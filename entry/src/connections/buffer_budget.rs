//! Memory for the bytes that servers send, shared by all connections of a process.
//!
//! Any buffer may grow as long as it is no larger than twice what is left for others. Many that grow
//! without end are therefore ended when each is still small. Large ones leave a part to the small ones, so
//! that a response of usual size fits also while callers are slow to read large ones.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// Size of all buffers of a process together, in bytes.
const CAPACITY_BYTES: usize = 32 * 1024 * 1024;

/// Maximum size of a small buffer, in bytes.
const SMALL_BUFFER_BYTES: usize = 64 * 1024;

/// Divisor of the capacity for the part that only small buffers use.
const SMALL_PART_DIVISOR: usize = 4;

/// Minimum size by which a buffer grows, in bytes.
const MIN_BUFFER_BYTES: usize = 1024;

/// Error of a buffer that would be larger than twice what is left for others.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
#[displaydoc("no memory is left for {0} bytes that a server has sent")]
pub struct BufferFull(pub usize);

/// Memory of a process for what servers send.
#[derive(Debug)]
pub struct BufferBudget {
    capacity: usize,
    used: AtomicUsize,
}

impl Default for BufferBudget {
    fn default() -> Self {
        Self::with_capacity(CAPACITY_BYTES)
    }
}

impl BufferBudget {
    /// Creates an unused budget of `capacity` bytes.
    pub const fn with_capacity(capacity: usize) -> Self {
        Self {
            capacity,
            used: AtomicUsize::new(0),
        }
    }

    /// Returns the size of all buffers, in bytes; never more than the capacity.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// Share of a budget that one buffer occupies; released when the value is dropped.
#[derive(Debug)]
pub(crate) struct BufferLease {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

impl BufferLease {
    /// Returns an empty share.
    pub(crate) const fn new(budget: Arc<BufferBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Changes the size of the share to `bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`BufferFull`] if it would be larger than twice what is left for others; the size is
    /// unchanged then.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), BufferFull> {
        let own = self.bytes;
        let mut capacity = self.budget.capacity;
        if bytes > SMALL_BUFFER_BYTES {
            capacity -= capacity / SMALL_PART_DIVISOR;
        }
        let resize = |used: usize| {
            let others = used - own;
            let fits = bytes <= own || others + bytes + bytes / 2 <= capacity;
            fits.then_some(others + bytes)
        };
        let used = &self.budget.used;
        used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, resize)
            .map_err(|_used| BufferFull(bytes))?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes that occupy their share of a budget until the last copy is dropped.
struct LeasedBytes {
    bytes: Bytes,
    _lease: BufferLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that keep `lease` until they are dropped.
pub(crate) fn lease_bytes(bytes: Bytes, lease: BufferLease) -> Bytes {
    let leased = LeasedBytes {
        bytes,
        _lease: lease,
    };
    Bytes::from_owner(leased)
}

/// Buffer that grows within a budget.
#[derive(Debug)]
pub struct LeasedBuffer {
    bytes: Vec<u8>,
    lease: BufferLease,
}

impl LeasedBuffer {
    /// Creates an empty buffer.
    pub const fn new(budget: Arc<BufferBudget>) -> Self {
        Self {
            bytes: Vec::new(),
            lease: BufferLease::new(budget),
        }
    }

    /// Returns the number of bytes in the buffer.
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer holds nothing.
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Returns [`BufferFull`] if the buffer would be larger than twice what is left for others.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), BufferFull> {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            let capacity = needed.next_power_of_two().max(MIN_BUFFER_BYTES);
            self.lease.resize(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the contents, which occupy their share of the budget until the last copy is dropped.
    pub fn freeze(self) -> Bytes {
        lease_bytes(self.bytes.into(), self.lease)
    }
}
