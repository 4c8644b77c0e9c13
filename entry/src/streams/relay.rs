//! Relays a stream's events as they arrive, and resumes a resumable stream at another endpoint when
//! it breaks.

use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use tokio::time::Instant;

use crate::ChunkStream;
use crate::EndpointClient;
use crate::EndpointResponse;
use crate::EventSplitter;
use crate::InFlightGuard;
use crate::Interruption;
use crate::Node;
use crate::ResponseBody;
use crate::SendFailure;
use crate::attempt::Attempts;
use crate::attempt::SentResponse;
use crate::forwarding::forward::SentBody;
use crate::forwarding::reach_probe::apply_reach_change;
use crate::placement::reservation::Reservation;
use crate::streams::relay_silence::first_check;
use crate::streams::sse::has_event;
use crate::streams::stream_source::ReadOutcome;
use crate::streams::stream_source::StreamSource;

/// Error of a stream that ended before its last event, with the reason.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
#[displaydoc("stream ended before its last event: {0}")]
pub struct StreamBroken(pub String);

/// An event stream that is relayed to a caller; dropping it cancels the request at the endpoint.
#[derive(Debug)]
pub struct EventRelay<E: EndpointClient> {
    pub(crate) node: Arc<Node>,
    pub(crate) client: Arc<E>,
    pub(crate) attempts: Attempts,
    /// Head of the first response, which the caller gets.
    head: StreamHead,
    pub(crate) source: Option<StreamSource<E>>,
    pub(crate) splitter: EventSplitter,
    /// Wait for the next event; comments do not end it.
    pub(crate) wait: Option<EventWait>,
    first: Option<Bytes>,
    _in_flight: InFlightGuard,
}

/// What the head of a stream's response says of its body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamHead {
    status: u16,
    content_type: Option<HeaderValue>,
}

impl StreamHead {
    pub(crate) fn new(status: u16, headers: &HeaderMap) -> Self {
        Self {
            status,
            content_type: headers.get(CONTENT_TYPE).cloned(),
        }
    }
}

/// Wait for the next event of a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventWait {
    pub(crate) since: Instant,
    /// Time at which the stream is resumed at another endpoint if that is possible then.
    pub(crate) next_check: Instant,
}

impl<E: EndpointClient> Drop for EventRelay<E> {
    fn drop(&mut self) {
        let Some(started) = self.node.shutdown_started() else {
            return;
        };
        if self.source.is_some() {
            self.node.metrics.record_shutdown("unfinished");
            tracing::warn!(
                event = "stream_unfinished",
                id = self.attempts.request.call.id,
                last_event = self.attempts.last_event,
                since_ms = crate::millis(started.elapsed()),
            );
        }
    }
}

impl<E: EndpointClient> EventRelay<E> {
    pub(crate) fn new(
        node: Arc<Node>,
        client: Arc<E>,
        attempts: Attempts,
        head: StreamHead,
        source: (SentBody<E::Body>, Option<Reservation>),
    ) -> Self {
        let (body, reservation) = source;
        let in_flight = node.track_request();
        let splitter = EventSplitter::new(&node.buffers);
        Self {
            node,
            client,
            attempts,
            head,
            source: Some(StreamSource::new(body, reservation)),
            splitter,
            wait: None,
            first: None,
            _in_flight: in_flight,
        }
    }

    /// Waits for the first events, which the next call of [`EventRelay::next`] returns.
    ///
    /// # Errors
    ///
    /// Returns [`StreamBroken`] when the stream fails before its first event.
    pub(crate) async fn wait_for_first(&mut self) -> Result<(), StreamBroken> {
        self.first = self.read().await?;
        Ok(())
    }

    /// Returns the next complete events, or `None` after the last.
    ///
    /// # Errors
    ///
    /// Returns [`StreamBroken`] when the stream cannot be resumed; the caller's connection must
    /// then not end as if the stream were complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamBroken> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        let events = self.read().await;
        if let Err(StreamBroken(reason)) = &events {
            let id = &self.attempts.request.call.id;
            let last_event = self.attempts.last_event;
            tracing::info!(event = "stream_broken", id, last_event, reason);
        }
        events
    }

    async fn read(&mut self) -> Result<Option<Bytes>, StreamBroken> {
        loop {
            let deadline = self.attempts.request.deadline;
            let Some(source) = self.source.as_mut() else {
                return Ok(None);
            };
            let is_forwarded = source.body.is_forwarded();
            let wait = self.wait.get_or_insert_with(|| {
                let since = Instant::now();
                let next_check = since + first_check(&self.attempts, is_forwarded);
                EventWait { since, next_check }
            });
            let until = wait.next_check.min(deadline);
            let outcome = match source.read(&mut self.splitter, until).await {
                ReadOutcome::Silent => self.handle_silence().await?,
                outcome => outcome,
            };
            match outcome {
                ReadOutcome::Events(events) => {
                    self.record_events(&events);
                    return Ok(Some(events));
                }
                ReadOutcome::End => {
                    let rest = self.finish();
                    return Ok((!rest.is_empty()).then_some(rest));
                }
                ReadOutcome::Failed(interruption) => self.resume(interruption).await?,
                ReadOutcome::Silent => {}
            }
        }
    }

    fn record_events(&mut self, events: &[u8]) {
        // What a peer passes on tells of its contact with endpoints, not of this entry's.
        if self.source.as_ref().is_some_and(|s| !s.body.is_forwarded()) {
            let change = self.node.reach.lock().record_contact(Instant::now());
            apply_reach_change(&self.node, change);
        }
        if let Some(id) = self.splitter.last_id() {
            self.attempts.last_event = Some(id);
        }
        if has_event(events) {
            self.wait = None;
        }
    }

    /// Records that the stream is complete; returns the bytes after its last event.
    fn finish(&mut self) -> Bytes {
        if let Some(source) = self.source.take()
            && let Some(reservation) = &source.reservation
        {
            reservation.record_success(Instant::now());
            let states_end = source.body.states_end();
            self.attempts
                .record_completed(&self.node, reservation, states_end);
        }
        self.splitter.take_rest()
    }

    /// Resumes the stream at another endpoint after the last complete event.
    async fn resume(&mut self, interruption: Interruption) -> Result<(), StreamBroken> {
        let reason = interruption.to_string();
        let failure = SendFailure::MayHaveRun(interruption);
        if let Some(reservation) = self.source.take().and_then(|s| s.reservation) {
            self.attempts
                .record_stream_failure(&self.node, &reservation, &failure);
        }
        self.attempts.may_have_run = true;
        if !self.attempts.kind().is_retryable() || !self.attempts.take_retry(&self.node) {
            return Err(StreamBroken(reason));
        }
        let run = self.attempts.run(&self.node, &self.client).await;
        let (response, reservation) =
            run.map_err(|refusal| StreamBroken(refusal.kind.to_string()))?;
        let next = self.accept(response, reservation)?;
        self.start_source(next);
        Ok(())
    }

    /// Goes on with another source after the last complete event.
    pub(crate) fn start_source(&mut self, source: StreamSource<E>) {
        self.splitter.discard_partial();
        self.wait = None;
        self.source = Some(source);
    }

    /// Returns the source of a response that goes on with the stream.
    ///
    /// # Errors
    ///
    /// Returns [`StreamBroken`] for any other response.
    pub(crate) fn accept(
        &self,
        response: SentResponse<E>,
        reservation: Option<Reservation>,
    ) -> Result<StreamSource<E>, StreamBroken> {
        let EndpointResponse {
            status,
            headers,
            body,
            states_end,
            ..
        } = response;
        // A success with another head is no part of the stream: an error, for example.
        let is_same_stream = StreamHead::new(status, &headers) == self.head;
        match body {
            ResponseBody::Stream(body) if is_same_stream => {
                Ok(StreamSource::new(body, reservation))
            }
            _ => {
                if let Some(reservation) = reservation {
                    self.record_other_response(&reservation, status, states_end);
                }
                Err(StreamBroken(format!("resume failed with status {status}")))
            }
        }
    }

    /// Records a response that does not go on with the stream.
    fn record_other_response(&self, reservation: &Reservation, status: u16, states_end: bool) {
        if status < 300 {
            reservation.record_failed_response();
        } else {
            self.attempts
                .record_response(&self.node, reservation, status, states_end);
        }
    }
}
