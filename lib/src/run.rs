//! Runs a caller's request: chooses an endpoint, dispatches, retries and passes the answer on.

use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;

use crate::AttemptId;
use crate::BodyError;
use crate::EndpointName;
use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::ReplyBody;
use crate::Result;
use crate::Reuse;
use crate::attempt;
use crate::attempt::Answer;
use crate::attempt::AttemptError;
use crate::call::Call;
use crate::full_body;
use crate::in_flight::InFlightGuard;
use crate::router;

/// Attempts at one request.
const MAX_ATTEMPTS: usize = 3;

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Runs a call and returns its answer.
///
/// # Errors
///
/// Fails with the kind that tells what is known of the call's effect.
pub(crate) async fn run(gate: &Arc<Gate>, call: Call) -> Result<Response<ReplyBody>> {
    let mut tried: Vec<EndpointName> = Vec::new();
    let mut last = Error::new(ErrorKind::NoEndpoint, "no endpoint takes new work");
    let point = router::random_point();
    while tried.len() < MAX_ATTEMPTS {
        let Some(endpoint) = choose(gate, &call, point, &tried) else {
            break;
        };
        let guard = gate.in_flight.enter(&endpoint.name);
        let attempt = AttemptId::random();
        let reuse = if tried.is_empty() {
            Reuse::Idle
        } else {
            Reuse::Never
        };
        gate.kernel.events.record(
            "request.dispatched",
            &[
                ("request", &call.id),
                ("attempt", &attempt),
                ("endpoint", &endpoint.name),
                ("version", &endpoint.version),
            ],
        );
        let progress = gate.settings.limits.progress;
        let sent = attempt::dispatch(&gate.http, &endpoint, &call, attempt, reuse, progress).await;
        let failed = match sent {
            Ok(answer) => match pass_on(gate, answer, guard).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            },
            Err(error) => error,
        };
        tracing::debug!(error = %failed, endpoint = %endpoint.name, "attempt failed");
        if !failed.is_unsent() && !call.is_repeatable() {
            return Err(Error::new(ErrorKind::OutcomeUnknown, failed.to_string()));
        }
        last = Error::new(ErrorKind::EndpointFailed, failed.to_string());
        tried.push(endpoint.name);
    }
    Err(last)
}

fn choose(gate: &Gate, call: &Call, point: u32, tried: &[EndpointName]) -> Option<crate::Endpoint> {
    let table = gate.table()?;
    let version = router::choose_version(&call.service, point)?;
    let usable = router::usable(&table, &call.service, version, tried);
    router::two_choices(&usable, &gate.in_flight).cloned()
}

/// Passes an endpoint's answer on: event streams as they come, other answers once whole.
async fn pass_on(
    gate: &Arc<Gate>,
    answer: Answer,
    guard: InFlightGuard,
) -> Result<Response<ReplyBody>, AttemptError> {
    let is_stream = answer
        .response
        .headers()
        .get("content-type")
        .is_some_and(|v| v.as_bytes().starts_with(EVENT_STREAM.as_bytes()));
    if is_stream {
        return Ok(stream_on(answer, guard));
    }
    let progress = gate.settings.limits.progress;
    let (parts, bytes) = attempt::read_whole(&gate.http, answer, progress).await?;
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = parts.status;
    copy_headers(&parts.headers, response.headers_mut());
    Ok(response)
}

fn stream_on(answer: Answer, guard: InFlightGuard) -> Response<ReplyBody> {
    let (parts, body) = answer.response.into_parts();
    let lent = (answer.lent, guard);
    let frames = stream::unfold((body, lent), |(mut body, lent)| async move {
        let frame = body.frame().await?;
        let frame = frame.map_err(BodyError::from);
        Some((frame, (body, lent)))
    })
    .filter_map(|frame| async move {
        match frame {
            Ok(frame) => frame.into_data().ok().map(|data| Ok(Frame::data(data))),
            Err(error) => Some(Err(error)),
        }
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    *response.status_mut() = parts.status;
    copy_headers(&parts.headers, response.headers_mut());
    response
}

fn copy_headers(from: &hyper::HeaderMap, to: &mut hyper::HeaderMap) {
    const KEPT: [&str; 3] = ["content-type", "cache-control", "retry-after"];
    for name in KEPT {
        if let Some(value) = from.get(name) {
            to.insert(name, value.clone());
        }
    }
}
