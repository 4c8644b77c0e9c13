//! Splits an event stream at event boundaries without changing its bytes.
//!
//! The format is defined by the HTML standard, section 9.2.6.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;

use crate::BufferBudget;
use crate::BufferFull;
use crate::connections::buffer_budget::BufferLease;
use crate::connections::buffer_budget::lease_bytes;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Error of an event that cannot be buffered.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum EventError {
    /// an event is larger than 1 MiB
    TooLarge,
    /// {0}
    NoMemory(BufferFull),
}

impl From<BufferFull> for EventError {
    fn from(error: BufferFull) -> Self {
        Self::NoMemory(error)
    }
}

/// Buffer that releases bytes of an event stream up to the last complete event.
#[derive(Debug)]
pub struct EventSplitter {
    buffers: Arc<BufferBudget>,
    partial: BytesMut,
    /// Share of the budget that `partial` occupies.
    lease: BufferLease,
    position: LinePosition,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates an empty splitter whose buffer, and the events that it returns, count against a budget.
    pub fn new(buffers: &Arc<BufferBudget>) -> Self {
        Self {
            buffers: Arc::clone(buffers),
            partial: BytesMut::new(),
            lease: BufferLease::new(Arc::clone(buffers)),
            position: LinePosition::default(),
            last_id: None,
        }
    }

    /// Appends bytes and returns all complete events in the buffer, unchanged, or `None`.
    ///
    /// # Errors
    ///
    /// Returns an [`EventError`] when the buffer exceeds 1 MiB without a complete event, or what is left
    /// of the budget.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventError> {
        let scanned = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let Some(end) = self.position.last_boundary(bytes) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(EventError::TooLarge);
            }
            self.lease.resize(self.partial.capacity())?;
            return Ok(None);
        };
        let complete = self.partial.split_to(scanned + end).freeze();
        let mut lease = BufferLease::new(Arc::clone(&self.buffers));
        lease.resize(complete.len())?;
        self.lease.resize(self.partial.capacity())?;
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(Some(lease_bytes(complete, lease)))
    }

    /// Returns the numeric id of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the buffer holds part of an event or of a line; whole comments are neither.
    pub fn has_partial(&self) -> bool {
        let is_comment = |line: &[u8]| line.is_empty() || line.starts_with(b":");
        self.position == LinePosition::Within || !lines(&self.partial).all(is_comment)
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.position = LinePosition::default();
        let lease = BufferLease::new(Arc::clone(&self.buffers));
        let lease = std::mem::replace(&mut self.lease, lease);
        lease_bytes(std::mem::take(&mut self.partial).freeze(), lease)
    }

    /// Discards the incomplete event in the buffer.
    pub fn discard_partial(&mut self) {
        self.take_rest();
    }
}

/// Position in the lines of an event stream; a line ends with LF, CR, or CR and LF.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum LinePosition {
    /// At the start of a line.
    #[default]
    Start,
    /// Within a line.
    Within,
    /// After the CR of a line that was not empty; an LF belongs to the same line end.
    AfterCr,
    /// After the CR of an empty line; an LF belongs to the same line end.
    AfterEmptyCr,
}

impl LinePosition {
    /// Reads the next bytes; returns the end of the last empty line in them, which ends an event.
    fn last_boundary(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut boundary = None;
        for (index, byte) in bytes.iter().enumerate() {
            if self.advance(*byte) {
                boundary = Some(index + 1);
            }
        }
        boundary
    }

    /// Reads the next byte; returns whether it ends an empty line.
    fn advance(&mut self, byte: u8) -> bool {
        let (next, ends_empty_line) = match (*self, byte) {
            (Self::Within | Self::AfterCr, b'\n') => (Self::Start, false),
            (Self::Start | Self::AfterEmptyCr, b'\n') => (Self::Start, true),
            (Self::Within, b'\r') => (Self::AfterCr, false),
            (_, b'\r') => (Self::AfterEmptyCr, true),
            _ => (Self::Within, false),
        };
        *self = next;
        ends_empty_line
    }
}

/// Returns the lines of a stream; there is an empty one between a CR and an LF.
fn lines(bytes: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    bytes.split(|b| matches!(b, b'\n' | b'\r'))
}

/// Returns whether bytes of a stream hold an event, and not only comments or empty lines.
pub(crate) fn has_event(bytes: &[u8]) -> bool {
    lines(bytes).any(|line| line.starts_with(b"data") || line.starts_with(b"id"))
}

fn last_id(events: &[u8]) -> Option<u64> {
    let mut ids = lines(events)
        .rev()
        .filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
