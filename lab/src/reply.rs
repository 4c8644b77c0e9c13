//! Helpers that the stand-ins' HTTP handlers share: answers, queries and settings.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use hawthornrack_lib::ATTEMPT_HEADER;
use hawthornrack_lib::BodyError;
use hawthornrack_lib::ReplyBody;
use hawthornrack_lib::ServerLimits;
use hawthornrack_lib::full_body;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;

/// Time for which a stopping stand-in waits for requests in progress.
const DRAIN: Duration = Duration::from_millis(200);

/// Answer of a stand-in.
pub(crate) type Reply = Response<ReplyBody>;

/// Returns the limits that every stand-in serves with.
pub(crate) fn limits() -> ServerLimits {
    ServerLimits {
        drain: DRAIN,
        ..ServerLimits::default()
    }
}

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
pub(crate) fn patch_settings<T>(settings: &mut T, patch: &[u8]) -> Result<(), SettingsError>
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

/// Applies the body of a control request to settings and answers with what is now in force.
pub(crate) fn control<T>(settings: &mut T, patch: &[u8]) -> Reply
where
    T: DeserializeOwned + Serialize,
{
    match patch_settings(settings, patch) {
        Ok(()) => json(200, settings),
        Err(error) => text(400, &error.to_string()),
    }
}

/// Reads a JSON body, or returns the answer that refuses it.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| refuse(400, &error.to_string()))
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
pub(crate) fn abort() -> Reply {
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

/// Returns the attempt's identifier unchanged, unless the answer already carries one.
pub(crate) fn return_attempt(reply: &mut Reply, attempt: &str) {
    if !attempt.is_empty() && !reply.headers().contains_key(ATTEMPT_HEADER) {
        set_header(reply, ATTEMPT_HEADER, attempt);
    }
}

/// Returns a request's header as text, empty when it is missing.
pub(crate) fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Reads a request's whole body, or returns the answer to a body that did not arrive.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Refusal> {
    let collected = body.collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| refuse(400, &error.to_string()))
}

/// Returns a number from a query string.
pub(crate) fn query(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let found = pairs
        .filter_map(|p| p.split_once('='))
        .find(|p| p.0 == name);
    found?.1.parse().ok()
}

/// Returns the hash (xxh3, 64 bits) of a body in hexadecimal.
pub(crate) fn digest(body: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(body))
}
