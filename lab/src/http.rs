//! HTTP server, requests and responses of the stand-ins, and the handling of their settings.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use hawthornrack_lib::ATTEMPT_ID_HEADER;
use hawthornrack_lib::BodyError;
use hawthornrack_lib::ResponseBody;
use hawthornrack_lib::ServerLimits;
use hawthornrack_lib::full_body;
use hawthornrack_lib::serve;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Maximum time for which a stopping stand-in waits for its aborted requests to end.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Response of a stand-in.
pub(crate) type HttpResponse = Response<ResponseBody>;

/// Error in a stand-in's settings.
#[derive(Debug, displaydoc::Display, Error)]
pub enum SettingsError {
    /// the settings are not valid TOML: {0}
    Toml(#[from] toml::de::Error),
    /// the settings are not valid JSON: {0}
    Json(#[from] serde_json::Error),
}

/// Parses settings from `key=value` lines in TOML syntax; keys that are left out keep their
/// defaults.
///
/// # Errors
///
/// Returns a [`SettingsError`] that names the unknown key or the invalid value.
pub fn parse_settings<T: DeserializeOwned>(lines: &[String]) -> Result<T, SettingsError> {
    Ok(toml::from_str(&lines.join("\n"))?)
}

/// Applies a JSON merge patch (RFC 7396) to settings.
fn patch_settings<T>(settings: &mut T, patch: &[u8]) -> Result<(), SettingsError>
where
    T: DeserializeOwned + Serialize,
{
    let mut value = serde_json::to_value(&*settings)?;
    merge_patch(&mut value, serde_json::from_slice(patch)?);
    *settings = serde_json::from_value(value)?;
    Ok(())
}

fn merge_patch(target: &mut Value, patch: Value) {
    let Value::Object(patch) = patch else {
        *target = patch;
        return;
    };
    if !target.is_object() {
        *target = Value::Object(serde_json::Map::new());
    }
    let Value::Object(fields) = target else {
        return;
    };
    for (key, value) in patch {
        if value.is_null() {
            fields.remove(&key);
        } else {
            merge_patch(fields.entry(key).or_insert(Value::Null), value);
        }
    }
}

/// Creates a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: u16, value: &T) -> HttpResponse {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(bytes));
    set_status(&mut response, status);
    set_header(&mut response, "content-type", "application/json");
    response
}

/// Creates a response with a text body.
pub(crate) fn text(status: u16, message: &str) -> HttpResponse {
    let mut response = Response::new(full_body(message.to_owned()));
    set_status(&mut response, status);
    response
}

/// Result of a handler.
pub(crate) type HandlerResult = Result<HttpResponse, HttpError>;

/// Error response of a handler.
#[derive(Debug)]
pub(crate) enum HttpError {
    /// The connection is closed without a response.
    Abort,
    /// Status code, and the `retry-after` header in seconds.
    RetryAfter(u16, u64),
    /// Status code and the message in the body.
    Status(u16, String),
}

impl From<HttpError> for HttpResponse {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Abort => aborting_response(),
            HttpError::RetryAfter(status, seconds) => {
                let mut response = text(status, "come back later");
                set_header(&mut response, "retry-after", &seconds.to_string());
                response
            }
            HttpError::Status(status, message) => text(status, &message),
        }
    }
}

/// Creates an error response with a message as its body.
pub(crate) fn status_error(status: u16, message: &str) -> HttpError {
    HttpError::Status(status, message.to_owned())
}

/// Creates a response that closes the connection before any byte of it is sent.
fn aborting_response() -> HttpResponse {
    let error: BodyError = "connection aborted".into();
    let frames = stream::iter([Err::<Frame<Bytes>, BodyError>(error)]);
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

/// Sets the status of a response; an invalid status code is ignored.
pub(crate) fn set_status(response: &mut HttpResponse, status: u16) {
    if let Ok(status) = hyper::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
}

/// Sets a header of a response; a value that is not valid in HTTP is ignored.
pub(crate) fn set_header(response: &mut HttpResponse, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

/// A request whose body has been read completely.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    pub(crate) body: Bytes,
    head: Parts,
}

impl HttpRequest {
    async fn read(request: Request<Incoming>) -> Result<Self, HttpError> {
        let (head, body) = request.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| status_error(400, &error.to_string()))?;
        Ok(Self {
            body: body.to_bytes(),
            head,
        })
    }

    pub(crate) fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Returns the path without the query.
    pub(crate) fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns the path with the query.
    pub(crate) fn path_with_query(&self) -> String {
        self.head.uri.to_string()
    }

    /// Returns the path split at its slashes.
    pub(crate) fn path_segments(&self) -> Vec<&str> {
        self.path().trim_matches('/').split('/').collect()
    }

    /// Returns the value of a header, or an empty string if it is missing or not text.
    pub(crate) fn header(&self, name: &str) -> String {
        let value = self.head.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    }

    /// Returns a number from the query, or zero if it is missing or not a number.
    pub(crate) fn query_number(&self, name: &str) -> u64 {
        let mut pairs = self.head.uri.query().unwrap_or_default().split('&');
        let found = pairs.find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
        found.and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns status 400 if the body is not valid JSON for `T`.
    pub(crate) fn parse_json<T: DeserializeOwned>(&self) -> Result<T, HttpError> {
        serde_json::from_slice(&self.body).map_err(|error| status_error(400, &error.to_string()))
    }

    /// Applies the body as a JSON merge patch to the settings and responds with the result.
    pub(crate) fn update_settings<T>(&self, settings: &mut T) -> HandlerResult
    where
        T: DeserializeOwned + Serialize,
    {
        match patch_settings(settings, &self.body) {
            Ok(()) => Ok(json(200, settings)),
            Err(error) => Err(status_error(400, &error.to_string())),
        }
    }
}

/// Serves a stand-in until `stop` is cancelled, which also aborts the requests in progress.
///
/// A response gets the attempt identifier of its request, unless the handler set another one.
pub(crate) async fn serve_requests<H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send,
{
    let limits = ServerLimits {
        drain: DRAIN_TIMEOUT,
        ..ServerLimits::default()
    };
    let stopped = stop.clone();
    serve(listener, limits, stop, move |request, _peer| {
        let handler = handler.clone();
        let stopped = stopped.clone();
        async move {
            let attempt = request.headers().get(ATTEMPT_ID_HEADER).cloned();
            let handling = async { handler(HttpRequest::read(request).await?).await };
            let mut response = tokio::select! {
                () = stopped.cancelled() => aborting_response(),
                result = handling => result.unwrap_or_else(HttpResponse::from),
            };
            if let Some(attempt) = attempt {
                response
                    .headers_mut()
                    .entry(ATTEMPT_ID_HEADER)
                    .or_insert(attempt);
            }
            response
        }
    })
    .await;
}

/// Returns the hash of a body (xxh3, 64 bits) in hexadecimal.
pub(crate) fn digest(body: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(body))
}
