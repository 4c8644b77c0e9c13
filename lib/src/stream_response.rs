//! Streams a response to a caller as server-sent events.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::header::HeaderValue;
use serde::Serialize;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::BodyError;
use crate::RESUME_HEADER;
use crate::ResponseBody;
use crate::STREAM_END_DATA;
use crate::hand_over;
use crate::model_call::ResponseMeta;
use crate::problem;
use crate::stream_relay::HandoverTarget;
use crate::stream_relay::RelayItem;

/// Time without events after which a comment is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Comment that keeps the connection active; clients ignore it.
const HEARTBEAT_COMMENT: &str = ": heartbeat\n\n";

/// Data of a `resume` event.
#[derive(Debug, Serialize)]
struct ResumeEvent<'a> {
    resume_token: &'a str,
}

/// Data of a `handover` event.
#[derive(Debug, Serialize)]
struct HandoverEvent<'a> {
    location: String,
    resume_token: Option<&'a str>,
    last_event_id: u32,
}

/// Sequence of the events of a response.
struct EventStream {
    meta: ResponseMeta,
    first: Option<RelayItem>,
    items: UnboundedReceiver<RelayItem>,
    is_ended: bool,
}

/// Returns a response that streams `first` and the items after it.
pub(crate) fn sse_response(
    meta: ResponseMeta,
    first: RelayItem,
    items: UnboundedReceiver<RelayItem>,
) -> Response<ResponseBody> {
    let token = match &first {
        RelayItem::ResumeToken(token) => HeaderValue::from_str(token).ok(),
        _ => None,
    };
    let events = EventStream {
        meta,
        first: Some(first),
        items,
        is_ended: false,
    };
    let frames = stream::unfold(events, |mut events| async move {
        let text = events.next().await?;
        let frame = Frame::data(Bytes::from(text));
        Some((Ok::<_, BodyError>(frame), events))
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let headers = response.headers_mut();
    headers.insert(
        "content-type",
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert("cache-control", HeaderValue::from_static("no-store"));
    if let Some(token) = token {
        headers.insert(RESUME_HEADER, token);
    }
    response
}

impl EventStream {
    /// Returns the text of all events that are ready, or a heartbeat after an idle interval.
    async fn next(&mut self) -> Option<String> {
        if self.is_ended {
            return None;
        }
        let item = match self.first.take() {
            Some(item) => item,
            None => match tokio::time::timeout(HEARTBEAT_INTERVAL, self.items.recv()).await {
                Err(_) => return Some(HEARTBEAT_COMMENT.to_owned()),
                Ok(item) => item?,
            },
        };
        let mut text = self.event(item);
        while let (false, Ok(item)) = (self.is_ended, self.items.try_recv()) {
            text.push_str(&self.event(item));
        }
        Some(text)
    }

    fn event(&mut self, item: RelayItem) -> String {
        match item {
            RelayItem::ResumeToken(token) => named_event(
                "resume",
                &ResumeEvent {
                    resume_token: &token,
                },
            ),
            RelayItem::Token(token) => {
                let chunk = self
                    .meta
                    .chunk(token.text, token.finish_reason, token.usage);
                let chunk = String::from_utf8_lossy(&chunk);
                format!("id: {}\ndata: {chunk}\n\n", token.position)
            }
            RelayItem::Done(_) => {
                self.is_ended = true;
                format!("data: {STREAM_END_DATA}\n\n")
            }
            RelayItem::HandedOver(target) => {
                self.is_ended = true;
                self.handover_event(&target)
            }
            RelayItem::Failed(error) => {
                self.is_ended = true;
                named_event("error", &problem::problem_document(&error))
            }
            RelayItem::Response(_) => String::new(),
        }
    }

    fn handover_event(&self, target: &HandoverTarget) -> String {
        named_event(
            "handover",
            &HandoverEvent {
                location: hand_over::gate_url(&target.gate, &self.meta.path),
                resume_token: target.token.as_deref(),
                last_event_id: target.position,
            },
        )
    }
}

/// Formats an event with a type and JSON data.
fn named_event<T>(event: &str, data: &T) -> String
where
    T: Serialize,
{
    let data = serde_json::to_string(data).unwrap_or_default();
    format!("event: {event}\ndata: {data}\n\n")
}
