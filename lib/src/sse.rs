//! Splits a byte stream into server-sent events.
//!
//! Source: the event stream format of the HTML standard, section 9.2.6.

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SseEvent {
    /// Value of the `id` field.
    pub id: Option<String>,
    /// Value of the `event` field.
    pub event: Option<String>,
    /// Values of the `data` fields, joined by line feeds.
    pub data: String,
}

/// An event is larger than the limit or is not text.
#[derive(Clone, Copy, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub enum SseError {
    /// an event is larger than 1 MiB
    TooLarge,
    /// a line is not UTF-8
    NotText,
}

/// Splitter that keeps what has not yet made a whole event.
#[derive(Clone, Debug, Default)]
pub struct SseSplitter {
    rest: Vec<u8>,
    current: SseEvent,
    has_data: bool,
}

impl SseSplitter {
    /// Adds bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an [`SseError`] when an event is too large or not text.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>, SseError> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.rest[start..].iter().position(|b| *b == b'\n') {
            let end = start + length;
            let line = self.rest[start..end].strip_suffix(b"\r");
            let line = line.unwrap_or(&self.rest[start..end]);
            let line = std::str::from_utf8(line).map_err(|_utf8| SseError::NotText)?;
            if line.is_empty() {
                let event = std::mem::take(&mut self.current);
                if std::mem::take(&mut self.has_data) {
                    events.push(event);
                }
            } else {
                take_field(&mut self.current, &mut self.has_data, line);
            }
            start = end + 1;
        }
        self.rest.drain(..start);
        if self.rest.len() + self.current.data.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        Ok(events)
    }
}

fn take_field(event: &mut SseEvent, has_data: &mut bool, line: &str) {
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
