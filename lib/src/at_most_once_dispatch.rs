//! Dispatch of at-most-once calls to endpoints.

use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use tokio::time::Instant;

use crate::ATTEMPT_ID_HEADER;
use crate::AttemptId;
use crate::Endpoint;
use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::IDEMPOTENCY_KEY_HEADER;
use crate::KeySupport;
use crate::Outcome;
use crate::Reuse;
use crate::SampleOutcome;
use crate::StoredResponse;
use crate::attempt;
use crate::attempt::AttemptError;
use crate::attempt::EndpointResponse;
use crate::call::Call;
use crate::router;
use crate::run;
use crate::token_hash;

/// Maximum number of endpoints tried while none can have received the call.
const MAX_TRIED_ENDPOINTS: usize = 3;

/// Time after the deadline for which a response is still awaited, so that retries can get it.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of attempts to recover a lost response from the endpoint.
const MAX_RECOVERY_ATTEMPTS: usize = 3;

/// Timeout for one attempt to recover a lost response.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay between two attempts to recover a lost response.
const RECOVERY_DELAY: Duration = Duration::from_millis(200);

/// Response headers of an endpoint that are stored and passed on to callers.
const STORED_HEADERS: [&str; 5] = [
    "cache-control",
    "content-type",
    "etag",
    "location",
    "retry-after",
];

/// Result of a dispatch.
#[derive(Debug)]
pub(crate) enum DispatchOutcome {
    /// The endpoint responded.
    Responded(StoredResponse),
    /// No endpoint can have received the call.
    Unsent(Error),
    /// An endpoint may have run the call, and its response is lost.
    Lost(String),
}

/// Sends a call to an endpoint, and to another one only while none can have received it.
///
/// After a lost response, the call is sent again to an endpoint that honours idempotency keys, and
/// an endpoint that supports lookup by key is asked for the stored response.
pub(crate) async fn dispatch_at_most_once(
    gate: &Gate,
    call: &Call,
    attempt: AttemptId,
) -> DispatchOutcome {
    let mut tried = Vec::new();
    let mut detail = String::from("no endpoint takes new work");
    if let Err(error) = run::check_crashes(gate, call) {
        return DispatchOutcome::Unsent(error.with_outcome(Outcome::NotRun));
    }
    while tried.len() < MAX_TRIED_ENDPOINTS {
        if Instant::now() >= call.deadline {
            let detail = "the deadline passed before the call was sent";
            return DispatchOutcome::Unsent(Error::new(ErrorKind::DeadlinePassed, detail));
        }
        let Some(endpoint) = choose_endpoint(gate, call, &tried) else {
            break;
        };
        let _guard = gate.in_flight.enter(&endpoint.name);
        gate.kernel.events.record(
            "request.dispatched",
            &[
                ("request", &call.id),
                ("attempt", &attempt),
                ("endpoint", &endpoint.name),
                ("version", &endpoint.version),
            ],
        );
        let give_up_at = call.deadline + LATE_RESPONSE_TIMEOUT;
        match send_and_record(gate, &endpoint, call, attempt, give_up_at).await {
            Ok(response) => return DispatchOutcome::Responded(response),
            Err(error) if error.is_unsent() => {
                detail = error.to_string();
                tried.push(endpoint.name);
            }
            Err(error) => return recover(gate, &endpoint, call, error).await,
        }
    }
    DispatchOutcome::Unsent(Error::new(ErrorKind::NoEndpoint, detail))
}

fn choose_endpoint(gate: &Gate, call: &Call, tried: &[crate::EndpointName]) -> Option<Endpoint> {
    let table = gate.table()?;
    router::select_endpoint(gate, &table, call, None, tried)
}

/// Sends one attempt and counts its result as evidence about the endpoint's version.
///
/// An attempt without a response at the call's deadline counts as failed immediately, although its
/// response is awaited until `give_up_at`.
async fn send_and_record(
    gate: &Gate,
    endpoint: &Endpoint,
    call: &Call,
    attempt: AttemptId,
    give_up_at: Instant,
) -> Result<StoredResponse, AttemptError> {
    let started = Instant::now();
    let mut sent = Box::pin(send(gate, endpoint, call, attempt, give_up_at));
    let in_time = tokio::time::timeout_at(call.deadline, &mut sent).await;
    let Ok(result) = in_time else {
        run::record_sample(
            gate,
            call,
            endpoint,
            SampleOutcome::Failed,
            started.elapsed(),
        );
        return sent.await;
    };
    match &result {
        Ok(response) if response.status >= StatusCode::INTERNAL_SERVER_ERROR.as_u16() => {
            run::record_sample(
                gate,
                call,
                endpoint,
                SampleOutcome::Failed,
                started.elapsed(),
            );
        }
        Ok(_) => run::record_sample(gate, call, endpoint, SampleOutcome::Ok, started.elapsed()),
        Err(error) => run::record_failure(gate, call, endpoint, error).await,
    }
    result
}

/// Sends one attempt on a new connection, since an idle connection may have been dropped silently.
async fn send(
    gate: &Gate,
    endpoint: &Endpoint,
    call: &Call,
    attempt: AttemptId,
    give_up_at: Instant,
) -> Result<StoredResponse, AttemptError> {
    let limit = give_up_at.saturating_duration_since(Instant::now());
    let response =
        attempt::dispatch(&gate.http, endpoint, call, attempt, Reuse::Never, limit).await?;
    let limit = give_up_at.saturating_duration_since(Instant::now());
    let (parts, body) = attempt::read_to_end(&gate.http, response, limit).await?;
    Ok(stored_response(&parts, &body))
}

/// Recovers the response from an endpoint that may have run the call.
async fn recover(
    gate: &Gate,
    endpoint: &Endpoint,
    call: &Call,
    lost: AttemptError,
) -> DispatchOutcome {
    let has_key = call.headers.contains_key(IDEMPOTENCY_KEY_HEADER);
    let support = if has_key {
        call.service.keys
    } else {
        KeySupport::Ignored
    };
    for _ in 0..MAX_RECOVERY_ATTEMPTS {
        let response = match support {
            KeySupport::Ignored => break,
            KeySupport::Honoured => {
                let give_up_at = Instant::now() + RECOVERY_TIMEOUT;
                match send(gate, endpoint, call, AttemptId::random(), give_up_at).await {
                    Err(error) if error.is_unsent() => break,
                    result => result.ok(),
                }
            }
            KeySupport::Lookup => look_up(gate, endpoint, call).await,
        };
        if let Some(response) = response {
            return DispatchOutcome::Responded(response);
        }
        tokio::time::sleep(RECOVERY_DELAY).await;
    }
    DispatchOutcome::Lost(lost.to_string())
}

/// Looks up the response that an endpoint has stored under the call's key.
///
/// `None` does not rule out that the endpoint will still run the call.
pub(crate) async fn look_up(
    gate: &Gate,
    endpoint: &Endpoint,
    call: &Call,
) -> Option<StoredResponse> {
    let key = call.headers.get(IDEMPOTENCY_KEY_HEADER)?.to_str().ok()?;
    let path = format!("/keys/{key}");
    let mut request =
        crate::json_request(endpoint.address, Method::GET, &path, None::<&()>).ok()?;
    let attempt = HeaderValue::from_str(&AttemptId::random().to_string()).ok()?;
    request.headers_mut().insert(ATTEMPT_ID_HEADER, attempt);
    let sent = gate.http.send(endpoint.address, request, Reuse::Never);
    let (response, pooled) = tokio::time::timeout(RECOVERY_TIMEOUT, sent)
        .await
        .ok()?
        .ok()?;
    let status = response.status();
    if status.is_server_error() || status == StatusCode::NOT_FOUND {
        return None;
    }
    let response = EndpointResponse {
        inner: response,
        connection: pooled,
    };
    let response = attempt::read_to_end(&gate.http, response, RECOVERY_TIMEOUT).await;
    let (parts, body) = response.ok()?;
    Some(stored_response(&parts, &body))
}

fn stored_response(parts: &Parts, body: &[u8]) -> StoredResponse {
    let headers = STORED_HEADERS.into_iter().filter_map(|name| {
        let value = parts.headers.get(name)?.to_str().ok()?;
        Some((name.to_owned(), value.to_owned()))
    });
    StoredResponse {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body: body.to_vec(),
        omitted: None,
    }
}

/// Returns the idempotency key sent to endpoints: the caller's key, prefixed with the customer so
/// that keys of different customers do not collide.
///
/// It contains only characters that need no escaping in a path; other keys are hashed.
pub(crate) fn endpoint_key(call: &Call, key: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '~');
    if key.chars().all(is_plain) {
        return format!("{}:{key}", call.customer);
    }
    format!("{}::{}", call.customer, token_hash(key))
}
