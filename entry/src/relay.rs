//! Passes a stream's events on as they arrive, and goes on at another endpoint when a stream
//! that may be resumed breaks off.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::Answer;
use crate::AnswerBody;
use crate::ChunkStream;
use crate::EndpointEdge;
use crate::EventSplitter;
use crate::InFlight;
use crate::Node;
use crate::SendFailure;
use crate::attempt::Attempts;
use crate::place::Place;

/// Multiple of the longest pause after which a resumable stream goes on elsewhere.
const PAUSE_FACTOR: u32 = 3;

/// Silence after which callers abandon a stream, at least.
const ABANDON_LEAST: Duration = Duration::from_secs(2);

/// Multiple of the longest pause after which callers abandon a stream.
const ABANDON_PAUSES: u32 = 8;

/// Multiple of the objective after which callers abandon a stream.
const ABANDON_OBJECTIVES: u32 = 4;

/// The stream ended before its last event.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
#[displaydoc("the stream broke off: {0}")]
pub struct BrokeOff(pub String);

/// A stream on its way to a caller; dropping it cancels the run.
#[derive(Debug)]
pub struct EventRelay<E: EndpointEdge> {
    node: Arc<Node>,
    edge: Arc<E>,
    attempts: Attempts,
    source: Option<Source<E>>,
    splitter: EventSplitter,
    first: Option<Bytes>,
    _in_flight: InFlight,
}

#[derive(Debug)]
struct Source<E: EndpointEdge> {
    body: E::Body,
    place: Place,
}

/// What reading from the source came to.
enum Step {
    Events(Bytes),
    End,
    Failed(String),
}

impl<E: EndpointEdge> EventRelay<E> {
    pub(crate) fn new(
        node: Arc<Node>,
        edge: Arc<E>,
        attempts: Attempts,
        body: E::Body,
        place: Place,
    ) -> Self {
        let in_flight = node.track();
        Self {
            node,
            edge,
            attempts,
            source: Some(Source { body, place }),
            splitter: EventSplitter::default(),
            first: None,
            _in_flight: in_flight,
        }
    }

    /// Waits for the first event, which is kept for [`EventRelay::next`].
    ///
    /// # Errors
    ///
    /// Returns [`BrokeOff`] when the stream ends in failure before.
    pub(crate) async fn wait_for_first(&mut self) -> Result<(), BrokeOff> {
        self.first = self.read().await?;
        Ok(())
    }

    /// Returns the next whole events, `None` after the last.
    ///
    /// # Errors
    ///
    /// Returns [`BrokeOff`] when the stream cannot go on; it must not look complete then.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BrokeOff> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        let events = self.read().await;
        if let Err(BrokeOff(reason)) = &events {
            let id = &self.attempts.request.call.id;
            let last_event = self.attempts.last_event;
            tracing::info!(event = "stream_broken", id, last_event, reason);
        }
        events
    }

    async fn read(&mut self) -> Result<Option<Bytes>, BrokeOff> {
        loop {
            let Some(source) = self.source.as_mut() else {
                return Ok(None);
            };
            let limit = pause_limit(&self.attempts);
            let until = (Instant::now() + limit).min(self.attempts.request.deadline);
            match step(source, &mut self.splitter, until).await {
                Step::Events(events) => {
                    if let Some(id) = self.splitter.last_id() {
                        self.attempts.last_event = Some(id);
                    }
                    return Ok(Some(events));
                }
                Step::End => {
                    source.place.note_success(Instant::now());
                    self.source = None;
                    return Ok(None);
                }
                Step::Failed(reason) => self.resume(reason).await?,
            }
        }
    }

    /// Goes on at another endpoint after the last whole event.
    async fn resume(&mut self, reason: String) -> Result<(), BrokeOff> {
        let failure = SendFailure::MayHaveRun(reason.clone());
        if let Some(source) = self.source.take() {
            self.attempts
                .note_broken(&self.node, &source.place, &failure);
        }
        self.splitter.drop_rest();
        self.attempts.may_have_run = true;
        if !self.attempts.kind().may_repeat() || !self.attempts.may_retry(&self.node) {
            return Err(BrokeOff(reason));
        }
        let run = self.attempts.run(&self.node, &*self.edge).await;
        let (answer, place) = run.map_err(|refusal| BrokeOff(refusal.kind.to_string()))?;
        let Answer { status, body, .. } = answer;
        match body {
            AnswerBody::Stream(body) if status < 300 => {
                self.source = Some(Source { body, place });
                Ok(())
            }
            _ => Err(BrokeOff(format!("status {status} on resuming"))),
        }
    }
}

async fn step<E: EndpointEdge>(
    source: &mut Source<E>,
    splitter: &mut EventSplitter,
    until: Instant,
) -> Step {
    loop {
        let chunk = match tokio::time::timeout_at(until, source.body.next()).await {
            Err(_elapsed) => return Step::Failed("no event in time".to_owned()),
            Ok(Err(reason)) => return Step::Failed(reason),
            Ok(Ok(None)) if splitter.has_rest() => {
                return Step::Failed("ended within an event".to_owned());
            }
            Ok(Ok(None)) => return Step::End,
            Ok(Ok(Some(chunk))) => chunk,
        };
        match splitter.push(&chunk) {
            Ok(Some(events)) => return Step::Events(events),
            Ok(None) => {}
            Err(error) => return Step::Failed(error.to_string()),
        }
    }
}

/// Returns the silence after which the stream counts as broken.
fn pause_limit(attempts: &Attempts) -> Duration {
    let route = &attempts.request.route;
    let abandon = ABANDON_LEAST
        .max(route.objective * ABANDON_OBJECTIVES)
        .max(route.max_pause * ABANDON_PAUSES);
    if attempts.can_repeat() {
        abandon.min(route.max_pause * PAUSE_FACTOR)
    } else {
        abandon
    }
}
