//! Requests that are answered later: accepted into the log, read back by their address.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use indexmap::IndexMap;
use jsonrpsee::http_client::HttpClient;
use xxhash_rust::xxh3::xxh3_128;

use crate::AcceptAnswer;
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
use crate::PutAnswer;
use crate::RecordId;
use crate::ReplyBody;
use crate::RequestId;
use crate::Result;
use crate::StoredReply;
use crate::attempt::HOP_HEADERS;
use crate::call::Call;
use crate::claim_client::homes;
use crate::deferred_runner;
use crate::full_body;
use crate::once;

/// Path below which results are read.
pub(crate) const JOBS_PATH: &str = "/v1/jobs/";

/// Largest body of a request that is accepted into the log, in bytes.
const MAX_BODY: usize = 1024 * 1024;

/// Controllers asked about one request.
const HOMES_ASKED: usize = 3;

/// Time within which a controller must accept a request.
const ACCEPT_LIMIT: Duration = Duration::from_millis(1800);

/// Time within which a controller must answer about a request.
const ASK_LIMIT: Duration = Duration::from_secs(2);

/// Time within which a controller must take a record.
const PUT_LIMIT: Duration = Duration::from_secs(5);

/// Time after which a caller should ask again for a result, in seconds.
const RETRY_AFTER: u32 = 1;

/// Tells whether the caller prefers to be answered later, and the request can be kept.
pub(crate) fn is_wanted(call: &Call) -> bool {
    let values = call.headers.get_all("prefer").iter();
    let mut preferences = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split([',', ';']));
    let prefers = preferences.any(|p| p.trim().eq_ignore_ascii_case("respond-async"));
    prefers && call.body.len() <= MAX_BODY
}

/// Accepts a call into the log and tells where its result will be.
///
/// While the log is down nothing is promised: a repeatable call is answered directly.
///
/// # Errors
///
/// Fails with [`ErrorKind::LogUnavailable`] when a call that may not be repeated was not
/// accepted, and with [`ErrorKind::OutcomeUnknown`] when it may have been.
pub(crate) async fn accept(gate: &Arc<Gate>, call: Call) -> Result<Response<ReplyBody>> {
    let request = request_of(&call)?;
    let id = request.id;
    let record = envelope(gate, DeferredChange::Accept { request });
    match ask_accept(gate, id, &record).await {
        AcceptAnswer::Accepted => {
            gate.kernel.events.record(
                "deferred.accepted",
                &[("request", &id), ("customer", &call.customer)],
            );
            Ok(pending_answer(id))
        }
        AcceptAnswer::KeyReused => Err(Error::new(
            ErrorKind::KeyReused,
            "the key was used with another method, path or body",
        )),
        answer if call.is_repeatable() => {
            let reply = deferred_runner::run_call(gate, call).await?;
            if answer == AcceptAnswer::MaybeSent {
                push_finish(gate, id, &reply);
            }
            once::respond(reply)
        }
        AcceptAnswer::NotSent => Err(Error::new(
            ErrorKind::LogUnavailable,
            "the request could not be written to the log",
        )),
        AcceptAnswer::MaybeSent => Err(Error::new(
            ErrorKind::OutcomeUnknown,
            format!("the request may have been accepted; ask at {JOBS_PATH}{id}"),
        )),
    }
}

/// Answers with the result of a request, if it is the customer's own.
///
/// # Errors
///
/// Fails with [`ErrorKind::NotFound`] when the customer has no such request, and with
/// [`ErrorKind::NotReady`] when no controller can tell.
pub(crate) async fn read(
    gate: &Gate,
    customer: &CustomerName,
    id: &str,
) -> Result<Response<ReplyBody>> {
    let not_found = || Error::new(ErrorKind::NotFound, "there is no such request");
    let id: RequestId = id.parse().map_err(|_err| not_found())?;
    match find(gate, id).await {
        JobView::Finished {
            customer: owner,
            reply,
        } if owner == *customer => once::respond(reply),
        JobView::Pending { customer: owner } if owner == *customer => Ok(pending_answer(id)),
        JobView::Missing => Err(Error::new(
            ErrorKind::NotReady,
            "no controller can tell about this request now",
        )),
        JobView::Absent | JobView::Finished { .. } | JobView::Pending { .. } => Err(not_found()),
    }
}

/// Has a record appended; tells whether it is in the log.
pub(crate) async fn put(gate: &Gate, record: &Envelope) -> bool {
    for home in homes(gate, &record.id.to_string())
        .into_iter()
        .take(HOMES_ASKED)
    {
        let call = |client: HttpClient| async move { client.put_deferred(record.clone()).await };
        let answer = gate.rpc.call(home, PUT_LIMIT, call).await;
        if matches!(answer, Ok(PutAnswer::Appended)) {
            return true;
        }
    }
    false
}

/// Queues the answer of a request for the log.
pub(crate) fn push_finish(gate: &Gate, id: RequestId, reply: &StoredReply) {
    let reply = reply.clone();
    let record = envelope(gate, DeferredChange::Finish { id, reply });
    gate.once.outbox.push(record);
}

fn envelope(gate: &Gate, change: DeferredChange) -> Envelope {
    Envelope {
        id: RecordId::random(),
        writer: gate.kernel.node.clone(),
        at: gate.kernel.clock.now(),
        body: Body::Deferred(change),
    }
}

/// Asks controllers in turn; that one of them may have sent the record is not forgotten.
async fn ask_accept(gate: &Gate, id: RequestId, record: &Envelope) -> AcceptAnswer {
    let mut worst = AcceptAnswer::NotSent;
    let until = tokio::time::Instant::now() + ACCEPT_LIMIT;
    for home in homes(gate, &id.to_string()).into_iter().take(HOMES_ASKED) {
        let left = until.saturating_duration_since(tokio::time::Instant::now());
        if left.is_zero() {
            break;
        }
        let call = |client: HttpClient| async move { client.accept(record.clone()).await };
        match gate.rpc.call(home, left, call).await {
            Ok(answer @ (AcceptAnswer::Accepted | AcceptAnswer::KeyReused)) => return answer,
            Ok(AcceptAnswer::NotSent) => {}
            Ok(AcceptAnswer::MaybeSent) | Err(_) => worst = AcceptAnswer::MaybeSent,
        }
    }
    worst
}

/// Asks controllers in turn until one knows the request.
async fn find(gate: &Gate, id: RequestId) -> JobView {
    let mut found = JobView::Missing;
    for home in homes(gate, &id.to_string()).into_iter().take(HOMES_ASKED) {
        let call = |client: HttpClient| async move { client.job(id).await };
        match gate.rpc.call(home, ASK_LIMIT, call).await {
            Ok(JobView::Absent) => return JobView::Absent,
            Ok(JobView::Missing) | Err(_) => {}
            Ok(view) => {
                found = view;
                break;
            }
        }
    }
    found
}

/// Returns the request that the log keeps.
///
/// A call with an idempotency key has its identity from the key, so that resends meet.
fn request_of(call: &Call) -> Result<DeferredRequest> {
    let id = match call.key()? {
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
        headers: kept_headers(&call.headers),
        body: call.body.to_vec(),
    })
}

fn kept_headers(headers: &HeaderMap) -> IndexMap<String, String> {
    let kept = headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()) && *name != "prefer");
    kept.filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.to_string(), value.to_owned()))
    })
    .collect()
}

fn pending_answer(id: RequestId) -> Response<ReplyBody> {
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
    headers.insert("retry-after", HeaderValue::from(RETRY_AFTER));
    if let Ok(path) = HeaderValue::from_str(&path) {
        headers.insert("location", path);
    }
    response
}
