//! Parses server-sent events from a byte stream.
//!
//! The format is defined by the HTML standard, section 9.2.6.

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SseEvent {
    /// Value of the last `id` field.
    pub id: Option<String>,
    /// Value of the last `event` field, the event type.
    pub event: Option<String>,
    /// Values of all `data` fields, joined by line feeds.
    pub data: String,
}

/// Error of a byte stream that holds no valid server-sent events.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum SseError {
    /// an event is larger than 1 MiB
    TooLarge,
    /// a line is not UTF-8
    InvalidUtf8,
}

/// Incremental parser that buffers incomplete events.
#[derive(Clone, Debug, Default)]
pub struct SseParser {
    buffer: Vec<u8>,
    current: SseEvent,
    has_data: bool,
}

impl SseParser {
    /// Appends bytes and returns the events that they complete, without those that have no data.
    ///
    /// # Errors
    ///
    /// Returns an [`SseError`] when an event exceeds 1 MiB or a line is not UTF-8.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>, SseError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.buffer[start..].iter().position(|b| *b == b'\n') {
            let end = start + length;
            let line = self.buffer[start..end].strip_suffix(b"\r");
            let line = line.unwrap_or(&self.buffer[start..end]);
            let line = std::str::from_utf8(line).map_err(|_utf8| SseError::InvalidUtf8)?;
            if line.is_empty() {
                let event = std::mem::take(&mut self.current);
                if std::mem::take(&mut self.has_data) {
                    events.push(event);
                }
            } else {
                parse_field(&mut self.current, &mut self.has_data, line);
            }
            start = end + 1;
        }
        self.buffer.drain(..start);
        if self.buffer.len() + self.current.data.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        Ok(events)
    }
}

fn parse_field(event: &mut SseEvent, has_data: &mut bool, line: &str) {
    let (name, value) = line.split_once(':').unwrap_or((line, ""));
    let value = value.strip_prefix(' ').unwrap_or(value);
    match name {
        "id" => event.id = Some(value.to_owned()),
        "event" => event.event = Some(value.to_owned()),
        "data" => {
            if *has_data {
                event.data.push('\n');
            }
            event.data.push_str(value);
            *has_data = true;
        }
        _ => {}
    }
}
