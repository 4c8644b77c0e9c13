//! Answers completion requests: as a stream of events, or assembled into one answer.

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
use crate::ReplyBody;
use crate::Result;
use crate::ResumeToken;
use crate::call::Call;
use crate::completion::Completion;
use crate::full_body;
use crate::hand_over;
use crate::run;
use crate::stream_relay::HandedOver;
use crate::stream_relay::Relay;
use crate::stream_relay::RelayItem;
use crate::stream_reply;
use crate::text_so_far::TextSoFar;

/// Last segment of the paths of the completions protocol.
const COMPLETIONS: &str = "completions";

/// Header with the position of the last token that a caller has.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Identifies an answer to its caller.
#[derive(Clone, Debug)]
pub(crate) struct AnswerName {
    /// Identifier in each chunk.
    pub(crate) id: String,
    /// Model in each chunk.
    pub(crate) model: String,
    /// Path of the request at any gate.
    pub(crate) path: String,
}

/// Checks that a call of a model service follows the completions protocol.
///
/// The engines' other paths are not for callers.
///
/// # Errors
///
/// Fails with [`ErrorKind::NotFound`] or [`ErrorKind::MethodNotAllowed`].
pub(crate) fn check_target(call: &Call) -> Result<()> {
    let path = call.path.split('?').next().unwrap_or_default();
    if path.rsplit('/').next() != Some(COMPLETIONS) {
        let detail = "a model service answers completions only";
        return Err(Error::new(ErrorKind::NotFound, detail));
    }
    if call.method != Method::POST {
        let detail = "completions are requested with POST";
        return Err(Error::new(ErrorKind::MethodNotAllowed, detail));
    }
    Ok(())
}

/// Runs a completion request and returns its answer.
///
/// # Errors
///
/// Fails with the kind that tells what is known of the call's effect.
pub(crate) async fn run(gate: &Arc<Gate>, mut call: Call) -> Result<Response<ReplyBody>> {
    check_target(&call)?;
    let wanted = Completion::parse(&call.body)?;
    call.affinity = Some(wanted.affinity());
    let resume = resume_token(gate, &mut call)?;
    let resume = resume.or_else(|| {
        let token = gate.handed.token(call.id)?;
        check_token(&token, &call, &wanted).is_ok().then_some(token)
    });
    if let Some(token) = &resume {
        check_token(token, &call, &wanted)?;
        let left = token.deadline.since(gate.kernel.clock.now());
        call.id = token.request;
        call.deadline = Instant::now() + left;
    }
    let position = last_event(&call.headers)?;
    let name = AnswerName {
        id: call.id.to_string(),
        model: wanted.known.model.clone(),
        path: format!("/{}/{}", call.service.name, call.path),
    };
    let streamed = wanted.known.stream;
    let (out, mut items) = mpsc::unbounded_channel();
    let caller_text = wanted.text.clone();
    let mut relay = Relay::new(gate, call, wanted, out);
    if let Some(token) = resume {
        let text = known_text(gate, &token, position, caller_text);
        relay = relay.resumed(token.run, text, position);
    }
    tokio::spawn(relay.run());
    match items.recv().await {
        None => Err(Error::new(ErrorKind::Internal, "the relay ended")),
        Some(RelayItem::Answer(answer)) => Ok(run::whole_reply(&answer.0, answer.1)),
        Some(RelayItem::Failed(error)) => Err(error),
        Some(RelayItem::HandedOver(to)) => Ok(redirect(&to, &name)),
        Some(first) if streamed => Ok(stream_reply::reply(name, first, items)),
        Some(first) => collect(&name, first, items).await,
    }
}

/// Takes the token out of the headers or, after a redirect, out of the path.
fn resume_token(gate: &Gate, call: &mut Call) -> Result<Option<ResumeToken>> {
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
    text.map(|text| ResumeToken::open(&gate.key, &text, &call.customer))
        .transpose()
}

fn check_token(token: &ResumeToken, call: &Call, wanted: &Completion) -> Result<()> {
    if token.service != call.service.name || token.digest != wanted.digest() {
        let detail = "the resume token belongs to another request";
        return Err(Error::new(ErrorKind::BadRequest, detail));
    }
    Ok(())
}

fn last_event(headers: &HeaderMap) -> Result<u32> {
    let Some(value) = headers.get(LAST_EVENT_HEADER) else {
        return Ok(0);
    };
    let number = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    number.ok_or_else(|| {
        let detail = "Last-Event-ID must be the number of the last event received";
        Error::new(ErrorKind::BadRequest, detail)
    })
}

/// Returns the best known text of a resumed request, of which the caller has `position` tokens.
fn known_text(
    gate: &Gate,
    token: &ResumeToken,
    position: u32,
    caller_text: Option<String>,
) -> TextSoFar {
    let handed = gate.handed.take(token.request).map(|s| s.text);
    if let Some(text) = handed.filter(|t| t.position() >= position && t.whole().is_some()) {
        return text;
    }
    match caller_text {
        Some(text) if position >= token.run.base => TextSoFar::known(text, position),
        _ => TextSoFar::unknown(token.run.base),
    }
}

fn redirect(to: &HandedOver, name: &AnswerName) -> Response<ReplyBody> {
    let path = match &to.token {
        None => name.path.clone(),
        Some(token) => {
            let mark = if name.path.contains('?') { '&' } else { '?' };
            format!("{}{mark}{RESUME_HEADER}={token}", name.path)
        }
    };
    hand_over::redirect_to(&to.gate, &path)
}

/// Assembles the tokens into one answer.
async fn collect(
    name: &AnswerName,
    first: RelayItem,
    mut items: UnboundedReceiver<RelayItem>,
) -> Result<Response<ReplyBody>> {
    let mut text = String::new();
    let mut finish = None;
    let mut next = Some(first);
    while let Some(item) = next {
        match item {
            RelayItem::Token(token) => {
                text.push_str(&token.text);
                finish = token.finish.or(finish);
            }
            RelayItem::Done(usage) => {
                let chunk = name.chunk(text, finish, Some(usage));
                let mut reply = Response::new(full_body(chunk));
                let media = hyper::header::HeaderValue::from_static("application/json");
                reply.headers_mut().insert("content-type", media);
                return Ok(reply);
            }
            RelayItem::HandedOver(to) => return Ok(redirect(&to, name)),
            RelayItem::Failed(error) => return Err(error),
            RelayItem::Opened(_) | RelayItem::Answer(_) => {}
        }
        next = items.recv().await;
    }
    Err(Error::new(ErrorKind::Internal, "the relay ended"))
}

impl AnswerName {
    /// Returns a chunk of the answer as JSON.
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
