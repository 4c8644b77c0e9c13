//! Runs calls to plain services: chooses endpoints, sends attempts and retries failed ones.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::http::response::Parts;
use tokio::time::Instant;

use crate::AttemptId;
use crate::Endpoint;
use crate::EndpointName;
use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::Outcome;
use crate::ResponseBody;
use crate::Result;
use crate::Reuse;
use crate::SampleOutcome;
use crate::attempt;
use crate::attempt::AttemptError;
use crate::call::Call;
use crate::counters::GateCounter;
use crate::crash;
use crate::full_body;
use crate::retry;
use crate::router;

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 3;

/// Runs a call and returns the endpoint's response.
///
/// # Errors
///
/// Fails with an error whose kind tells whether an endpoint may have run the call.
pub(crate) async fn run(gate: &Arc<Gate>, call: Call) -> Result<Response<ResponseBody>> {
    gate.budget.deposit(&call.service.name);
    let mut tried: Vec<EndpointName> = Vec::new();
    let mut last_error = Error::new(ErrorKind::NoEndpoint, "no endpoint takes new work");
    let mut failures = 0;
    loop {
        check_crashes(gate, &call)?;
        let Some(endpoint) = select_untried_endpoint(gate, &call, &tried) else {
            return Err(last_error);
        };
        let attempt = attempt_once(gate, &call, &endpoint, failures);
        let result = tokio::time::timeout_at(call.deadline, attempt).await;
        let error = match result.unwrap_or(Err(AttemptError::TimedOut)) {
            Ok((parts, bytes)) => return Ok(buffered_response(&parts, bytes)),
            Err(error) => error,
        };
        tracing::debug!(error = %error, endpoint = %endpoint.name, "attempt of a call failed");
        record_failure(gate, &call, &endpoint, &error).await;
        last_error = call_error(&call, &error, last_error.outcome() != Outcome::NotRun);
        failures += 1;
        // A stale connection says nothing about the endpoint, which may be tried on a new one.
        if !matches!(error, AttemptError::StaleConnection) {
            tried.push(endpoint.name);
        }
        let may_retry = error.is_unsent() || call.is_repeatable();
        // An unsent request has caused no work on an endpoint, so its retry is not budgeted.
        let has_budget = error.is_unsent() || gate.budget.withdraw(&call.service.name);
        if !may_retry || failures >= MAX_ATTEMPTS || !has_budget {
            check_crashes(gate, &call)?;
            return Err(last_error);
        }
        let backoff = retry::backoff(failures);
        if Instant::now() + backoff >= call.deadline {
            return Err(last_error);
        }
        tokio::time::sleep(backoff).await;
        gate.counters.add(GateCounter::Retries, 1);
    }
}

/// Returns an error if the same call has crashed too many endpoints.
pub(crate) fn check_crashes(gate: &Gate, call: &Call) -> Result<()> {
    let table = gate.table();
    gate.crashes
        .check(call.digest(), table.as_ref().map(|t| &t.live))
}

/// Selects an endpoint that has not been tried.
///
/// If none is left, selects a tried one again, unless the call is suspected of crashing endpoints.
fn select_untried_endpoint(gate: &Gate, call: &Call, tried: &[EndpointName]) -> Option<Endpoint> {
    let table = gate.table()?;
    let chosen = router::select_endpoint(gate, &table, call, None, tried);
    if chosen.is_some() || gate.crashes.is_suspect_request(call.digest()) {
        return chosen;
    }
    router::select_endpoint(gate, &table, call, None, &[])
}

async fn attempt_once(
    gate: &Gate,
    call: &Call,
    endpoint: &Endpoint,
    failures: u32,
) -> Result<(Parts, Bytes), AttemptError> {
    let _guard = gate.in_flight.enter(&endpoint.name);
    let attempt = AttemptId::random();
    let reuse = if failures == 0 && gate.http.has_idle(endpoint.address) {
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
    let started = Instant::now();
    let timeout = response_timeout(gate, call, reuse);
    let response = attempt::dispatch(&gate.http, endpoint, call, attempt, reuse, timeout).await;
    let response = match response {
        Err(AttemptError::TimedOut) if reuse == Reuse::Idle => Err(AttemptError::StaleConnection),
        other => other,
    }?;
    let first_byte = started.elapsed();
    let idle_timeout = timeout.min(gate.settings.limits.progress);
    let response = attempt::read_to_end(&gate.http, response, idle_timeout).await?;
    let outcome = if response.0.status.is_server_error() {
        SampleOutcome::Failed
    } else {
        SampleOutcome::Ok
    };
    record_sample(gate, call, endpoint, outcome, first_byte);
    gate.record_first_byte(&endpoint.name, call, first_byte);
    Ok(response)
}

/// Returns the time within which an endpoint must send the head of its response.
///
/// An attempt that cannot be retried may use all the time until the deadline. A repeatable one is
/// limited to the progress timeout on a reused connection, which may be dead, and otherwise to the
/// route's timeout divided by [`MAX_ATTEMPTS`], but at least the progress timeout.
fn response_timeout(gate: &Gate, call: &Call, reuse: Reuse) -> Duration {
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    let per_attempt = call.route.timeout / MAX_ATTEMPTS;
    if call.is_repeatable() && reuse == Reuse::Idle {
        remaining.min(gate.settings.limits.progress)
    } else if call.is_repeatable() {
        remaining.min(per_attempt.max(gate.settings.limits.progress))
    } else {
        remaining
    }
}

/// Returns the error of a call whose latest attempt failed.
///
/// `may_have_run` tells whether an earlier attempt may have run the call.
fn call_error(call: &Call, failed: &AttemptError, may_have_run: bool) -> Error {
    let kind = match failed {
        AttemptError::NotSent(_) if !may_have_run => ErrorKind::NoEndpoint,
        _ if Instant::now() >= call.deadline => ErrorKind::DeadlineExceeded,
        _ if !call.is_repeatable() => ErrorKind::OutcomeUnknown,
        _ => ErrorKind::EndpointFailed,
    };
    let error = Error::new(kind, failed.to_string());
    match kind {
        ErrorKind::EndpointFailed => error.with_outcome(Outcome::Unknown),
        _ => error,
    }
}

/// Records a failed attempt as evidence about the endpoint, its version or the request.
pub(crate) async fn record_failure(
    gate: &Gate,
    call: &Call,
    endpoint: &Endpoint,
    error: &AttemptError,
) {
    match error {
        AttemptError::StaleConnection | AttemptError::NotSent(_) => {}
        AttemptError::Status(_) => gate.limits.update(&endpoint.name, |limit| {
            limit.record_rejection(Instant::now());
        }),
        AttemptError::Mismatched => gate.counters.add(GateCounter::Mismatched, 1),
        AttemptError::MaybeSent(_) | AttemptError::InvalidBody(_) => {
            crash::record_if_down(gate, call, endpoint).await;
        }
        AttemptError::TimedOut => {
            let progress = gate.settings.limits.progress;
            record_sample(gate, call, endpoint, SampleOutcome::Failed, progress);
        }
    }
}

/// Records an attempt as evidence about the endpoint's version.
///
/// Failures of an endpoint whose VM is being reclaimed are not counted.
pub(crate) fn record_sample(
    gate: &Gate,
    call: &Call,
    endpoint: &Endpoint,
    outcome: SampleOutcome,
    first_byte: Duration,
) {
    if outcome == SampleOutcome::Failed && gate.reclaim_deadline(endpoint).is_some() {
        return;
    }
    if outcome == SampleOutcome::Ok {
        gate.crashes.mark_up(&endpoint.name);
    }
    gate.evidence
        .record_call(call, &endpoint.version, outcome, first_byte);
}

/// Builds the response to the caller from a response that was read to its end.
pub(crate) fn buffered_response(parts: &Parts, bytes: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = parts.status;
    copy_headers(&parts.headers, response.headers_mut());
    response
}

fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    const FORWARDED_HEADERS: [&str; 6] = [
        "cache-control",
        "content-type",
        "etag",
        "last-modified",
        "location",
        "retry-after",
    ];
    for name in FORWARDED_HEADERS {
        if let Some(value) = from.get(name) {
            to.insert(name, value.clone());
        }
    }
}
