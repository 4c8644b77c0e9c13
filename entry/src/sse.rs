//! Splits the bytes of an event stream at the ends of its events, keeping the bytes unchanged.
//!
//! Source: the event stream format of the HTML standard, section 9.2.6.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event is larger than the limit.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
#[displaydoc("an event is larger than 1 MiB")]
pub struct EventTooLarge;

/// Keeps the bytes that have not yet made a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and returns the whole events among all bytes so far, unchanged.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLarge`] when no event ends within the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        self.rest.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.rest) else {
            if self.rest.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(None);
        };
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(Some(whole))
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Tells whether part of an event is left over.
    pub fn has_rest(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Forgets the part of an event that broke off.
    pub fn drop_rest(&mut self) {
        self.rest.clear();
    }
}

fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let lf = rfind(bytes, b"\n\n").map(|at| at + 2);
    let crlf = rfind(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
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
