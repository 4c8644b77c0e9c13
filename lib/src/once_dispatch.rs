//! Sends a call that may not be repeated to an endpoint, once.

use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use tokio::time::Instant;

use crate::ATTEMPT_HEADER;
use crate::AttemptId;
use crate::Endpoint;
use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::IDEMPOTENCY_HEADER;
use crate::KeySupport;
use crate::Outcome;
use crate::Reuse;
use crate::SampleOutcome;
use crate::StoredReply;
use crate::attempt;
use crate::attempt::Answer;
use crate::attempt::AttemptError;
use crate::call::Call;
use crate::router;
use crate::run;
use crate::token_hash;

/// Endpoints tried while none can have seen the call.
const MAX_ENDPOINTS: usize = 3;

/// Time after the deadline for which an answer is still awaited, so that resends get it.
const RESULT_GRACE: Duration = Duration::from_secs(30);

/// Times that an endpoint is asked again about a call whose answer was lost.
const RECOVER_TRIES: usize = 3;

/// Time within which an endpoint must answer when it is asked again.
const RECOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before an endpoint is asked again.
const RECOVER_PAUSE: Duration = Duration::from_millis(200);

/// Headers of an endpoint's answer that callers get.
const KEPT_HEADERS: [&str; 5] = [
    "cache-control",
    "content-type",
    "etag",
    "location",
    "retry-after",
];

/// What came of a dispatch.
#[derive(Debug)]
pub(crate) enum Dispatched {
    /// The endpoint's answer.
    Answered(StoredReply),
    /// No endpoint can have seen the call.
    Unsent(Error),
    /// An endpoint may have run the call, and its answer is lost.
    Lost(String),
}

/// Sends a call to an endpoint; to another only while none can have seen it.
///
/// An endpoint that honours keys is asked again after its answer was lost; one that can look
/// keys up is asked for the answer.
pub(crate) async fn dispatch_once(gate: &Gate, call: &Call, attempt: AttemptId) -> Dispatched {
    let mut tried = Vec::new();
    let mut detail = String::from("no endpoint takes new work");
    if let Err(error) = run::check_crashes(gate, call) {
        return Dispatched::Unsent(error.with_outcome(Outcome::NotRun));
    }
    while tried.len() < MAX_ENDPOINTS {
        if Instant::now() >= call.deadline {
            let detail = "the deadline passed before the call was sent";
            return Dispatched::Unsent(Error::new(ErrorKind::DeadlinePassed, detail));
        }
        let Some(endpoint) = choose(gate, call, &tried) else {
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
        let until = call.deadline + RESULT_GRACE;
        match send_judged(gate, &endpoint, call, attempt, until).await {
            Ok(reply) => return Dispatched::Answered(reply),
            Err(error) if error.is_unsent() => {
                detail = error.to_string();
                tried.push(endpoint.name);
            }
            Err(error) => return recover(gate, &endpoint, call, error).await,
        }
    }
    Dispatched::Unsent(Error::new(ErrorKind::NoEndpoint, detail))
}

fn choose(gate: &Gate, call: &Call, tried: &[crate::EndpointName]) -> Option<Endpoint> {
    let table = gate.table()?;
    router::choose(gate, &table, call, None, tried)
}

/// Sends one attempt and counts it as evidence about the endpoint's version.
///
/// An attempt that is still silent at the call's deadline counts at once, though its answer is
/// awaited longer.
async fn send_judged(
    gate: &Gate,
    endpoint: &Endpoint,
    call: &Call,
    attempt: AttemptId,
    until: Instant,
) -> Result<StoredReply, AttemptError> {
    let started = Instant::now();
    let mut sent = Box::pin(send(gate, endpoint, call, attempt, until));
    let in_time = tokio::time::timeout_at(call.deadline, &mut sent).await;
    let Ok(result) = in_time else {
        run::judge(
            gate,
            call,
            endpoint,
            SampleOutcome::Failed,
            started.elapsed(),
        );
        return sent.await;
    };
    match &result {
        Ok(reply) if reply.status >= StatusCode::INTERNAL_SERVER_ERROR.as_u16() => {
            run::judge(
                gate,
                call,
                endpoint,
                SampleOutcome::Failed,
                started.elapsed(),
            );
        }
        Ok(_) => run::judge(gate, call, endpoint, SampleOutcome::Ok, started.elapsed()),
        Err(error) => run::blame(gate, call, endpoint, error).await,
    }
    result
}

/// Sends one attempt on a new connection, since an idle one may be silently cut.
async fn send(
    gate: &Gate,
    endpoint: &Endpoint,
    call: &Call,
    attempt: AttemptId,
    until: Instant,
) -> Result<StoredReply, AttemptError> {
    let limit = until.saturating_duration_since(Instant::now());
    let answer =
        attempt::dispatch(&gate.http, endpoint, call, attempt, Reuse::Never, limit).await?;
    let limit = until.saturating_duration_since(Instant::now());
    let (parts, body) = attempt::read_whole(&gate.http, answer, limit).await?;
    Ok(stored(&parts, &body))
}

/// Asks the endpoint that may have run a call for its answer.
async fn recover(gate: &Gate, endpoint: &Endpoint, call: &Call, lost: AttemptError) -> Dispatched {
    let has_key = call.headers.contains_key(IDEMPOTENCY_HEADER);
    let support = if has_key {
        call.service.keys
    } else {
        KeySupport::Ignored
    };
    for _ in 0..RECOVER_TRIES {
        let answer = match support {
            KeySupport::Ignored => break,
            KeySupport::Honoured => {
                let until = Instant::now() + RECOVER_TIMEOUT;
                match send(gate, endpoint, call, AttemptId::random(), until).await {
                    Err(error) if error.is_unsent() => break,
                    result => result.ok(),
                }
            }
            KeySupport::Lookup => look_up(gate, endpoint, call).await,
        };
        if let Some(reply) = answer {
            return Dispatched::Answered(reply);
        }
        tokio::time::sleep(RECOVER_PAUSE).await;
    }
    Dispatched::Lost(lost.to_string())
}

/// Asks an endpoint for the answer that it stored under the call's key.
///
/// That it has none does not tell that the call will not run there.
pub(crate) async fn look_up(gate: &Gate, endpoint: &Endpoint, call: &Call) -> Option<StoredReply> {
    let key = call.headers.get(IDEMPOTENCY_HEADER)?.to_str().ok()?;
    let path = format!("/keys/{key}");
    let mut request =
        crate::json_request(endpoint.address, Method::GET, &path, None::<&()>).ok()?;
    let attempt = HeaderValue::from_str(&AttemptId::random().to_string()).ok()?;
    request.headers_mut().insert(ATTEMPT_HEADER, attempt);
    let sent = gate.http.send(endpoint.address, request, Reuse::Never);
    let (response, lent) = tokio::time::timeout(RECOVER_TIMEOUT, sent)
        .await
        .ok()?
        .ok()?;
    let status = response.status();
    if status.is_server_error() || status == StatusCode::NOT_FOUND {
        return None;
    }
    let answer = Answer { response, lent };
    let whole = attempt::read_whole(&gate.http, answer, RECOVER_TIMEOUT).await;
    let (parts, body) = whole.ok()?;
    Some(stored(&parts, &body))
}

fn stored(parts: &Parts, body: &[u8]) -> StoredReply {
    let headers = KEPT_HEADERS.into_iter().filter_map(|name| {
        let value = parts.headers.get(name)?.to_str().ok()?;
        Some((name.to_owned(), value.to_owned()))
    });
    StoredReply {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        body: body.to_vec(),
        omitted: None,
    }
}

/// Returns the key that endpoints get: the caller's, kept apart from other customers' keys.
///
/// It holds only characters that stand for themselves in a path.
pub(crate) fn endpoint_key(call: &Call, key: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '~');
    if key.chars().all(is_plain) {
        return format!("{}:{key}", call.customer);
    }
    format!("{}::{}", call.customer, token_hash(key))
}
