//! Sends one attempt of a request to an endpoint and reads the response.

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

use crate::ATTEMPT_ID_HEADER;
use crate::AttemptId;
use crate::Endpoint;
use crate::HttpClient;
use crate::PRIORITY_HEADER;
use crate::PooledConnection;
use crate::Priority;
use crate::RESUME_HEADER;
use crate::Reuse;
use crate::SendError;
use crate::call::Call;

/// Request headers that are not forwarded to endpoints: hop-by-hop headers (RFC 9110, section
/// 7.6.1) and headers that the gate handles itself.
pub(crate) const UNFORWARDED_HEADERS: [&str; 14] = [
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

/// Reason for which an attempt failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum AttemptError {
    /// the endpoint was not reached: {0}
    NotSent(SendError),
    /// the endpoint may have run the request: {0}
    MaybeSent(SendError),
    /// the answer belongs to another attempt
    Mismatched,
    /// the endpoint made no progress in time
    TimedOut,
    /// an idle connection that was used again made no progress in time
    StaleConnection,
    /// the answer ended early: {0}
    InvalidBody(String),
    /// the endpoint answered with status {0}
    Status(u16),
}

impl AttemptError {
    /// Returns whether it is certain that the endpoint did not receive the request.
    pub(crate) const fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

/// Response of an endpoint whose body is still to be read from the connection.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub(crate) inner: Response<Incoming>,
    pub(crate) connection: PooledConnection,
}

/// Sends a call to an endpoint and waits at most `timeout` for the head of the response.
///
/// # Errors
///
/// Returns an [`AttemptError`], whose variant tells whether the endpoint may have run the request.
pub(crate) async fn dispatch(
    http: &HttpClient,
    endpoint: &Endpoint,
    call: &Call,
    attempt: AttemptId,
    reuse: Reuse,
    timeout: Duration,
) -> Result<EndpointResponse, AttemptError> {
    let request = endpoint_request(endpoint, call, call.body.clone(), attempt);
    send(http, endpoint.address, request, attempt, reuse, timeout).await
}

/// Sends a request to an endpoint and waits at most `timeout` for the head of the response.
///
/// # Errors
///
/// Returns an [`AttemptError`], whose variant tells whether the endpoint may have run the request.
pub(crate) async fn send(
    http: &HttpClient,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    attempt: AttemptId,
    reuse: Reuse,
    timeout: Duration,
) -> Result<EndpointResponse, AttemptError> {
    let sent = tokio::time::timeout(timeout, http.send(address, request, reuse));
    let (response, pooled) = match sent.await {
        Err(_) => return Err(AttemptError::TimedOut),
        Ok(Err(error)) if error.is_unsent() => return Err(AttemptError::NotSent(error)),
        Ok(Err(error)) => return Err(AttemptError::MaybeSent(error)),
        Ok(Ok(response)) => response,
    };
    if is_overloaded(&response) {
        return Err(AttemptError::Status(response.status().as_u16()));
    }
    if !has_attempt_id(&response, attempt) {
        return Err(AttemptError::Mismatched);
    }
    Ok(EndpointResponse {
        inner: response,
        connection: pooled,
    })
}

/// Reads the whole body of a response and returns its connection to the pool.
///
/// # Errors
///
/// Returns [`AttemptError::TimedOut`] when no frame arrives for `idle_timeout`, and
/// [`AttemptError::InvalidBody`] when the connection closes before the end of the body.
pub(crate) async fn read_to_end(
    http: &HttpClient,
    response: EndpointResponse,
    idle_timeout: Duration,
) -> Result<(hyper::http::response::Parts, Bytes), AttemptError> {
    let (parts, mut body) = response.inner.into_parts();
    let mut bytes = Vec::new();
    loop {
        let frame = tokio::time::timeout(idle_timeout, body.frame())
            .await
            .map_err(|_elapsed| AttemptError::TimedOut)?;
        match frame {
            None => break,
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    bytes.extend_from_slice(data);
                }
            }
            Some(Err(error)) => return Err(AttemptError::InvalidBody(error.to_string())),
        }
    }
    http.return_to_pool(response.connection);
    Ok((parts, Bytes::from(bytes)))
}

/// Returns whether an endpoint refused the request for lack of capacity.
///
/// Such a response carries no attempt ID, because the endpoint may send it before it has read the
/// request.
fn is_overloaded(response: &Response<Incoming>) -> bool {
    let status = response.status();
    let overloaded =
        status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE;
    overloaded && !response.headers().contains_key(ATTEMPT_ID_HEADER)
}

fn has_attempt_id(response: &Response<Incoming>, attempt: AttemptId) -> bool {
    response
        .headers()
        .get(ATTEMPT_ID_HEADER)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v == attempt.to_string())
}

/// Builds the request that is sent to an endpoint for a call.
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
        if !UNFORWARDED_HEADERS.contains(&name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    if let Ok(host) = endpoint.address.to_string().parse() {
        headers.insert("host", host);
    }
    if let Ok(id) = attempt.to_string().parse() {
        headers.insert(ATTEMPT_ID_HEADER, id);
    }
    let priority = match call.priority() {
        Priority::Interactive => "interactive",
        Priority::Deferred => "deferred",
    };
    headers.insert(PRIORITY_HEADER, HeaderValue::from_static(priority));
    request
}
