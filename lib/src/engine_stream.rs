//! A stream of tokens from an engine, checked event by event.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::ATTEMPT_HEADER;
use crate::AttemptId;
use crate::CompletionChunk;
use crate::DONE;
use crate::EngineRun;
use crate::HttpClient;
use crate::KvExport;
use crate::KvHandle;
use crate::KvImport;
use crate::KvStream;
use crate::Lent;
use crate::Reuse;
use crate::STREAM_HEADER;
use crate::SendError;
use crate::SseEvent;
use crate::SseSplitter;
use crate::Usage;
use crate::attempt;
use crate::attempt::Answer;
use crate::attempt::AttemptError;
use crate::in_flight::InFlightGuard;

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Time within which an engine must answer a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// One token, or the end of a stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum StreamItem {
    /// A token and its place in the whole answer, counted from one.
    Token(Token),
    /// The engine has sent everything.
    Done,
}

/// One token of an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Token {
    pub(crate) position: u32,
    pub(crate) text: String,
    pub(crate) finish: Option<String>,
    pub(crate) usage: Option<Usage>,
}

/// A connection on which an engine sends the tokens of one generation.
#[derive(Debug)]
pub(crate) struct EngineStream {
    pub(crate) run: EngineRun,
    pub(crate) opened: Instant,
    position: u32,
    answer_id: Option<String>,
    body: Incoming,
    splitter: SseSplitter,
    ready: VecDeque<SseEvent>,
    last: Instant,
    _lent: Lent,
    _guard: InFlightGuard,
}

/// Tells whether an answer is a stream of events.
pub(crate) fn is_event_stream(answer: &Answer) -> bool {
    let media = answer.response.headers().get("content-type");
    answer.response.status().is_success()
        && media.is_some_and(|v| v.as_bytes().starts_with(EVENT_STREAM.as_bytes()))
}

/// Returns the engine's name for the stream of an answer.
pub(crate) fn stream_name(answer: &Answer) -> Option<String> {
    let name = answer.response.headers().get(STREAM_HEADER)?;
    name.to_str().ok().map(str::to_owned)
}

impl EngineStream {
    /// Wraps an answer whose first event is the token after `position` of the whole answer.
    pub(crate) fn new(run: EngineRun, position: u32, answer: Answer, guard: InFlightGuard) -> Self {
        Self {
            run,
            opened: Instant::now(),
            position,
            answer_id: None,
            body: answer.response.into_body(),
            splitter: SseSplitter::default(),
            ready: VecDeque::new(),
            last: Instant::now(),
            _lent: answer.lent,
            _guard: guard,
        }
    }

    /// Returns the next token; may be cancelled and called again.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptError`] when the connection ends early, stays silent for `progress`,
    /// or brings an event that is not the next of this stream.
    pub(crate) async fn next(&mut self, progress: Duration) -> Result<StreamItem, AttemptError> {
        loop {
            while let Some(event) = self.ready.pop_front() {
                if let Some(item) = self.take(&event)? {
                    return Ok(item);
                }
            }
            let frame = tokio::time::timeout_at(self.last + progress, self.body.frame())
                .await
                .map_err(|_elapsed| AttemptError::Silent)?;
            self.last = Instant::now();
            match frame {
                None => return Err(AttemptError::Truncated(String::from("no end event"))),
                Some(Err(error)) => return Err(AttemptError::Truncated(error.to_string())),
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    let events = self.splitter.push(&data).map_err(|e| unreadable(&e))?;
                    self.ready.extend(events);
                }
            }
        }
    }

    fn take(&mut self, event: &SseEvent) -> Result<Option<StreamItem>, AttemptError> {
        if event.data == DONE {
            return Ok(Some(StreamItem::Done));
        }
        let chunk: CompletionChunk =
            serde_json::from_str(&event.data).map_err(|e| unreadable(&e))?;
        if *self.answer_id.get_or_insert_with(|| chunk.id.clone()) != chunk.id {
            return Err(AttemptError::Crossed);
        }
        let number: u32 = match &event.id {
            Some(id) => id.parse().map_err(|e| unreadable(&e))?,
            None => return Err(unreadable("an event has no position")),
        };
        let position = self.run.base + number;
        if position <= self.position {
            return Ok(None);
        }
        if position > self.position + 1 {
            return Err(unreadable("a position is missing"));
        }
        self.position = position;
        let choice = chunk.choices.into_iter().next();
        let choice = choice.ok_or_else(|| unreadable("an event has no choice"))?;
        Ok(Some(StreamItem::Token(Token {
            position,
            text: choice.text,
            finish: choice.finish_reason,
            usage: chunk.usage,
        })))
    }
}

fn unreadable(error: &(impl ToString + ?Sized)) -> AttemptError {
    AttemptError::Truncated(error.to_string())
}

/// Opens the rest of a generation after `position` of the whole answer, on a new connection.
///
/// # Errors
///
/// Returns an [`AttemptError`]; an answer of another status is [`AttemptError::Status`].
pub(crate) async fn reopen(
    http: &HttpClient,
    run: &EngineRun,
    position: u32,
    limit: Duration,
) -> Result<Answer, AttemptError> {
    let from = position.saturating_sub(run.base);
    let path = format!("/v1/streams/{}?from={from}", run.stream);
    let attempt = AttemptId::random();
    let request = bare_request(run, Method::GET, &path, attempt);
    let answer = attempt::send(
        http,
        run.endpoint.address,
        request,
        attempt,
        Reuse::Never,
        limit,
    );
    let answer = answer.await?;
    if !is_event_stream(&answer) {
        return Err(AttemptError::Status(answer.response.status().as_u16()));
    }
    if stream_name(&answer).is_some_and(|name| name != run.stream) {
        return Err(AttemptError::Crossed);
    }
    Ok(answer)
}

/// Asks an engine to stop a generation; does not wait for the answer.
pub(crate) fn cancel(http: &HttpClient, run: &EngineRun) {
    let http = http.clone();
    let run = run.clone();
    tokio::spawn(async move {
        let path = format!("/v1/streams/{}", run.stream);
        let request = bare_request(&run, Method::DELETE, &path, AttemptId::random());
        let sent = http.send(run.endpoint.address, request, Reuse::Never);
        if let Ok(Err(error)) = tokio::time::timeout(CANCEL_TIMEOUT, sent).await {
            tracing::debug!(%error, "a cancellation was not delivered");
        }
    });
}

/// Moves a generation's cache to another engine, which goes on generating.
///
/// Returns the generation there, with the size of the cache.
///
/// # Errors
///
/// Returns a [`SendError`] when either engine does not do its part within `limit`.
pub(crate) async fn move_cache(
    http: &HttpClient,
    run: &EngineRun,
    target: crate::Endpoint,
    limit: Duration,
) -> Result<(EngineRun, KvHandle), SendError> {
    let export = KvExport {
        stream: run.stream.clone(),
    };
    let source = run.endpoint.address;
    let path = "/v1/kv/export";
    let handle: KvHandle = http
        .call(source, Method::POST, path, Some(&export), limit)
        .await?;
    let import = KvImport {
        source,
        handle: handle.handle.clone(),
    };
    let path = "/v1/kv/import";
    let imported: KvStream = http
        .call(target.address, Method::POST, path, Some(&import), limit)
        .await?;
    let moved = EngineRun {
        endpoint: target,
        stream: imported.stream,
        base: run.base,
    };
    Ok((moved, handle))
}

fn bare_request(
    run: &EngineRun,
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
    if let Ok(host) = run.endpoint.address.to_string().parse() {
        headers.insert("host", host);
    }
    if let Ok(id) = attempt.to_string().parse() {
        headers.insert(ATTEMPT_HEADER, id);
    }
    request
}
