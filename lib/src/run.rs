//! Runs a plain call: chooses an endpoint, dispatches, retries and passes the answer on.

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
use crate::ReplyBody;
use crate::Result;
use crate::Reuse;
use crate::SampleOutcome;
use crate::attempt;
use crate::attempt::AttemptError;
use crate::call::Call;
use crate::counters::Count;
use crate::crash;
use crate::full_body;
use crate::retry;
use crate::router;

/// Attempts at one call.
const MAX_ATTEMPTS: u32 = 3;

/// Runs a call and returns its answer.
///
/// # Errors
///
/// Fails with the kind that tells what is known of the call's effect.
pub(crate) async fn run(gate: &Arc<Gate>, call: Call) -> Result<Response<ReplyBody>> {
    gate.budget.earn(&call.service.name);
    let mut tried: Vec<EndpointName> = Vec::new();
    let mut last = Error::new(ErrorKind::NoEndpoint, "no endpoint takes new work");
    let mut failures = 0;
    loop {
        check_crashes(gate, &call)?;
        let Some(endpoint) = choose(gate, &call, &tried) else {
            return Err(last);
        };
        let attempt = attempt_once(gate, &call, &endpoint, failures);
        let answered = tokio::time::timeout_at(call.deadline, attempt).await;
        let failed = match answered.unwrap_or(Err(AttemptError::Silent)) {
            Ok((parts, bytes)) => return Ok(whole_reply(&parts, bytes)),
            Err(error) => error,
        };
        tracing::debug!(error = %failed, endpoint = %endpoint.name, "attempt failed");
        blame(gate, &call, &endpoint, &failed).await;
        last = failure(&call, &failed, last.outcome() != Outcome::NotRun);
        failures += 1;
        // A silent connection says nothing about its endpoint; a new one may work.
        if !matches!(failed, AttemptError::Stale) {
            tried.push(endpoint.name);
        }
        let may_retry = failed.is_unsent() || call.is_repeatable();
        // An endpoint that was not reached has done no work, so that another may be tried freely.
        let is_allowed = failed.is_unsent() || gate.budget.spend(&call.service.name);
        if !may_retry || failures >= MAX_ATTEMPTS || !is_allowed {
            check_crashes(gate, &call)?;
            return Err(last);
        }
        let pause = retry::backoff(failures);
        if Instant::now() + pause >= call.deadline {
            return Err(last);
        }
        tokio::time::sleep(pause).await;
        gate.counters.add(Count::Retries, 1);
    }
}

/// Refuses a call that has crashed too many endpoints.
pub(crate) fn check_crashes(gate: &Gate, call: &Call) -> Result<()> {
    let table = gate.table();
    gate.crashes
        .check(call.digest(), table.as_ref().map(|t| &t.live))
}

/// Chooses an endpoint that has not been tried or, when there is none, any again.
fn choose(gate: &Gate, call: &Call, tried: &[EndpointName]) -> Option<Endpoint> {
    let table = gate.table()?;
    let chosen = router::choose(gate, &table, call, None, tried);
    if chosen.is_some() || gate.crashes.is_suspect(call.digest()) {
        return chosen;
    }
    router::choose(gate, &table, call, None, &[])
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
    let limit = patience(gate, call, reuse);
    let answer = attempt::dispatch(&gate.http, endpoint, call, attempt, reuse, limit).await;
    let answer = match answer {
        Err(AttemptError::Silent) if reuse == Reuse::Idle => Err(AttemptError::Stale),
        other => other,
    }?;
    let first_byte = started.elapsed();
    let progress = limit.min(gate.settings.limits.progress);
    let answer = attempt::read_whole(&gate.http, answer, progress).await?;
    let outcome = if answer.0.status.is_server_error() {
        SampleOutcome::Failed
    } else {
        SampleOutcome::Ok
    };
    judge(gate, call, endpoint, outcome, first_byte);
    gate.learn(&endpoint.name, call, first_byte);
    Ok(answer)
}

/// Returns the time within which an endpoint must begin its answer.
///
/// An attempt that cannot be followed by another may take all the time that is left. One on an
/// idle connection, which may have gone silent, gets no more than a step of progress.
fn patience(gate: &Gate, call: &Call, reuse: Reuse) -> Duration {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let share = call.route.timeout / MAX_ATTEMPTS;
    if call.is_repeatable() && reuse == Reuse::Idle {
        left.min(gate.settings.limits.progress)
    } else if call.is_repeatable() {
        left.min(share.max(gate.settings.limits.progress))
    } else {
        left
    }
}

/// Returns the error for a failed attempt, which tells what is known of all attempts.
fn failure(call: &Call, failed: &AttemptError, may_have_run: bool) -> Error {
    let kind = match failed {
        AttemptError::Unsent(_) if !may_have_run => ErrorKind::NoEndpoint,
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

/// Records what a failed attempt says of the version and of the request.
pub(crate) async fn blame(gate: &Gate, call: &Call, endpoint: &Endpoint, error: &AttemptError) {
    match error {
        AttemptError::Stale | AttemptError::Unsent(_) => {}
        AttemptError::Status(_) => gate.limits.update(&endpoint.name, |limit| {
            limit.refused(Instant::now());
        }),
        AttemptError::Crossed => gate.counters.add(Count::Crossed, 1),
        AttemptError::MaybeSent(_) | AttemptError::Truncated(_) => {
            crash::observe(gate, call, endpoint).await;
        }
        AttemptError::Silent => {
            let limit = gate.settings.limits.progress;
            judge(gate, call, endpoint, SampleOutcome::Failed, limit);
        }
    }
}

/// Counts an attempt as evidence about the endpoint's version.
pub(crate) fn judge(
    gate: &Gate,
    call: &Call,
    endpoint: &Endpoint,
    outcome: SampleOutcome,
    first_byte: Duration,
) {
    if outcome == SampleOutcome::Failed && gate.leaving(endpoint).is_some() {
        return;
    }
    if outcome == SampleOutcome::Ok {
        gate.crashes.answers(&endpoint.name);
    }
    gate.evidence
        .record_call(call, &endpoint.version, outcome, first_byte);
}

/// Returns the answer to a caller that an endpoint's whole answer makes.
pub(crate) fn whole_reply(parts: &Parts, bytes: Bytes) -> Response<ReplyBody> {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = parts.status;
    copy_headers(&parts.headers, response.headers_mut());
    response
}

fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    const KEPT: [&str; 6] = [
        "cache-control",
        "content-type",
        "etag",
        "last-modified",
        "location",
        "retry-after",
    ];
    for name in KEPT {
        if let Some(value) = from.get(name) {
            to.insert(name, value.clone());
        }
    }
}
