//! Where the events of a stream come from: an endpoint, or a peer that passes them on.

use bytes::Bytes;
use tokio::time::Instant;

use crate::ChunkStream;
use crate::EndpointClient;
use crate::EventSplitter;
use crate::Interruption;
use crate::forwarding::forward::SentBody;
use crate::placement::reservation::Reservation;
use crate::streams::sse::has_event;

/// Response that a stream's events are read from.
#[derive(Debug)]
pub(crate) struct StreamSource<E: EndpointClient> {
    pub(crate) body: SentBody<E::Body>,
    /// Reservation at the endpoint; `None` if a peer passes the stream on.
    pub(crate) reservation: Option<Reservation>,
    has_event: bool,
}

/// Outcome of reading from a stream's source.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
    /// Complete events or comments.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// Nothing has arrived in time.
    Silent,
    /// The stream was interrupted.
    Failed(Interruption),
}

impl<E: EndpointClient> StreamSource<E> {
    pub(crate) fn new(body: SentBody<E::Body>, reservation: Option<Reservation>) -> Self {
        Self {
            body,
            reservation,
            has_event: false,
        }
    }

    /// Reads until events are complete, the stream ends, or `until`. A call that is dropped loses
    /// nothing.
    pub(crate) async fn read(
        &mut self,
        splitter: &mut EventSplitter,
        until: Instant,
    ) -> ReadOutcome {
        // A body that is always ready would never let the time run out.
        while Instant::now() < until {
            let chunk = match tokio::time::timeout_at(until, self.body.next()).await {
                Err(_elapsed) => return ReadOutcome::Silent,
                Ok(Err(interruption)) => return ReadOutcome::Failed(interruption),
                Ok(Ok(None)) => return self.end(splitter),
                Ok(Ok(Some(chunk))) => chunk,
            };
            match splitter.push(&chunk) {
                Ok(Some(events)) => {
                    self.has_event |= has_event(&events);
                    return ReadOutcome::Events(events);
                }
                Ok(None) => {}
                Err(error) => {
                    let interruption = Interruption::InvalidResponse(error.to_string());
                    return ReadOutcome::Failed(interruption);
                }
            }
        }
        ReadOutcome::Silent
    }

    /// Returns whether the end of the body is that of the stream.
    fn end(&self, splitter: &EventSplitter) -> ReadOutcome {
        if splitter.has_partial() {
            ReadOutcome::Failed(self.end_within_event())
        } else if self.may_be_cut() {
            let reason = "connection ended before the first event".to_owned();
            ReadOutcome::Failed(Interruption::ConnectionBroken(reason))
        } else {
            ReadOutcome::End
        }
    }

    /// Returns whether the end of the body may be the loss of its connection: an endpoint that
    /// fails after the head of its response closes the connection as at the end of a stream.
    fn may_be_cut(&self) -> bool {
        !self.has_event && !self.body.states_end()
    }

    /// Returns how the stream was interrupted if its body ended within an event: a body that states
    /// its end is complete, so that its connection has not been broken off.
    fn end_within_event(&self) -> Interruption {
        let reason = "stream ended within an event".to_owned();
        if self.body.states_end() {
            Interruption::InvalidResponse(reason)
        } else {
            Interruption::ConnectionBroken(reason)
        }
    }
}
