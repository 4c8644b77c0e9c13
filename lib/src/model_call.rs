//! Runs completion requests and responds with a stream of events or with one JSON body.

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

use crate::Choice;
use crate::CompletionChunk;
use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::RESUME_HEADER;
use crate::ResponseBody;
use crate::Result;
use crate::ResumeToken;
use crate::call::Call;
use crate::completion::Completion;
use crate::full_body;
use crate::hand_over;
use crate::response_text::ResponseText;
use crate::run;
use crate::stream_relay::HandoverTarget;
use crate::stream_relay::RelayItem;
use crate::stream_relay::StreamRelay;
use crate::stream_response;

/// Last path segment of completion requests.
const COMPLETIONS_SEGMENT: &str = "completions";

/// Header with the position of the last token that the caller has received.
const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// Properties of a response that are repeated in its chunks and redirects.
#[derive(Clone, Debug)]
pub(crate) struct ResponseMeta {
    /// Response ID in each chunk.
    pub(crate) id: String,
    /// Model name in each chunk.
    pub(crate) model: String,
    /// Path and query of the request, with the service as first segment.
    pub(crate) path: String,
}

/// Checks that a call to a model service has a path and method of the completions protocol.
///
/// Callers have no access to the other paths of the engines.
///
/// # Errors
///
/// Fails with [`ErrorKind::NotFound`] for another path and with [`ErrorKind::MethodNotAllowed`]
/// for another method.
pub(crate) fn check_target(call: &Call) -> Result<()> {
    let path = call.path.split('?').next().unwrap_or_default();
    if path.rsplit('/').next() != Some(COMPLETIONS_SEGMENT) {
        let detail = "a model service answers completions only";
        return Err(Error::new(ErrorKind::NotFound, detail));
    }
    if call.method != Method::POST {
        let detail = "completions are requested with POST";
        return Err(Error::new(ErrorKind::MethodNotAllowed, detail));
    }
    Ok(())
}

/// Runs a completion request and returns its response.
///
/// # Errors
///
/// Fails with an error whose kind tells whether an engine may have run the request.
pub(crate) async fn run(gate: &Arc<Gate>, mut call: Call) -> Result<Response<ResponseBody>> {
    check_target(&call)?;
    let completion = Completion::parse(&call.body)?;
    call.affinity_key = Some(completion.affinity_key());
    let resume = take_resume_token(gate, &mut call)?;
    // A handed-over request that does not match this call is ignored; a resume token from the
    // caller that does not match is refused below.
    let resume = resume.or_else(|| {
        let token = gate.received_requests.token(call.id)?;
        check_token(&token, &call, &completion)
            .is_ok()
            .then_some(token)
    });
    if let Some(token) = &resume {
        check_token(token, &call, &completion)?;
        let left = token.deadline.since(gate.kernel.clock.now());
        call.id = token.request;
        call.deadline = Instant::now() + left;
    }
    let position = last_event_id(&call.headers)?;
    let meta = ResponseMeta {
        id: call.id.to_string(),
        model: completion.request.model.clone(),
        path: format!("/{}/{}", call.service.name, call.path),
    };
    let is_streaming = completion.request.stream;
    let (out, mut items) = mpsc::unbounded_channel();
    let caller_text = completion.resume_text.clone();
    let mut relay = StreamRelay::new(gate, call, completion, out);
    if let Some(token) = resume {
        let text = resumed_text(gate, &token, position, caller_text);
        relay = relay.resume_from(token.generation, text, position);
    }
    tokio::spawn(relay.run());
    match items.recv().await {
        None => Err(Error::new(ErrorKind::Internal, "the relay ended")),
        Some(RelayItem::Response(response)) => Ok(run::buffered_response(&response.0, response.1)),
        Some(RelayItem::Failed(error)) => Err(error),
        Some(RelayItem::HandedOver(target)) => Ok(redirect(&target, &meta)),
        Some(first) if is_streaming => Ok(stream_response::sse_response(meta, first, items)),
        Some(first) => collect_response(&meta, first, items).await,
    }
}

/// Returns the resume token from the headers or, after a redirect, from the query.
///
/// Removes it from the query of the call.
fn take_resume_token(gate: &Gate, call: &mut Call) -> Result<Option<ResumeToken>> {
    let prefix = format!("{RESUME_HEADER}=");
    let mut text = None;
    if let Some((path, query)) = call.path.split_once('?') {
        let (tokens, others): (Vec<&str>, Vec<&str>) =
            query.split('&').partition(|p| p.starts_with(&prefix));
        text = tokens.first().map(|t| t[prefix.len()..].to_owned());
        call.path = if others.is_empty() {
            path.to_owned()
        } else {
            format!("{path}?{}", others.join("&"))
        };
    }
    if let Some(value) = call.headers.get(RESUME_HEADER) {
        text = Some(String::from_utf8_lossy(value.as_bytes()).into_owned());
    }
    text.map(|text| ResumeToken::verify(&gate.key, &text, &call.customer))
        .transpose()
}

fn check_token(token: &ResumeToken, call: &Call, completion: &Completion) -> Result<()> {
    if token.service != call.service.name || token.digest != completion.digest() {
        let detail = "the resume token belongs to another request";
        return Err(Error::new(ErrorKind::BadRequest, detail));
    }
    Ok(())
}

fn last_event_id(headers: &HeaderMap) -> Result<u32> {
    let Some(value) = headers.get(LAST_EVENT_ID_HEADER) else {
        return Ok(0);
    };
    let number = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    number.ok_or_else(|| {
        let detail = "Last-Event-ID must be the number of the last event received";
        Error::new(ErrorKind::BadRequest, detail)
    })
}

/// Returns the text of a resumed request of which the caller has received `position` tokens.
///
/// Prefers the text that another gate handed over to the text that the caller sent.
fn resumed_text(
    gate: &Gate,
    token: &ResumeToken,
    position: u32,
    caller_text: Option<String>,
) -> ResponseText {
    let handed_over = gate.received_requests.take(token.request).map(|s| s.text);
    if let Some(text) = handed_over.filter(|t| t.position() >= position && t.full_text().is_some())
    {
        return text;
    }
    match caller_text {
        Some(text) if position >= token.generation.base => {
            ResponseText::with_known_prefix(text, position)
        }
        _ => ResponseText::with_unknown_prefix(token.generation.base),
    }
}

fn redirect(target: &HandoverTarget, meta: &ResponseMeta) -> Response<ResponseBody> {
    let path = match &target.token {
        None => meta.path.clone(),
        Some(token) => {
            let mark = if meta.path.contains('?') { '&' } else { '?' };
            format!("{}{mark}{RESUME_HEADER}={token}", meta.path)
        }
    };
    hand_over::redirect_to(&target.gate, &path)
}

/// Collects all tokens into one JSON response.
async fn collect_response(
    meta: &ResponseMeta,
    first: RelayItem,
    mut items: UnboundedReceiver<RelayItem>,
) -> Result<Response<ResponseBody>> {
    let mut text = String::new();
    let mut finish = None;
    let mut next = Some(first);
    while let Some(item) = next {
        match item {
            RelayItem::Token(token) => {
                text.push_str(&token.text);
                finish = token.finish_reason.or(finish);
            }
            RelayItem::Done(usage) => {
                let chunk = meta.chunk(text, finish, Some(usage));
                let mut response = Response::new(full_body(chunk));
                let content_type = hyper::header::HeaderValue::from_static("application/json");
                response.headers_mut().insert("content-type", content_type);
                return Ok(response);
            }
            RelayItem::HandedOver(target) => return Ok(redirect(&target, meta)),
            RelayItem::Failed(error) => return Err(error),
            RelayItem::ResumeToken(_) | RelayItem::Response(_) => {}
        }
        next = items.recv().await;
    }
    Err(Error::new(ErrorKind::Internal, "the relay ended"))
}

impl ResponseMeta {
    /// Returns a chunk of the response as JSON.
    pub(crate) fn chunk(
        &self,
        text: String,
        finish: Option<String>,
        usage: Option<crate::Usage>,
    ) -> Vec<u8> {
        let chunk = CompletionChunk {
            id: self.id.clone(),
            model: self.model.clone(),
            choices: vec![Choice {
                index: 0,
                text,
                finish_reason: finish,
            }],
            usage,
        };
        serde_json::to_vec(&chunk).unwrap_or_default()
    }
}
