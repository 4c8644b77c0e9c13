//! Responses of an engine: in full, or streamed as server-sent events.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornrack_lib::BodyError;
use hawthornrack_lib::STREAM_END_DATA;
use hawthornrack_lib::STREAM_ID_HEADER;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::engine::Engine;
use crate::generation::Run;
use crate::generation::RunEnd;
use crate::generation::RunReader;
use crate::http;
use crate::http::HandlerResult;
use crate::http::HttpRequest;
use crate::http::HttpResponse;

/// Maximum number of body frames queued for a reader; a frame holds one or more events.
const MAX_QUEUED_FRAMES: usize = 16;

/// Delay before a body fails, so that the server first writes the tokens sent before the failure.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

impl Engine {
    /// Responds with a stream's events after its first N tokens, where N is the query parameter
    /// `from`.
    pub(crate) fn resume_stream(
        self: &Arc<Self>,
        id: &str,
        request: &HttpRequest,
    ) -> HandlerResult {
        let run = self.find_run(id)?;
        let from = request.query_number("from") as usize;
        if from > run.subscribe().borrow().token_count {
            return Err(http::status_error(416, "the stream has not come that far"));
        }
        self.stats.lock().resumed += 1;
        Ok(self.stream_response(&run, from))
    }

    /// Waits until a run has ended and returns its whole text as a response.
    pub(crate) async fn full_response(&self, run: &Arc<Run>) -> HttpResponse {
        let reader = RunReader::new(Arc::clone(run));
        let mut progress = run.subscribe();
        let ended = progress.wait_for(|p| p.end.is_some()).await;
        let end = ended.ok().and_then(|p| p.end);
        drop(reader);
        let mut response = match end {
            Some(RunEnd::Finished) => {
                let text = run.tokens(0).concat();
                http::json(200, &run.chunk(run.spec.max_tokens as usize, text))
            }
            Some(RunEnd::Failed) => http::text(500, "the engine failed"),
            _ => http::text(499, "the stream was cancelled or moved"),
        };
        http::set_header(&mut response, STREAM_ID_HEADER, &run.id);
        response
    }

    /// Returns a response that streams a run's events after the first `from` tokens.
    pub(crate) fn stream_response(&self, run: &Arc<Run>, from: usize) -> HttpResponse {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let reader = RunReader::new(Arc::clone(run));
        let shutdown = self.shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = sender.closed() => {}
                () = send_events(&reader, from, &sender) => {}
                () = shutdown.cancelled() => {
                    let _ = sender.try_send(Err("the engine shut down".into()));
                }
            }
        });
        let body = StreamBody::new(ReceiverStream::new(receiver));
        let mut response = Response::new(BodyExt::boxed(body));
        http::set_header(&mut response, "content-type", "text/event-stream");
        http::set_header(&mut response, STREAM_ID_HEADER, &run.id);
        response
    }
}

/// Sender of the frames of a response body.
type FrameSender = mpsc::Sender<Result<Frame<Bytes>, BodyError>>;

/// Sends a run's tokens as server-sent events until it ends.
async fn send_events(reader: &RunReader, from: usize, sender: &FrameSender) {
    let run = &reader.0;
    let mut progress = run.subscribe();
    let mut sent = from;
    loop {
        let current = *progress.borrow_and_update();
        let mut events = String::new();
        for token in run.tokens(sent) {
            sent += 1;
            let chunk = serde_json::to_string(&run.chunk(sent, token)).unwrap_or_default();
            let _ = write!(events, "id: {sent}\ndata: {chunk}\n\n");
        }
        if current.end == Some(RunEnd::Finished) {
            let _ = write!(events, "data: {STREAM_END_DATA}\n\n");
        }
        if !events.is_empty() && sender.send(Ok(Frame::data(events.into()))).await.is_err() {
            return;
        }
        match current.end {
            None => {}
            Some(RunEnd::Finished) => return,
            Some(_) => {
                // When a body fails, the server discards the bytes that it has not written yet.
                tokio::time::sleep(FLUSH_DELAY).await;
                let _ = sender.send(Err("the stream ended early".into())).await;
                return;
            }
        }
        if progress.changed().await.is_err() {
            return;
        }
    }
}
