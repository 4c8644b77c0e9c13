//! Relays a stream's events as they arrive, and resumes a resumable stream at another endpoint when
//! it breaks.

use std::sync::Arc;
use std::time::Duration;

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
use crate::forward::SentBody;
use crate::reach_probe::apply_reach_change;
use crate::reservation::Reservation;
use crate::sse::has_event;

/// Multiple of the route's maximum pause after which a resumable stream is resumed elsewhere.
const RESUME_PAUSE_FACTOR: u32 = 3;

/// Minimum time without an event after which a stream counts as broken, as its caller is assumed to
/// have abandoned it; the greatest of this and the following two multiples applies.
const MIN_ABANDON_TIMEOUT: Duration = Duration::from_secs(2);

/// Multiple of the route's maximum pause used for that time.
const ABANDON_PAUSE_FACTOR: u32 = 8;

/// Multiple of the route's objective used for that time.
const ABANDON_OBJECTIVE_FACTOR: u32 = 4;

/// Error of a stream that ended before its last event, with the reason.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
#[displaydoc("stream ended before its last event: {0}")]
pub struct StreamBroken(pub String);

/// An event stream that is relayed to a caller; dropping it cancels the request at the endpoint.
#[derive(Debug)]
pub struct EventRelay<E: EndpointClient> {
    node: Arc<Node>,
    client: Arc<E>,
    attempts: Attempts,
    /// Head of the first response, which the caller gets.
    head: StreamHead,
    source: Option<Source<E>>,
    splitter: EventSplitter,
    /// Start of the wait for the next event; comments do not end it.
    waiting_since: Option<Instant>,
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

#[derive(Debug)]
struct Source<E: EndpointClient> {
    body: SentBody<E::Body>,
    /// Reservation at the endpoint; `None` if a peer passes the stream on.
    reservation: Option<Reservation>,
    has_event: bool,
}

impl<E: EndpointClient> Source<E> {
    fn new(body: SentBody<E::Body>, reservation: Option<Reservation>) -> Self {
        Self {
            body,
            reservation,
            has_event: false,
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

/// Outcome of reading from an endpoint's stream.
enum ReadOutcome {
    Events(Bytes),
    End,
    Failed(Interruption),
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
        Self {
            node,
            client,
            attempts,
            head,
            source: Some(Source::new(body, reservation)),
            splitter: EventSplitter::default(),
            waiting_since: None,
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
            let Some(source) = self.source.as_mut() else {
                return Ok(None);
            };
            let limit = event_timeout(&self.attempts, source.body.is_forwarded());
            let since = *self.waiting_since.get_or_insert_with(Instant::now);
            let until = (since + limit).min(self.attempts.request.deadline);
            match read_events(source, &mut self.splitter, until).await {
                ReadOutcome::Events(events) => {
                    let change = self.node.reach.lock().record_contact(Instant::now());
                    apply_reach_change(&self.node, change);
                    if let Some(id) = self.splitter.last_id() {
                        self.attempts.last_event = Some(id);
                    }
                    if has_event(&events) {
                        source.has_event = true;
                        self.waiting_since = None;
                    }
                    return Ok(Some(events));
                }
                ReadOutcome::End => {
                    if let Some(reservation) = &source.reservation {
                        reservation.record_success(Instant::now());
                        let states_end = source.body.states_end();
                        self.attempts
                            .record_completed(&self.node, reservation, states_end);
                    }
                    self.source = None;
                    let rest = self.splitter.take_rest();
                    return Ok((!rest.is_empty()).then_some(rest));
                }
                ReadOutcome::Failed(interruption) => self.resume(interruption).await?,
            }
        }
    }

    /// Resumes the stream at another endpoint after the last complete event.
    async fn resume(&mut self, interruption: Interruption) -> Result<(), StreamBroken> {
        let reason = interruption.to_string();
        let failure = SendFailure::MayHaveRun(interruption);
        if let Some(reservation) = self.source.take().and_then(|s| s.reservation) {
            self.attempts
                .record_stream_failure(&self.node, &reservation, &failure);
        }
        self.splitter.discard_partial();
        self.waiting_since = None;
        self.attempts.may_have_run = true;
        if !self.attempts.kind().is_retryable() || !self.attempts.take_retry(&self.node) {
            return Err(StreamBroken(reason));
        }
        let run = self.attempts.run(&self.node, &self.client).await;
        let (response, reservation) =
            run.map_err(|refusal| StreamBroken(refusal.kind.to_string()))?;
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
                self.source = Some(Source::new(body, reservation));
                Ok(())
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

async fn read_events<E: EndpointClient>(
    source: &mut Source<E>,
    splitter: &mut EventSplitter,
    until: Instant,
) -> ReadOutcome {
    loop {
        let chunk = match tokio::time::timeout_at(until, source.body.next()).await {
            Err(_elapsed) => {
                let reason = "no event within the timeout".to_owned();
                return ReadOutcome::Failed(Interruption::TimedOut(reason));
            }
            Ok(Err(interruption)) => return ReadOutcome::Failed(interruption),
            Ok(Ok(None)) if splitter.has_partial() => {
                return ReadOutcome::Failed(source.end_within_event());
            }
            Ok(Ok(None)) if source.may_be_cut() => {
                let reason = "connection ended before the first event".to_owned();
                return ReadOutcome::Failed(Interruption::ConnectionBroken(reason));
            }
            Ok(Ok(None)) => return ReadOutcome::End,
            Ok(Ok(Some(chunk))) => chunk,
        };
        match splitter.push(&chunk) {
            Ok(Some(events)) => return ReadOutcome::Events(events),
            Ok(None) => {}
            Err(error) => {
                let interruption = Interruption::InvalidResponse(error.to_string());
                return ReadOutcome::Failed(interruption);
            }
        }
    }
}

/// Returns the time without an event after which the stream counts as broken; a peer that passes it on
/// resumes it itself.
fn event_timeout(attempts: &Attempts, is_forwarded: bool) -> Duration {
    let route = &attempts.request.route;
    let abandon = MIN_ABANDON_TIMEOUT
        .max(route.objective * ABANDON_OBJECTIVE_FACTOR)
        .max(route.max_pause * ABANDON_PAUSE_FACTOR);
    if attempts.can_resend() && !is_forwarded {
        abandon.min(route.max_pause * RESUME_PAUSE_FACTOR)
    } else {
        abandon
    }
}
