//! Sends an answer to a caller as server-sent events.

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
use crate::DONE;
use crate::RESUME_HEADER;
use crate::ReplyBody;
use crate::hand_over;
use crate::model_call::AnswerName;
use crate::problem;
use crate::stream_relay::HandedOver;
use crate::stream_relay::RelayItem;

/// Silence after which a comment is sent.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Comment sent in silence.
const COMMENT: &str = ": heartbeat\n\n";

/// Data of a `resume` event.
#[derive(Debug, Serialize)]
struct ResumeEvent<'a> {
    resume_token: &'a str,
}

/// Data of a `handover` event.
#[derive(Debug, Serialize)]
struct HandOverEvent<'a> {
    location: String,
    resume_token: Option<&'a str>,
    last_event_id: u32,
}

struct Events {
    name: AnswerName,
    first: Option<RelayItem>,
    items: UnboundedReceiver<RelayItem>,
    ended: bool,
}

/// Returns the answer that streams `first` and the items after it.
pub(crate) fn reply(
    name: AnswerName,
    first: RelayItem,
    items: UnboundedReceiver<RelayItem>,
) -> Response<ReplyBody> {
    let token = match &first {
        RelayItem::Opened(token) => HeaderValue::from_str(token).ok(),
        _ => None,
    };
    let events = Events {
        name,
        first: Some(first),
        items,
        ended: false,
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

impl Events {
    async fn next(&mut self) -> Option<String> {
        if self.ended {
            return None;
        }
        let item = match self.first.take() {
            Some(item) => item,
            None => match tokio::time::timeout(HEARTBEAT, self.items.recv()).await {
                Err(_) => return Some(COMMENT.to_owned()),
                Ok(item) => item?,
            },
        };
        let mut text = self.event(item);
        while let (false, Ok(item)) = (self.ended, self.items.try_recv()) {
            text.push_str(&self.event(item));
        }
        Some(text)
    }

    fn event(&mut self, item: RelayItem) -> String {
        match item {
            RelayItem::Opened(token) => named(
                "resume",
                &ResumeEvent {
                    resume_token: &token,
                },
            ),
            RelayItem::Token(token) => {
                let chunk = self.name.chunk(token.text, token.finish, token.usage);
                let chunk = String::from_utf8_lossy(&chunk);
                format!("id: {}\ndata: {chunk}\n\n", token.position)
            }
            RelayItem::Done(_) => {
                self.ended = true;
                format!("data: {DONE}\n\n")
            }
            RelayItem::HandedOver(to) => {
                self.ended = true;
                self.hand_over(&to)
            }
            RelayItem::Failed(error) => {
                self.ended = true;
                named("error", &problem::document(&error))
            }
            RelayItem::Answer(_) => String::new(),
        }
    }

    fn hand_over(&self, to: &HandedOver) -> String {
        named(
            "handover",
            &HandOverEvent {
                location: hand_over::location(&to.gate, &self.name.path),
                resume_token: to.token.as_deref(),
                last_event_id: to.position,
            },
        )
    }
}

fn named<T>(event: &str, data: &T) -> String
where
    T: Serialize,
{
    let data = serde_json::to_string(data).unwrap_or_default();
    format!("event: {event}\ndata: {data}\n\n")
}
