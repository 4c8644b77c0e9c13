//! Splits an event stream at event boundaries without changing its bytes.
//!
//! The format is defined by the HTML standard, section 9.2.6.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Length of the longest event boundary, in bytes.
const MAX_BOUNDARY_BYTES: usize = 4;

/// Error of an event that exceeds 1 MiB.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
#[displaydoc("an event is larger than 1 MiB")]
pub struct EventTooLarge;

/// Buffer that releases bytes of an event stream up to the last complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes and returns all complete events in the buffer, unchanged, or `None`.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLarge`] when the buffer exceeds 1 MiB without a complete event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        // The bytes before hold no event boundary, but may hold the first part of one.
        let scan_start = self.partial.len().saturating_sub(MAX_BOUNDARY_BYTES - 1);
        self.partial.extend_from_slice(bytes);
        let Some(end) = complete_len(&self.partial[scan_start..]) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(None);
        };
        let complete = self.partial.split_to(scan_start + end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(Some(complete))
    }

    /// Returns the numeric id of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the buffer holds part of an event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the incomplete event in the buffer.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns whether bytes of a stream hold an event, and not only comments or empty lines.
pub(crate) fn has_event(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|b| *b == b'\n' || *b == b'\r');
    lines.any(|line| line.starts_with(b"data") || line.starts_with(b"id"))
}

fn complete_len(bytes: &[u8]) -> Option<usize> {
    let after_lf = rfind(bytes, b"\n\n").map(|at| at + 2);
    let after_crlf = rfind(bytes, b"\r\n\r\n").map(|at| at + 4);
    after_lf.max(after_crlf)
}

fn rfind(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|w| w == pattern)
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
