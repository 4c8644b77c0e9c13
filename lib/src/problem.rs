//! Problem documents (RFC 9457) for callers.

use hyper::Response;
use hyper::header::HeaderValue;
use serde::Serialize;

use crate::Error;
use crate::Outcome;
use crate::ResponseBody;
use crate::full_body;

/// URN prefix of problem types; the name of the error kind follows it.
const TYPE_PREFIX: &str = "urn:hawthornrack:problem:";

/// Problem document of an error, with the extension members `outcome` and `retry_after`.
#[derive(Debug, Serialize)]
pub(crate) struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: String,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after: Option<u32>,
}

/// Returns the problem document for an error.
pub(crate) fn problem_document(error: &Error) -> Problem<'_> {
    Problem {
        kind: format!("{TYPE_PREFIX}{}", error.kind.name()),
        title: error.kind.to_string(),
        status: error.kind.mapping().status,
        detail: &error.detail,
        outcome: error.outcome(),
        retry_after: error.retry_after(),
    }
}

/// Returns the HTTP response for an error.
pub(crate) fn problem_response(error: &Error) -> Response<ResponseBody> {
    let mapping = error.kind.mapping();
    let document = problem_document(error);
    let body = serde_json::to_vec(&document).unwrap_or_default();
    let mut response = Response::new(full_body(body));
    *response.status_mut() = hyper::StatusCode::from_u16(mapping.status)
        .unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        "content-type",
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(secs) = error.retry_after() {
        headers.insert("retry-after", HeaderValue::from(secs));
    }
    response
}
