//! At-most-once calls: runs calls that may not be repeated, with at most one dispatch per key.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::AttemptId;
use crate::AttemptProgress;
use crate::ClaimKey;
use crate::ClaimQuery;
use crate::ClaimView;
use crate::Endpoint;
use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::IDEMPOTENCY_KEY_HEADER;
use crate::KeySupport;
use crate::ResponseBody;
use crate::Result;
use crate::StoredResponse;
use crate::at_most_once_dispatch;
use crate::at_most_once_dispatch::DispatchOutcome;
use crate::call::Call;
use crate::claim::Claim;
use crate::claim_client;
use crate::claim_client::AcquireOutcome;
use crate::claim_holder;
use crate::claim_holder::AttemptTracker;
use crate::claim_holder::HolderStatus;
use crate::full_body;
use crate::hand_over;
use crate::outbox::Outbox;

/// Time by which a response may exceed the deadline, so that a refusal can still be distinguished
/// from an unknown outcome.
const DEADLINE_GRACE_PERIOD: Duration = Duration::from_millis(50);

/// Maximum age at which an acquired claim may still be used; shorter than [`HOLDER_TIMEOUT`], after
/// which other gates abandon the attempt of a holder that does not respond.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(3);

/// Maximum time that a controller is asked to wait for the end of another attempt.
const MAX_HOLDER_WAIT: Duration = Duration::from_millis(500);

/// Time without a response from the holder's gate after which it is considered terminated.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the state of a claim is queried again, and the time that a controller may wait in
/// the query made before an attempt is abandoned.
const REQUERY_DELAY: Duration = Duration::from_millis(100);

/// Time before the gate's leave deadline at which callers are redirected.
const REDIRECT_MARGIN: Duration = Duration::from_millis(700);

/// Time for which a stopping gate waits for the log before it hands its records over to another
/// gate.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// State of the at-most-once calls at this gate.
#[derive(Debug, Default)]
pub(crate) struct AtMostOnce {
    pub(crate) attempts: AttemptTracker,
    pub(crate) outbox: Outbox,
    tasks: TaskTracker,
}

/// Runs an at-most-once call and returns its response.
///
/// # Errors
///
/// Fails with the kind that tells whether the call may have had an effect.
pub(crate) async fn run_at_most_once(
    gate: &Arc<Gate>,
    call: Call,
) -> Result<Response<ResponseBody>> {
    let key = call.idempotency_key()?.map(|key| ClaimKey {
        customer: call.customer.clone(),
        service: call.service.name.clone(),
        key: key.to_owned(),
    });
    let is_keyed = key.is_some();
    let (customer, path) = (
        call.customer.clone(),
        format!("/{}/{}", call.service.name, call.path),
    );
    tokio::select! {
        reply = run_detached(gate, call, key) => into_response(reply?),
        () = wait_for_redirect(gate) => {
            let table = gate.table().filter(|_| is_keyed);
            let redirect = table.and_then(|t| hand_over::redirect(gate, &t, &customer, &path));
            redirect.ok_or_else(|| {
                outcome_unknown("this machine ends before the call has been answered")
            })
        }
    }
}

/// Waits until [`REDIRECT_MARGIN`] before the gate's leave deadline; see [`Gate::leave_deadline`].
///
/// A caller with a key is then redirected: its retry waits at another gate for the response, which
/// goes to the log. A caller without a key must not send its call again.
async fn wait_for_redirect(gate: &Gate) {
    let mut leave_deadline = gate.leave_deadline.subscribe();
    let deadline = match leave_deadline.wait_for(Option::is_some).await {
        Ok(deadline) => *deadline,
        Err(_) => None,
    };
    let Some(deadline) = deadline else {
        return std::future::pending().await;
    };
    let left = deadline.since(gate.kernel.clock.now());
    tokio::time::sleep(left.saturating_sub(REDIRECT_MARGIN)).await;
}

/// Runs a call under a claim on `key`, or without a claim if there is no key.
///
/// The call continues after the caller disconnects, so that its response reaches the log.
///
/// # Errors
///
/// Fails with the kind that tells whether the call may have had an effect.
pub(crate) async fn run_detached(
    gate: &Arc<Gate>,
    call: Call,
    key: Option<ClaimKey>,
) -> Result<StoredResponse> {
    let until = call.deadline + DEADLINE_GRACE_PERIOD;
    let owned = Arc::clone(gate);
    let work = gate.at_most_once.tasks.spawn(async move {
        match key {
            Some(key) => run_keyed(&owned, call, key).await,
            None => run_keyless(&owned, &call).await,
        }
    });
    match tokio::time::timeout_at(until, work).await {
        Ok(Ok(result)) => result,
        Ok(Err(error)) => Err(Error::new(ErrorKind::Internal, error.to_string())),
        Err(_) => Err(Error::new(
            ErrorKind::DeadlineExceeded,
            "the call has not ended in time",
        )),
    }
}

/// Waits until the calls in progress have ended and their records are in the log.
///
/// If the log does not respond within [`FLUSH_TIMEOUT`], the records are handed over to another
/// gate.
pub(crate) async fn drain(gate: &Gate, limit: Duration) {
    let calls = &gate.at_most_once;
    calls.tasks.close();
    let _ = tokio::time::timeout(limit, calls.tasks.wait()).await;
    let flushed = tokio::time::timeout(FLUSH_TIMEOUT, calls.outbox.wait_until_empty()).await;
    if flushed.is_ok() {
        return;
    }
    let pending = calls.outbox.pending();
    let count = pending.len();
    let is_accepted = claim_holder::hand_over_records(gate, pending).await;
    gate.kernel.events.record(
        "claim.records_handed_over",
        &[("records", &count), ("taken", &is_accepted)],
    );
    if !is_accepted {
        let _ = tokio::time::timeout(limit, calls.outbox.wait_until_empty()).await;
    }
}

/// Runs a call without a key; every request without a key is a separate call.
async fn run_keyless(gate: &Gate, call: &Call) -> Result<StoredResponse> {
    match at_most_once_dispatch::dispatch_at_most_once(gate, call, AttemptId::random()).await {
        DispatchOutcome::Responded(response) => Ok(response),
        DispatchOutcome::Unsent(error) => Err(error),
        DispatchOutcome::Lost(detail) => Err(outcome_unknown(&detail)),
    }
}

async fn run_keyed(gate: &Arc<Gate>, mut call: Call, key: ClaimKey) -> Result<StoredResponse> {
    let digest = call.digest();
    set_endpoint_key(&mut call, &key);
    loop {
        if Instant::now() >= call.deadline {
            return Err(Error::new(
                ErrorKind::DeadlinePassed,
                "the deadline passed before the call could be claimed",
            ));
        }
        let claim = Claim::new(gate, call.id, key.clone(), digest);
        let record = claim.acquire_record();
        match claim_client::acquire(gate, &key.to_string(), &record).await {
            AcquireOutcome::Decided { view, may_append } => match view {
                ClaimView::Won => return run_acquired(gate, &call, claim).await,
                ClaimView::Unknown { attempt, .. } if attempt == claim.attempt => {
                    return Err(log_unavailable("the claim was given up before it was used"));
                }
                _ => {
                    let query = claim.into_query(may_append);
                    if let Some(response) = await_holder(gate, &call, query, view).await? {
                        return Ok(response);
                    }
                }
            },
            AcquireOutcome::Refused(reason) => {
                claim.discard();
                return Err(log_unavailable(&reason));
            }
            AcquireOutcome::Undecided(reason) => return Err(log_unavailable(&reason)),
        }
    }
}

/// Sends the call of an attempt that holds its claim.
///
/// If the process was paused for longer than [`MAX_CLAIM_AGE`], other gates may have abandoned the
/// attempt and reported an unknown outcome to callers. The claim is then released unused, so that a
/// retry can run immediately.
async fn run_acquired(gate: &Gate, call: &Call, mut claim: Claim) -> Result<StoredResponse> {
    claim.record_acquired();
    if claim.age() > MAX_CLAIM_AGE || gate.kernel.stopped.is_cancelled() {
        return Err(log_unavailable("the claim came too late to be used"));
    }
    claim.mark_dispatched();
    match at_most_once_dispatch::dispatch_at_most_once(gate, call, claim.attempt).await {
        DispatchOutcome::Responded(response) => {
            claim.finish(&response);
            Ok(response)
        }
        DispatchOutcome::Unsent(error) => {
            claim.release();
            Err(error)
        }
        DispatchOutcome::Lost(detail) => {
            claim.abandon();
            Err(outcome_unknown(&detail))
        }
    }
}

/// Waits for the end of the attempt that holds the claim.
///
/// Returns its response, or `None` if it released the claim without running the call.
async fn await_holder(
    gate: &Gate,
    call: &Call,
    mut query: ClaimQuery,
    mut view: ClaimView,
) -> Result<Option<StoredResponse>> {
    let mut last_heard = Instant::now();
    loop {
        match view {
            ClaimView::Free | ClaimView::Won => return Ok(None),
            ClaimView::Finished { reply: response } => return Ok(Some(response)),
            ClaimView::KeyReused => {
                return Err(Error::new(
                    ErrorKind::KeyReused,
                    "the key was used with another method, path or body",
                ));
            }
            ClaimView::Unknown { attempt, .. } => {
                return look_up_response(gate, call, &query.key, attempt).await;
            }
            ClaimView::Held {
                attempt,
                gate: node,
            } => {
                query.holder = attempt;
                match claim_holder::holder_status(gate, &node, attempt).await {
                    HolderStatus::Known(AttemptProgress::Done { reply: response }) => {
                        return Ok(Some(response));
                    }
                    HolderStatus::Known(AttemptProgress::Running) => last_heard = Instant::now(),
                    HolderStatus::Unreachable if last_heard.elapsed() < HOLDER_TIMEOUT => {}
                    HolderStatus::Gone | HolderStatus::Unreachable => {
                        if let Some(end) = abandon_holder(gate, call, &query).await {
                            return end.map(Some);
                        }
                    }
                }
            }
            ClaimView::Pending => tokio::time::sleep(REQUERY_DELAY).await,
        }
        if Instant::now() >= call.deadline {
            return Err(Error::new(
                ErrorKind::DeadlineExceeded,
                "another send of this call is still in progress",
            ));
        }
        query.wait = MAX_HOLDER_WAIT.min(call.deadline.saturating_duration_since(Instant::now()));
        view = claim_client::wait(gate, &query)
            .await
            .unwrap_or(ClaimView::Pending);
    }
}

/// Abandons the attempt that holds the claim, unless the log already records its end.
///
/// Returns `None` if the caller must read the state of the claim again.
async fn abandon_holder(
    gate: &Gate,
    call: &Call,
    query: &ClaimQuery,
) -> Option<Result<StoredResponse>> {
    let view = refresh_view(gate, query).await;
    if !matches!(view, Some(ClaimView::Held { attempt, .. }) if attempt == query.holder) {
        return None;
    }
    let record = crate::claim::abandon_record(gate, query.key.clone(), query.holder);
    gate.at_most_once.outbox.push(record);
    let end = look_up_response(gate, call, &query.key, query.holder).await;
    end.transpose()
}

/// Reads the claim again, since its end may have reached the log in the meantime.
async fn refresh_view(gate: &Gate, query: &ClaimQuery) -> Option<ClaimView> {
    let mut query = query.clone();
    query.wait = REQUERY_DELAY;
    claim_client::wait(gate, &query).await
}

/// Looks up the response to a call whose holder is gone; never runs the call.
async fn look_up_response(
    gate: &Gate,
    call: &Call,
    key: &ClaimKey,
    attempt: AttemptId,
) -> Result<Option<StoredResponse>> {
    if call.service.keys == KeySupport::Lookup {
        for endpoint in service_endpoints(gate, call) {
            if let Some(response) = at_most_once_dispatch::look_up(gate, &endpoint, call).await {
                let record = crate::claim::finish_record(gate, key.clone(), attempt, &response);
                gate.at_most_once.outbox.push(record);
                return Ok(Some(response));
            }
        }
    }
    Err(outcome_unknown("the gate that ran the call has ended"))
}

fn service_endpoints(gate: &Gate, call: &Call) -> Vec<Endpoint> {
    let table = gate.table();
    let all = table.iter().flat_map(|t| &t.endpoints);
    all.filter(|((service, _), _)| *service == call.service.name)
        .flat_map(|(_, endpoints)| endpoints.iter().cloned())
        .collect()
}

/// Sets the idempotency header that endpoints with key support receive.
fn set_endpoint_key(call: &mut Call, key: &ClaimKey) {
    if call.service.keys == KeySupport::Ignored {
        return;
    }
    let value = at_most_once_dispatch::endpoint_key(call, &key.key);
    if let Ok(value) = HeaderValue::from_str(&value) {
        call.headers.insert(IDEMPOTENCY_KEY_HEADER, value);
    }
}

/// Converts a stored response into the one that the caller receives.
///
/// # Errors
///
/// Fails with [`ErrorKind::OutcomeUnknown`] if the body was not stored, or has been dropped since
/// to limit the total size.
pub(crate) fn into_response(stored: StoredResponse) -> Result<Response<ResponseBody>> {
    if let Some(bytes) = stored.omitted {
        let detail = format!(
            "the call ran once and was answered with status {}; its answer of {bytes} bytes was \
             too large to keep",
            stored.status
        );
        return Err(Error::new(ErrorKind::OutcomeUnknown, detail));
    }
    let mut response = Response::new(full_body(stored.body));
    *response.status_mut() =
        StatusCode::from_u16(stored.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in &stored.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.headers_mut().insert(name, value);
        }
    }
    Ok(response)
}

fn outcome_unknown(detail: &str) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, detail)
}

fn log_unavailable(detail: &str) -> Error {
    Error::new(ErrorKind::LogUnavailable, detail)
}
