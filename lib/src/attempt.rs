//! One attempt at running a request on an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;

use crate::ATTEMPT_HEADER;
use crate::AttemptId;
use crate::Endpoint;
use crate::HttpClient;
use crate::Lent;
use crate::PRIORITY_HEADER;
use crate::Priority;
use crate::RESUME_HEADER;
use crate::Reuse;
use crate::SendError;
use crate::call::Call;

/// Headers that are not passed on: those of one connection (RFC 9110, section 7.6.1), and those
/// that the gate answers itself.
pub(crate) const HOP_HEADERS: [&str; 14] = [
    "accept-encoding",
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "last-event-id",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    RESUME_HEADER,
];

/// Why an attempt failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum AttemptError {
    /// the endpoint was not reached: {0}
    Unsent(SendError),
    /// the endpoint may have run the request: {0}
    MaybeSent(SendError),
    /// the answer belongs to another attempt
    Crossed,
    /// the endpoint made no progress in time
    Silent,
    /// an idle connection that was used again made no progress in time
    Stale,
    /// the answer ended early: {0}
    Truncated(String),
    /// the endpoint answered with status {0}
    Status(u16),
}

impl AttemptError {
    /// Tells whether the endpoint cannot have seen the request.
    pub(crate) const fn is_unsent(&self) -> bool {
        matches!(self, Self::Unsent(_))
    }
}

/// Head of an endpoint's answer, with the connection that its body comes on.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) lent: Lent,
}

/// Sends a call to an endpoint and waits for the head of the answer.
///
/// # Errors
///
/// Returns an [`AttemptError`] that tells whether the endpoint may have run the request.
pub(crate) async fn dispatch(
    http: &HttpClient,
    endpoint: &Endpoint,
    call: &Call,
    attempt: AttemptId,
    reuse: Reuse,
    progress: Duration,
) -> Result<Answer, AttemptError> {
    let request = endpoint_request(endpoint, call, call.body.clone(), attempt);
    send(http, endpoint.address, request, attempt, reuse, progress).await
}

/// Sends a request to an endpoint and waits for the head of the answer.
///
/// # Errors
///
/// Returns an [`AttemptError`] that tells whether the endpoint may have run the request.
pub(crate) async fn send(
    http: &HttpClient,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    attempt: AttemptId,
    reuse: Reuse,
    limit: Duration,
) -> Result<Answer, AttemptError> {
    let sent = tokio::time::timeout(limit, http.send(address, request, reuse));
    let (response, lent) = match sent.await {
        Err(_) => return Err(AttemptError::Silent),
        Ok(Err(error)) if error.is_unsent() => return Err(AttemptError::Unsent(error)),
        Ok(Err(error)) => return Err(AttemptError::MaybeSent(error)),
        Ok(Ok(answer)) => answer,
    };
    if is_busy(&response) {
        return Err(AttemptError::Status(response.status().as_u16()));
    }
    if !carries(&response, attempt) {
        return Err(AttemptError::Crossed);
    }
    Ok(Answer { response, lent })
}

/// Reads the whole body of an answer and gives its connection back.
///
/// # Errors
///
/// Returns [`AttemptError::Silent`] when no byte comes for `progress`, and
/// [`AttemptError::Truncated`] when the connection ends early.
pub(crate) async fn read_whole(
    http: &HttpClient,
    answer: Answer,
    progress: Duration,
) -> Result<(hyper::http::response::Parts, Bytes), AttemptError> {
    let (parts, mut body) = answer.response.into_parts();
    let mut bytes = Vec::new();
    loop {
        let frame = tokio::time::timeout(progress, body.frame())
            .await
            .map_err(|_elapsed| AttemptError::Silent)?;
        match frame {
            None => break,
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    bytes.extend_from_slice(data);
                }
            }
            Some(Err(error)) => return Err(AttemptError::Truncated(error.to_string())),
        }
    }
    http.give_back(answer.lent);
    Ok((parts, Bytes::from(bytes)))
}

/// Tells whether an endpoint refused for want of capacity; it need not read the request first.
fn is_busy(response: &Response<Incoming>) -> bool {
    let status = response.status();
    let busy = status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE;
    busy && !response.headers().contains_key(ATTEMPT_HEADER)
}

fn carries(response: &Response<Incoming>, attempt: AttemptId) -> bool {
    response
        .headers()
        .get(ATTEMPT_HEADER)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v == attempt.to_string())
}

/// Builds the request that an endpoint gets for a call.
pub(crate) fn endpoint_request(
    endpoint: &Endpoint,
    call: &Call,
    body: Bytes,
    attempt: AttemptId,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = call.method.clone();
    let path = format!("/{}", call.path);
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    for (name, value) in &call.headers {
        if !HOP_HEADERS.contains(&name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    if let Ok(host) = endpoint.address.to_string().parse() {
        headers.insert("host", host);
    }
    if let Ok(id) = attempt.to_string().parse() {
        headers.insert(ATTEMPT_HEADER, id);
    }
    let priority = match call.priority() {
        Priority::Interactive => "interactive",
        Priority::Deferred => "deferred",
    };
    headers.insert(PRIORITY_HEADER, HeaderValue::from_static(priority));
    request
}
