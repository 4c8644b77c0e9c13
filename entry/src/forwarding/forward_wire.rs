//! HTTP messages by which an entry forwards a request to a peer.
//!
//! The request is the one that an endpoint would get, with a header that holds what else the peer
//! needs to know. A header of the response tells an endpoint's response from the peer's refusal.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use tokio::time::Instant;

use crate::BodyError;
use crate::Call;
use crate::CallerBody;
use crate::CallerResponse;
use crate::EndpointClient;
use crate::Prompt;
use crate::Refusal;
use crate::RequestBody;
use crate::ServiceName;
use crate::build_http_response;

/// Name of [`HEAD`].
const HEAD_NAME: &str = "hawthornrack-forward";

/// Request header with a [`ForwardHead`] as JSON.
const HEAD: HeaderName = HeaderName::from_static(HEAD_NAME);

/// Response header with the name of a [`ForwardOutcome`].
const OUTCOME: HeaderName = HeaderName::from_static("hawthornrack-outcome");

/// Headers that concern one connection only, or that the HTTP library sets.
const CONNECTION_HEADERS: [HeaderName; 3] = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING];

/// What a peer needs to know of a forwarded request besides its HTTP message.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ForwardHead {
    /// Id that the caller gave this attempt.
    pub(crate) id: String,
    /// Host, in lower case and without port.
    pub(crate) host: String,
    /// API key, if the caller sent one.
    pub(crate) key: Option<String>,
    /// Time left until the request's deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "left_ms")]
    pub(crate) time_left: Duration,
    /// Prompt sizes of a model request.
    pub(crate) prompt: Option<Prompt>,
    /// Id of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
    /// Service that was chosen for the request.
    pub(crate) service: ServiceName,
    /// Number of sends to endpoints so far.
    pub(crate) sends: u32,
    /// Version of the configuration by which the request was admitted.
    pub(crate) config: u64,
}

/// Error of a message that is no forwarded request or no response to one.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq, thiserror::Error)]
pub(crate) enum InvalidForward {
    /// the header {0} is missing or unreadable
    Header(&'static str),
    /// the head cannot be decoded: {0}
    Head(String),
    /// the body cannot be read: {0}
    Body(String),
    /// no memory is left for the body
    NoMemory,
}

/// Kind of a peer's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ForwardOutcome {
    /// Complete response of an endpoint.
    Whole,
    /// Event stream of an endpoint.
    Stream,
    /// Refusal by the peer, as JSON.
    Refused,
}

impl ForwardOutcome {
    const fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Stream => "stream",
            Self::Refused => "refused",
        }
    }

    /// Returns the kind of a response; `None` if it is none to a forwarded request.
    pub(crate) fn of(headers: &HeaderMap) -> Option<Self> {
        let name = headers.get(OUTCOME)?.to_str().ok()?;
        let kinds = [Self::Whole, Self::Stream, Self::Refused];
        kinds.into_iter().find(|kind| kind.name() == name)
    }
}

/// Encodes a forwarded request.
///
/// # Errors
///
/// Returns [`InvalidForward`] if the call cannot be expressed as an HTTP request.
pub(crate) fn encode_request(
    head: &ForwardHead,
    call: &Call,
) -> Result<Request<Full<Bytes>>, InvalidForward> {
    let invalid = |error: &dyn std::fmt::Display| InvalidForward::Head(error.to_string());
    let text = serde_json::to_vec(head).map_err(|error| invalid(&error))?;
    let value = HeaderValue::from_bytes(&text).map_err(|error| invalid(&error))?;
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.target)
        .body(Full::new(call.body.clone()))
        .map_err(|error| invalid(&error))?;
    *request.headers_mut() = call.headers.clone();
    request.headers_mut().insert(HEAD, value);
    Ok(request)
}

/// Decodes a forwarded request with a body of at most `max_body` bytes.
///
/// # Errors
///
/// Returns [`InvalidForward`] if the message is no forwarded request.
pub(crate) async fn decode_request(
    request: Request<Incoming>,
    max_body: usize,
) -> Result<(ForwardHead, Call), InvalidForward> {
    let received = Instant::now();
    let (mut message, body) = RequestBody::split(request);
    let value = message.headers.remove(HEAD);
    let value = value.ok_or(InvalidForward::Header(HEAD_NAME))?;
    let head: ForwardHead = serde_json::from_slice(value.as_bytes())
        .map_err(|error| InvalidForward::Head(error.to_string()))?;
    let body = body.read(max_body).await.map_err(|error| match error {
        BodyError::NoMemory => InvalidForward::NoMemory,
        error => InvalidForward::Body(error.to_string()),
    })?;
    remove_connection_headers(&mut message.headers);
    let target = message.uri.path_and_query().map_or("/", |t| t.as_str());
    let call = Call {
        id: head.id.clone(),
        host: head.host.clone(),
        target: target.to_owned(),
        method: message.method,
        headers: message.headers,
        body,
        key: head.key.clone(),
        received,
        timeout: Some(head.time_left),
        prompt: head.prompt.clone(),
        last_event: head.last_event,
    };
    Ok((head, call))
}

/// Encodes the response to a forwarded request.
pub(crate) fn encode_response<E: EndpointClient>(
    response: CallerResponse<E>,
) -> Response<CallerBody> {
    let outcome = match &response {
        CallerResponse::Whole { .. } => ForwardOutcome::Whole,
        CallerResponse::Stream { .. } => ForwardOutcome::Stream,
        CallerResponse::Refused(_) => ForwardOutcome::Refused,
    };
    let mut response = build_http_response(response).unwrap_or_else(|refusal| {
        let text = serde_json::to_vec(&refusal).unwrap_or_default();
        Response::new(CallerBody::Left(Full::new(Bytes::from(text))))
    });
    let name = HeaderValue::from_static(outcome.name());
    response.headers_mut().insert(OUTCOME, name);
    response
}

/// Decodes the body of a refusal.
///
/// # Errors
///
/// Returns [`InvalidForward`] if it is none.
pub(crate) fn decode_refusal(body: &[u8]) -> Result<Refusal, InvalidForward> {
    serde_json::from_slice(body).map_err(|error| InvalidForward::Body(error.to_string()))
}

/// Returns the headers of a peer's response that are those of an endpoint's.
pub(crate) fn endpoint_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    headers.remove(OUTCOME);
    remove_connection_headers(&mut headers);
    headers
}

fn remove_connection_headers(headers: &mut HeaderMap) {
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
}
