//! Deferred requests: accepted into the log, with results that callers fetch later.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use indexmap::IndexMap;
use jsonrpsee::http_client::HttpClient;
use xxhash_rust::xxh3::xxh3_128;

use crate::AcceptReply;
use crate::AppendRecordReply;
use crate::Body;
use crate::CustomerName;
use crate::DeferredChange;
use crate::DeferredRequest;
use crate::DeferredRpcClient;
use crate::Envelope;
use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::JobView;
use crate::RecordId;
use crate::RequestId;
use crate::ResponseBody;
use crate::Result;
use crate::StoredResponse;
use crate::at_most_once;
use crate::attempt::UNFORWARDED_HEADERS;
use crate::call::Call;
use crate::claim_client::ranked_controllers;
use crate::deferred_runner;
use crate::full_body;

/// Path prefix under which results are read.
pub(crate) const JOBS_PATH: &str = "/v1/jobs/";

/// Maximum size in bytes of a request body that is accepted into the log.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Maximum number of controllers tried for one operation.
const MAX_TRIED_CONTROLLERS: usize = 3;

/// Timeout for the acceptance of a request, over all controllers tried.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(1800);

/// Timeout for one controller to return the state of a request; longer than the controller's own
/// wait.
const JOB_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for one controller to append a record; longer than the controller's own timeout.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay in seconds after which a caller should poll for the result again.
const RETRY_AFTER_SECS: u32 = 1;

/// Returns whether the caller prefers a deferred response and the body is small enough to store.
pub(crate) fn wants_deferral(call: &Call) -> bool {
    let values = call.headers.get_all("prefer").iter();
    let mut preferences = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split([',', ';']));
    let prefers_async = preferences.any(|p| p.trim().eq_ignore_ascii_case("respond-async"));
    prefers_async && call.body.len() <= MAX_BODY_BYTES
}

/// Accepts a call into the log and returns the location of its result.
///
/// If acceptance into the log cannot be confirmed, a repeatable call runs directly and its response
/// is returned instead.
///
/// # Errors
///
/// Fails with [`ErrorKind::LogUnavailable`] when a call that may not be repeated was not
/// accepted, and with [`ErrorKind::OutcomeUnknown`] when it may have been.
pub(crate) async fn accept(gate: &Arc<Gate>, call: Call) -> Result<Response<ResponseBody>> {
    let request = deferred_request(&call)?;
    let id = request.id;
    let record = envelope(gate, DeferredChange::Accept { request });
    match request_acceptance(gate, id, &record).await {
        AcceptReply::Accepted => {
            gate.kernel.events.record(
                "deferred.accepted",
                &[("request", &id), ("customer", &call.customer)],
            );
            Ok(pending_response(id))
        }
        AcceptReply::KeyReused => Err(Error::new(
            ErrorKind::KeyReused,
            "the key was used with another method, path or body",
        )),
        acceptance if call.is_repeatable() => {
            let response = deferred_runner::run_call(gate, call).await?;
            if acceptance == AcceptReply::MaybeSent {
                queue_response(gate, id, &response);
            }
            at_most_once::into_response(response)
        }
        AcceptReply::NotSent => Err(Error::new(
            ErrorKind::LogUnavailable,
            "the request could not be written to the log",
        )),
        AcceptReply::MaybeSent => Err(Error::new(
            ErrorKind::OutcomeUnknown,
            format!("the request may have been accepted; ask at {JOBS_PATH}{id}"),
        )),
    }
}

/// Returns the result of a request that belongs to the customer.
///
/// # Errors
///
/// Fails with [`ErrorKind::NotFound`] if the customer has no such request, and with
/// [`ErrorKind::NotReady`] if no controller knows the state of the request.
pub(crate) async fn read(
    gate: &Gate,
    customer: &CustomerName,
    id: &str,
) -> Result<Response<ResponseBody>> {
    let not_found = || Error::new(ErrorKind::NotFound, "there is no such request");
    let id: RequestId = id.parse().map_err(|_err| not_found())?;
    match find_job(gate, id).await {
        JobView::Finished {
            customer: owner,
            reply: response,
        } if owner == *customer => at_most_once::into_response(response),
        JobView::Pending { customer: owner } if owner == *customer => Ok(pending_response(id)),
        JobView::Unknown => Err(Error::new(
            ErrorKind::NotReady,
            "no controller can tell about this request now",
        )),
        JobView::NotFound | JobView::Finished { .. } | JobView::Pending { .. } => Err(not_found()),
    }
}

/// Appends a record through a controller; returns whether it is known to be in the log.
pub(crate) async fn append(gate: &Gate, record: &Envelope) -> bool {
    for controller in ranked_controllers(gate, &record.id.to_string())
        .into_iter()
        .take(MAX_TRIED_CONTROLLERS)
    {
        let call =
            |client: HttpClient| async move { client.append_deferred_record(record.clone()).await };
        let reply = gate.rpc.call(controller, APPEND_TIMEOUT, call).await;
        if matches!(reply, Ok(AppendRecordReply::Appended)) {
            return true;
        }
    }
    false
}

/// Queues the response to a request for the log.
pub(crate) fn queue_response(gate: &Gate, id: RequestId, response: &StoredResponse) {
    let response = response.clone();
    let record = envelope(
        gate,
        DeferredChange::Finish {
            id,
            reply: response,
        },
    );
    gate.at_most_once.outbox.push(record);
}

fn envelope(gate: &Gate, change: DeferredChange) -> Envelope {
    Envelope {
        id: RecordId::random(),
        writer: gate.kernel.node.clone(),
        at: gate.kernel.clock.now(),
        body: Body::Deferred(change),
    }
}

/// Asks controllers in turn to accept a request.
///
/// Returns [`AcceptReply::MaybeSent`] if any of them may have sent the record to the log and none
/// has decided it.
async fn request_acceptance(gate: &Gate, id: RequestId, record: &Envelope) -> AcceptReply {
    let mut outcome = AcceptReply::NotSent;
    let deadline = tokio::time::Instant::now() + ACCEPT_TIMEOUT;
    for controller in ranked_controllers(gate, &id.to_string())
        .into_iter()
        .take(MAX_TRIED_CONTROLLERS)
    {
        let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
        if remaining.is_zero() {
            break;
        }
        let call = |client: HttpClient| async move { client.accept(record.clone()).await };
        match gate.rpc.call(controller, remaining, call).await {
            Ok(reply @ (AcceptReply::Accepted | AcceptReply::KeyReused)) => return reply,
            Ok(AcceptReply::NotSent) => {}
            Ok(AcceptReply::MaybeSent) | Err(_) => outcome = AcceptReply::MaybeSent,
        }
    }
    outcome
}

/// Asks controllers in turn until one knows whether the request exists.
async fn find_job(gate: &Gate, id: RequestId) -> JobView {
    let mut found = JobView::Unknown;
    for controller in ranked_controllers(gate, &id.to_string())
        .into_iter()
        .take(MAX_TRIED_CONTROLLERS)
    {
        let call = |client: HttpClient| async move { client.job(id).await };
        match gate.rpc.call(controller, JOB_TIMEOUT, call).await {
            Ok(JobView::NotFound) => return JobView::NotFound,
            Ok(JobView::Unknown) | Err(_) => {}
            Ok(view) => {
                found = view;
                break;
            }
        }
    }
    found
}

/// Builds the request that is stored in the log.
///
/// The ID of a call with an idempotency key is derived from the key, so that retries refer to the
/// same request.
fn deferred_request(call: &Call) -> Result<DeferredRequest> {
    let id = match call.idempotency_key()? {
        Some(key) => {
            let text = format!("{}/{}/{key}", call.customer, call.service.name);
            RequestId::from_u128(xxh3_128(text.as_bytes()))
        }
        None => call.id,
    };
    Ok(DeferredRequest {
        id,
        customer: call.customer.clone(),
        service: call.service.name.clone(),
        method: call.method.to_string(),
        path: call.path.clone(),
        headers: stored_headers(&call.headers),
        body: call.body.to_vec(),
    })
}

fn stored_headers(headers: &HeaderMap) -> IndexMap<String, String> {
    let kept = headers
        .iter()
        .filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str()) && *name != "prefer");
    kept.filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.to_string(), value.to_owned()))
    })
    .collect()
}

fn pending_response(id: RequestId) -> Response<ResponseBody> {
    let path = format!("{JOBS_PATH}{id}");
    let body = serde_json::json!({"id": id, "location": path});
    let mut response = Response::new(full_body(body.to_string()));
    *response.status_mut() = StatusCode::ACCEPTED;
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert(
        "preference-applied",
        HeaderValue::from_static("respond-async"),
    );
    headers.insert("retry-after", HeaderValue::from(RETRY_AFTER_SECS));
    if let Ok(path) = HeaderValue::from_str(&path) {
        headers.insert("location", path);
    }
    response
}
