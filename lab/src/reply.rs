//! Helpers that the stand-ins' HTTP handlers share: answers, queries and settings.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use hawthornrack_lib::ATTEMPT_HEADER;
use hawthornrack_lib::BodyError;
use hawthornrack_lib::ReplyBody;
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

/// Time for which a stopping stand-in waits for requests in progress.
const DRAIN: Duration = Duration::from_millis(200);

/// Answer of a stand-in.
pub(crate) type Reply = Response<ReplyBody>;

/// Settings that cannot be read.
#[derive(Debug, displaydoc::Display, Error)]
pub enum SettingsError {
    /// the settings are not valid TOML: {0}
    Toml(#[from] toml::de::Error),
    /// the settings are not valid JSON: {0}
    Json(#[from] serde_json::Error),
}

/// Reads settings from `key=value` lines in TOML syntax; what is not named keeps its default.
///
/// # Errors
///
/// Returns a [`SettingsError`] that names the unknown key or the wrong value.
pub fn parse_settings<T: DeserializeOwned>(lines: &[String]) -> Result<T, SettingsError> {
    Ok(toml::from_str(&lines.join("\n"))?)
}

/// Applies a JSON merge patch (RFC 7396) to settings.
fn patch_settings<T>(settings: &mut T, patch: &[u8]) -> Result<(), SettingsError>
where
    T: DeserializeOwned + Serialize,
{
    let mut value = serde_json::to_value(&*settings)?;
    merge(&mut value, serde_json::from_slice(patch)?);
    *settings = serde_json::from_value(value)?;
    Ok(())
}

fn merge(target: &mut Value, patch: Value) {
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
            merge(fields.entry(key).or_insert(Value::Null), value);
        }
    }
}

/// Returns an answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: u16, value: &T) -> Reply {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut reply = Response::new(full_body(bytes));
    set_status(&mut reply, status);
    set_header(&mut reply, "content-type", "application/json");
    reply
}

/// Returns an answer with a text body.
pub(crate) fn text(status: u16, message: &str) -> Reply {
    let mut reply = Response::new(full_body(message.to_owned()));
    set_status(&mut reply, status);
    reply
}

/// Result of a handler.
pub(crate) type Answer = Result<Reply, Refusal>;

/// Why a request gets no ordinary answer.
#[derive(Debug)]
pub(crate) enum Refusal {
    /// The connection is closed without an answer.
    Abort,
    /// Status, and seconds after which to come back.
    Later(u16, u64),
    /// Status and message.
    Status(u16, String),
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Abort => abort(),
            Refusal::Later(status, secs) => {
                let mut reply = text(status, "come back later");
                set_header(&mut reply, "retry-after", &secs.to_string());
                reply
            }
            Refusal::Status(status, message) => text(status, &message),
        }
    }
}

/// Returns a refusal with a message.
pub(crate) fn refuse(status: u16, message: &str) -> Refusal {
    Refusal::Status(status, message.to_owned())
}

/// Returns an answer that closes the connection before a byte of it is sent.
fn abort() -> Reply {
    let error: BodyError = "connection aborted".into();
    let frames = stream::iter([Err::<Frame<Bytes>, BodyError>(error)]);
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

/// Sets the status of an answer.
pub(crate) fn set_status(reply: &mut Reply, status: u16) {
    if let Ok(status) = hyper::StatusCode::from_u16(status) {
        *reply.status_mut() = status;
    }
}

/// Sets a header of an answer; a value that HTTP cannot carry is left out.
pub(crate) fn set_header(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        reply.headers_mut().insert(name, value);
    }
}

/// A request with its whole body.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) body: Bytes,
    head: Parts,
}

impl Call {
    async fn read(request: Request<Incoming>) -> Result<Self, Refusal> {
        let (head, body) = request.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| refuse(400, &error.to_string()))?;
        Ok(Self {
            body: body.to_bytes(),
            head,
        })
    }

    /// Returns the method.
    pub(crate) fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Returns the path without the query.
    pub(crate) fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns the path with the query.
    pub(crate) fn uri(&self) -> String {
        self.head.uri.to_string()
    }

    /// Returns the parts of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path().trim_matches('/').split('/').collect()
    }

    /// Returns a header as text, empty when it is missing.
    pub(crate) fn header(&self, name: &str) -> String {
        let value = self.head.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    }

    /// Returns a number from the query, zero when it is missing.
    pub(crate) fn query(&self, name: &str) -> u64 {
        let mut pairs = self.head.uri.query().unwrap_or_default().split('&');
        let found = pairs.find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
        found.and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Reads the body as JSON.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        serde_json::from_slice(&self.body).map_err(|error| refuse(400, &error.to_string()))
    }

    /// Applies the body as a patch to settings and answers with what is now in force.
    pub(crate) fn control<T>(&self, settings: &mut T) -> Answer
    where
        T: DeserializeOwned + Serialize,
    {
        match patch_settings(settings, &self.body) {
            Ok(()) => Ok(json(200, settings)),
            Err(error) => Err(refuse(400, &error.to_string())),
        }
    }
}

/// Serves a stand-in until `down` is cancelled, which also ends the requests in progress.
///
/// The attempt's identifier is returned unchanged unless the answer carries another one.
pub(crate) async fn host<H, F>(listener: TcpListener, down: CancellationToken, handler: H)
where
    H: Fn(Call) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send,
{
    let limits = ServerLimits {
        drain: DRAIN,
        ..ServerLimits::default()
    };
    let ended = down.clone();
    serve(listener, limits, down, move |request, _peer| {
        let handler = handler.clone();
        let ended = ended.clone();
        async move {
            let attempt = request.headers().get(ATTEMPT_HEADER).cloned();
            let answer = async { handler(Call::read(request).await?).await };
            let mut reply = tokio::select! {
                () = ended.cancelled() => abort(),
                reply = answer => reply.unwrap_or_else(Reply::from),
            };
            if let Some(attempt) = attempt {
                reply.headers_mut().entry(ATTEMPT_HEADER).or_insert(attempt);
            }
            reply
        }
    })
    .await;
}

/// Returns the hash (xxh3, 64 bits) of a body in hexadecimal.
pub(crate) fn digest(body: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(body))
}
