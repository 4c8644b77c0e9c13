//! Splits an event stream at event boundaries without changing its bytes.
//!
//! The format is defined by the HTML standard, section 9.2.6.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Error of an event that exceeds 1 MiB.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
#[displaydoc("an event is larger than 1 MiB")]
pub struct EventTooLarge;

/// Buffer that releases bytes of an event stream up to the last complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    position: LinePosition,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes and returns all complete events in the buffer, unchanged, or `None`.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLarge`] when the buffer exceeds 1 MiB without a complete event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        let scanned = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let Some(end) = self.position.last_boundary(bytes) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(None);
        };
        let complete = self.partial.split_to(scanned + end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(Some(complete))
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
        self.partial.split().freeze()
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
