//! Answers of an engine: whole, or streamed as server-sent events.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornrack_lib::BodyError;
use hawthornrack_lib::DONE;
use hawthornrack_lib::STREAM_HEADER;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::engine::Engine;
use crate::generation::End;
use crate::generation::Reader;
use crate::generation::Run;
use crate::reply;
use crate::reply::Answer;
use crate::reply::Call;
use crate::reply::Reply;

/// Events in flight to a reader.
const READER_EVENTS: usize = 16;

/// Time for the tokens before a failure to reach the reader.
const FLUSH_PAUSE: Duration = Duration::from_millis(20);

impl Engine {
    /// Answers the events of a stream after a number of tokens.
    pub(crate) fn resume(self: &Arc<Self>, id: &str, call: &Call) -> Answer {
        let run = self.run(id)?;
        let from = call.query("from") as usize;
        if from > run.watch().borrow().tokens {
            return Err(reply::refuse(416, "the stream has not come that far"));
        }
        self.stats.lock().resumed += 1;
        Ok(self.stream_reply(&run, from))
    }

    /// Returns a run's whole text once it has ended.
    pub(crate) async fn whole_reply(&self, run: &Arc<Run>) -> Reply {
        let reader = Reader::new(Arc::clone(run));
        let mut progress = run.watch();
        let ended = progress.wait_for(|p| p.end.is_some()).await;
        let end = ended.ok().and_then(|p| p.end);
        drop(reader);
        let mut reply = match end {
            Some(End::Finished) => {
                let text = run.tokens(0).concat();
                reply::json(200, &run.chunk(run.spec.max_tokens as usize, text))
            }
            Some(End::Failed) => reply::text(500, "the engine failed"),
            _ => reply::text(499, "the stream was cancelled or moved"),
        };
        reply::set_header(&mut reply, STREAM_HEADER, &run.id);
        reply
    }

    /// Returns a run's events as they come.
    pub(crate) fn stream_reply(&self, run: &Arc<Run>, from: usize) -> Reply {
        let (sender, receiver) = mpsc::channel(READER_EVENTS);
        let reader = Reader::new(Arc::clone(run));
        let down = self.down.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = sender.closed() => {}
                () = send_events(&reader, from, &sender) => {}
                () = down.cancelled() => {
                    let _ = sender.try_send(Err("the engine crashed".into()));
                }
            }
        });
        let body = StreamBody::new(ReceiverStream::new(receiver));
        let mut reply = Response::new(BodyExt::boxed(body));
        reply::set_header(&mut reply, "content-type", "text/event-stream");
        reply::set_header(&mut reply, STREAM_HEADER, &run.id);
        reply
    }
}

type Events = mpsc::Sender<Result<Frame<Bytes>, BodyError>>;

/// Sends a run's tokens as server-sent events until it ends.
async fn send_events(reader: &Reader, from: usize, sender: &Events) {
    let run = &reader.0;
    let mut progress = run.watch();
    let mut sent = from;
    loop {
        let now = *progress.borrow_and_update();
        let mut events = String::new();
        for token in run.tokens(sent) {
            sent += 1;
            let chunk = serde_json::to_string(&run.chunk(sent, token)).unwrap_or_default();
            let _ = write!(events, "id: {sent}\ndata: {chunk}\n\n");
        }
        if now.end == Some(End::Finished) {
            let _ = write!(events, "data: {DONE}\n\n");
        }
        if !events.is_empty() && sender.send(Ok(Frame::data(events.into()))).await.is_err() {
            return;
        }
        match now.end {
            None => {}
            Some(End::Finished) => return,
            Some(_) => {
                // The server drops what it has not yet written when the body fails.
                tokio::time::sleep(FLUSH_PAUSE).await;
                let _ = sender.send(Err("the stream ended early".into())).await;
                return;
            }
        }
        if progress.changed().await.is_err() {
            return;
        }
    }
}
