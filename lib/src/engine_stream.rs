//! Token streams of model engines: reading, resuming and cancelling them, and transferring their KV
//! cache.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::ATTEMPT_ID_HEADER;
use crate::AttemptId;
use crate::CompletionChunk;
use crate::EngineGeneration;
use crate::HttpClient;
use crate::KvExport;
use crate::KvHandle;
use crate::KvImport;
use crate::KvStream;
use crate::PooledConnection;
use crate::Reuse;
use crate::STREAM_END_DATA;
use crate::STREAM_ID_HEADER;
use crate::SendError;
use crate::SseEvent;
use crate::SseParser;
use crate::Usage;
use crate::attempt;
use crate::attempt::AttemptError;
use crate::attempt::EndpointResponse;
use crate::in_flight::InFlightGuard;

/// Media type of server-sent events.
const EVENT_STREAM_MEDIA_TYPE: &str = "text/event-stream";

/// Time within which an engine must respond to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// An item read from an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum StreamItem {
    /// The next token.
    Token(Token),
    /// The engine has sent the event that ends the stream.
    Done,
}

/// One generated token.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Token {
    /// Position in the response, counted from one across all engines that generated it.
    pub(crate) position: u32,
    pub(crate) text: String,
    pub(crate) finish_reason: Option<String>,
    pub(crate) usage: Option<Usage>,
}

/// Connection on which an engine sends the tokens of one generation.
#[derive(Debug)]
pub(crate) struct EngineStream {
    pub(crate) generation: EngineGeneration,
    pub(crate) opened_at: Instant,
    /// Position in the response of the last token read; see [`Token::position`].
    position: u32,
    response_id: Option<String>,
    body: Incoming,
    parser: SseParser,
    events: VecDeque<SseEvent>,
    last_frame_at: Instant,
    _connection: PooledConnection,
    _guard: InFlightGuard,
}

/// Returns whether a response is a stream of server-sent events.
pub(crate) fn is_event_stream(response: &EndpointResponse) -> bool {
    let content_type = response.inner.headers().get("content-type");
    response.inner.status().is_success()
        && content_type
            .is_some_and(|v| v.as_bytes().starts_with(EVENT_STREAM_MEDIA_TYPE.as_bytes()))
}

/// Returns the engine's ID of the stream that a response carries.
pub(crate) fn stream_id(response: &EndpointResponse) -> Option<String> {
    let id = response.inner.headers().get(STREAM_ID_HEADER)?;
    id.to_str().ok().map(str::to_owned)
}

impl EngineStream {
    /// Creates a stream from a response whose first event is the token after `position`; see
    /// [`Token::position`].
    pub(crate) fn new(
        generation: EngineGeneration,
        position: u32,
        response: EndpointResponse,
        guard: InFlightGuard,
    ) -> Self {
        Self {
            generation,
            opened_at: Instant::now(),
            position,
            response_id: None,
            body: response.inner.into_body(),
            parser: SseParser::default(),
            events: VecDeque::new(),
            last_frame_at: Instant::now(),
            _connection: response.connection,
            _guard: guard,
        }
    }

    /// Returns the next item of the stream.
    ///
    /// Is cancel-safe: no token is lost when the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptError`] when the connection closes early, no frame arrives for
    /// `idle_timeout`, or an event is malformed, out of sequence or of another response.
    pub(crate) async fn next(
        &mut self,
        idle_timeout: Duration,
    ) -> Result<StreamItem, AttemptError> {
        loop {
            while let Some(event) = self.events.pop_front() {
                if let Some(item) = self.parse_event(&event)? {
                    return Ok(item);
                }
            }
            let frame =
                tokio::time::timeout_at(self.last_frame_at + idle_timeout, self.body.frame())
                    .await
                    .map_err(|_elapsed| AttemptError::TimedOut)?;
            self.last_frame_at = Instant::now();
            match frame {
                None => return Err(AttemptError::InvalidBody(String::from("no end event"))),
                Some(Err(error)) => return Err(AttemptError::InvalidBody(error.to_string())),
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    let events = self.parser.push(&data).map_err(|e| malformed(&e))?;
                    self.events.extend(events);
                }
            }
        }
    }

    /// Parses and checks an event; returns `None` for a token that has been read before.
    fn parse_event(&mut self, event: &SseEvent) -> Result<Option<StreamItem>, AttemptError> {
        if event.data == STREAM_END_DATA {
            return Ok(Some(StreamItem::Done));
        }
        let chunk: CompletionChunk =
            serde_json::from_str(&event.data).map_err(|e| malformed(&e))?;
        if *self.response_id.get_or_insert_with(|| chunk.id.clone()) != chunk.id {
            return Err(AttemptError::Mismatched);
        }
        let index: u32 = match &event.id {
            Some(id) => id.parse().map_err(|e| malformed(&e))?,
            None => return Err(malformed("an event has no position")),
        };
        let position = self.generation.base + index;
        if position <= self.position {
            return Ok(None);
        }
        if position > self.position + 1 {
            return Err(malformed("a position is missing"));
        }
        self.position = position;
        let choice = chunk.choices.into_iter().next();
        let choice = choice.ok_or_else(|| malformed("an event has no choice"))?;
        Ok(Some(StreamItem::Token(Token {
            position,
            text: choice.text,
            finish_reason: choice.finish_reason,
            usage: chunk.usage,
        })))
    }
}

fn malformed(error: &(impl ToString + ?Sized)) -> AttemptError {
    AttemptError::InvalidBody(error.to_string())
}

/// Resumes a generation on a new connection after `position`; see [`Token::position`].
///
/// # Errors
///
/// Returns an [`AttemptError`]; a response that is not a stream is [`AttemptError::Status`].
pub(crate) async fn resume(
    http: &HttpClient,
    generation: &EngineGeneration,
    position: u32,
    timeout: Duration,
) -> Result<EndpointResponse, AttemptError> {
    let from = position.saturating_sub(generation.base);
    let path = format!("/v1/streams/{}?from={from}", generation.stream);
    let attempt = AttemptId::random();
    let request = empty_request(generation, Method::GET, &path, attempt);
    let response = attempt::send(
        http,
        generation.endpoint.address,
        request,
        attempt,
        Reuse::Never,
        timeout,
    );
    let response = response.await?;
    if !is_event_stream(&response) {
        return Err(AttemptError::Status(response.inner.status().as_u16()));
    }
    if stream_id(&response).is_some_and(|id| id != generation.stream) {
        return Err(AttemptError::Mismatched);
    }
    Ok(response)
}

/// Asks an engine to stop a generation, in a background task.
pub(crate) fn cancel(http: &HttpClient, generation: &EngineGeneration) {
    let http = http.clone();
    let generation = generation.clone();
    tokio::spawn(async move {
        let path = format!("/v1/streams/{}", generation.stream);
        let request = empty_request(&generation, Method::DELETE, &path, AttemptId::random());
        let sent = http.send(generation.endpoint.address, request, Reuse::Never);
        if let Ok(Err(error)) = tokio::time::timeout(CANCEL_TIMEOUT, sent).await {
            tracing::debug!(%error, "failed to cancel a stream on its engine");
        }
    });
}

/// Transfers the KV cache of a generation to another engine, which continues generating.
///
/// Returns the generation on the target engine and the exported cache.
///
/// # Errors
///
/// Returns a [`SendError`] when the export or the import fails or takes longer than `timeout`.
pub(crate) async fn transfer_cache(
    http: &HttpClient,
    generation: &EngineGeneration,
    target: crate::Endpoint,
    timeout: Duration,
) -> Result<(EngineGeneration, KvHandle), SendError> {
    let export = KvExport {
        stream: generation.stream.clone(),
    };
    let source = generation.endpoint.address;
    let path = "/v1/kv/export";
    let handle: KvHandle = http
        .call(source, Method::POST, path, Some(&export), timeout)
        .await?;
    let import = KvImport {
        source,
        handle: handle.handle.clone(),
    };
    let path = "/v1/kv/import";
    let imported: KvStream = http
        .call(target.address, Method::POST, path, Some(&import), timeout)
        .await?;
    let transferred = EngineGeneration {
        endpoint: target,
        stream: imported.stream,
        base: generation.base,
    };
    Ok((transferred, handle))
}

/// Builds a request without a body to the engine of a generation.
fn empty_request(
    generation: &EngineGeneration,
    method: Method,
    path: &str,
    attempt: AttemptId,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = method;
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    if let Ok(host) = generation.endpoint.address.to_string().parse() {
        headers.insert("host", host);
    }
    if let Ok(id) = attempt.to_string().parse() {
        headers.insert(ATTEMPT_ID_HEADER, id);
    }
    request
}
