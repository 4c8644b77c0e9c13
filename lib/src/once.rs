//! Runs calls that may not be repeated: at most one dispatch for a key.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::AttemptId;
use crate::ClaimKey;
use crate::ClaimQuery;
use crate::ClaimView;
use crate::Endpoint;
use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::IDEMPOTENCY_HEADER;
use crate::KeySupport;
use crate::Progress;
use crate::ReplyBody;
use crate::Result;
use crate::StoredReply;
use crate::call::Call;
use crate::claim::Claim;
use crate::claim_client;
use crate::claim_client::Acquired;
use crate::claim_holder;
use crate::claim_holder::Holder;
use crate::claim_holder::Holders;
use crate::full_body;
use crate::hand_over;
use crate::once_dispatch;
use crate::once_dispatch::Dispatched;
use crate::outbox::Outbox;

/// Time by which an answer may exceed the deadline, so that a refusal can still be told from an
/// unknown outcome.
const ANSWER_GRACE: Duration = Duration::from_millis(50);

/// Time after it was asked for during which a claim may be used.
const CLAIM_FRESH: Duration = Duration::from_secs(3);

/// Time for which a controller is asked to wait for the end of another attempt.
const JOIN_WAIT: Duration = Duration::from_millis(500);

/// Silence of the holder's gate after which it counts as gone.
const SILENT_LIMIT: Duration = Duration::from_secs(5);

/// Pause after which an attempt asks again.
const JOIN_PAUSE: Duration = Duration::from_millis(100);

/// Time before the end of the gate's machine at which callers are sent on.
const LAST_MOMENT: Duration = Duration::from_millis(700);

/// Time for which a stopping gate waits for the log before it hands its records over.
const FLUSH_LIMIT: Duration = Duration::from_secs(1);

/// Calls that may not be repeated, at this gate.
#[derive(Debug, Default)]
pub(crate) struct Once {
    pub(crate) holders: Holders,
    pub(crate) outbox: Outbox,
    tasks: TaskTracker,
}

/// Runs a call that may not be repeated and returns its answer.
///
/// # Errors
///
/// Fails with the kind that tells what is known of the call's effect.
pub(crate) async fn run_once(gate: &Arc<Gate>, call: Call) -> Result<Response<ReplyBody>> {
    let key = call.key()?.map(|key| ClaimKey {
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
        reply = run_claimed(gate, call, key) => respond(reply?),
        () = last_moment(gate) => {
            let table = gate.table().filter(|_| is_keyed);
            let sent_on = table.and_then(|t| hand_over::redirect(gate, &t, &customer, &path));
            sent_on.ok_or_else(|| unknown("this machine ends before the call has been answered"))
        }
    }
}

/// Waits until the gate's machine is about to end.
///
/// A caller with a key is then sent on: its resend waits elsewhere for the answer, which goes to
/// the log. One without a key must not send its call again.
async fn last_moment(gate: &Gate) {
    let mut notice = gate.notice.subscribe();
    let deadline = match notice.wait_for(Option::is_some).await {
        Ok(deadline) => *deadline,
        Err(_) => None,
    };
    let Some(deadline) = deadline else {
        return std::future::pending().await;
    };
    let left = deadline.since(gate.kernel.clock.now());
    tokio::time::sleep(left.saturating_sub(LAST_MOMENT)).await;
}

/// Runs a call under a claim on `key`, or without one.
///
/// The call goes on when the caller leaves, so that its answer reaches the log.
///
/// # Errors
///
/// Fails with the kind that tells what is known of the call's effect.
pub(crate) async fn run_claimed(
    gate: &Arc<Gate>,
    call: Call,
    key: Option<ClaimKey>,
) -> Result<StoredReply> {
    let until = call.deadline + ANSWER_GRACE;
    let owned = Arc::clone(gate);
    let work = gate.once.tasks.spawn(async move {
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

/// Waits until the calls in progress have ended and their records are in the log; hands the
/// records to another gate when the log does not answer.
pub(crate) async fn drain(gate: &Gate, limit: Duration) {
    let once = &gate.once;
    once.tasks.close();
    let _ = tokio::time::timeout(limit, once.tasks.wait()).await;
    let flushed = tokio::time::timeout(FLUSH_LIMIT, once.outbox.emptied()).await;
    if flushed.is_ok() {
        return;
    }
    let waiting = once.outbox.waiting();
    let count = waiting.len();
    let is_taken = claim_holder::hand_over(gate, waiting).await;
    gate.kernel.events.record(
        "claim.records_handed_over",
        &[("records", &count), ("taken", &is_taken)],
    );
    if !is_taken {
        let _ = tokio::time::timeout(limit, once.outbox.emptied()).await;
    }
}

/// Each send without a key is a call of its own.
async fn run_keyless(gate: &Gate, call: &Call) -> Result<StoredReply> {
    match once_dispatch::dispatch_once(gate, call, AttemptId::random()).await {
        Dispatched::Answered(reply) => Ok(reply),
        Dispatched::Unsent(error) => Err(error),
        Dispatched::Lost(detail) => Err(unknown(&detail)),
    }
}

async fn run_keyed(gate: &Arc<Gate>, mut call: Call, key: ClaimKey) -> Result<StoredReply> {
    let digest = call.digest();
    mark_key(&mut call, &key);
    loop {
        if Instant::now() >= call.deadline {
            return Err(Error::new(
                ErrorKind::DeadlinePassed,
                "the deadline passed before the call could be claimed",
            ));
        }
        let claim = Claim::new(gate, call.id, key.clone(), digest);
        let record = claim.acquisition();
        match claim_client::acquire(gate, &key.to_string(), &record).await {
            Acquired::Decided { view, is_open } => match view {
                ClaimView::Won => return run_won(gate, &call, claim).await,
                ClaimView::Unknown { attempt, .. } if attempt == claim.attempt => {
                    return Err(unavailable("the claim was given up before it was used"));
                }
                _ => {
                    let query = claim.lose(is_open);
                    if let Some(reply) = join(gate, &call, query, view).await? {
                        return Ok(reply);
                    }
                }
            },
            Acquired::Refused(reason) => {
                claim.withdraw();
                return Err(unavailable(&reason));
            }
            Acquired::Undecided(reason) => return Err(unavailable(&reason)),
        }
    }
}

/// Sends the call of an attempt that holds its claim.
///
/// An attempt that was paused for long has been given up by others, who told callers that the
/// outcome is unknown; it is released so that a resend can run at once.
async fn run_won(gate: &Gate, call: &Call, mut claim: Claim) -> Result<StoredReply> {
    claim.won();
    if claim.age() > CLAIM_FRESH || gate.kernel.stopped.is_cancelled() {
        return Err(unavailable("the claim came too late to be used"));
    }
    claim.dispatch();
    match once_dispatch::dispatch_once(gate, call, claim.attempt).await {
        Dispatched::Answered(reply) => {
            claim.finish(&reply);
            Ok(reply)
        }
        Dispatched::Unsent(error) => {
            claim.unsent();
            Err(error)
        }
        Dispatched::Lost(detail) => {
            claim.abandon();
            Err(unknown(&detail))
        }
    }
}

/// Waits for the end of the attempt that holds the claim.
///
/// Returns its answer, or `None` when it gave the claim up without running the call.
async fn join(
    gate: &Gate,
    call: &Call,
    mut query: ClaimQuery,
    mut view: ClaimView,
) -> Result<Option<StoredReply>> {
    let mut heard = Instant::now();
    loop {
        match view {
            ClaimView::Free | ClaimView::Won => return Ok(None),
            ClaimView::Finished { reply } => return Ok(Some(reply)),
            ClaimView::KeyReused => {
                return Err(Error::new(
                    ErrorKind::KeyReused,
                    "the key was used with another method, path or body",
                ));
            }
            ClaimView::Unknown { attempt, .. } => {
                return find_answer(gate, call, &query.key, attempt).await;
            }
            ClaimView::Held {
                attempt,
                gate: node,
            } => {
                query.holder = attempt;
                match claim_holder::find_holder(gate, &node, attempt).await {
                    Holder::Present(Progress::Done { reply }) => return Ok(Some(reply)),
                    Holder::Present(Progress::Running) => heard = Instant::now(),
                    Holder::Unsure if heard.elapsed() < SILENT_LIMIT => {}
                    Holder::Gone | Holder::Unsure => {
                        if let Some(end) = give_up(gate, call, &query).await {
                            return end.map(Some);
                        }
                    }
                }
            }
            ClaimView::Pending => tokio::time::sleep(JOIN_PAUSE).await,
        }
        if Instant::now() >= call.deadline {
            return Err(Error::new(
                ErrorKind::DeadlineExceeded,
                "another send of this call is still in progress",
            ));
        }
        query.wait = JOIN_WAIT.min(call.deadline.saturating_duration_since(Instant::now()));
        view = claim_client::wait(gate, &query)
            .await
            .unwrap_or(ClaimView::Pending);
    }
}

/// Gives the attempt that holds the claim up, unless its end has come from the log.
async fn give_up(gate: &Gate, call: &Call, query: &ClaimQuery) -> Option<Result<StoredReply>> {
    let view = recheck(gate, query).await;
    if !matches!(view, Some(ClaimView::Held { attempt, .. }) if attempt == query.holder) {
        return None;
    }
    let record = crate::claim::abandonment(gate, query.key.clone(), query.holder);
    gate.once.outbox.push(record);
    let end = find_answer(gate, call, &query.key, query.holder).await;
    end.transpose()
}

/// Reads the claim once more, since its end may have reached the log a moment ago.
async fn recheck(gate: &Gate, query: &ClaimQuery) -> Option<ClaimView> {
    let mut query = query.clone();
    query.wait = JOIN_PAUSE;
    claim_client::wait(gate, &query).await
}

/// Looks for the answer of a call whose holder is gone; never runs the call.
async fn find_answer(
    gate: &Gate,
    call: &Call,
    key: &ClaimKey,
    attempt: AttemptId,
) -> Result<Option<StoredReply>> {
    if call.service.keys == KeySupport::Lookup {
        for endpoint in endpoints(gate, call) {
            if let Some(reply) = once_dispatch::look_up(gate, &endpoint, call).await {
                let record = crate::claim::completion(gate, key.clone(), attempt, &reply);
                gate.once.outbox.push(record);
                return Ok(Some(reply));
            }
        }
    }
    Err(unknown("the gate that ran the call has ended"))
}

fn endpoints(gate: &Gate, call: &Call) -> Vec<Endpoint> {
    let table = gate.table();
    let all = table.iter().flat_map(|t| &t.endpoints);
    all.filter(|((service, _), _)| *service == call.service.name)
        .flat_map(|(_, endpoints)| endpoints.iter().cloned())
        .collect()
}

/// Gives the call the key that endpoints with key support get.
fn mark_key(call: &mut Call, key: &ClaimKey) {
    if call.service.keys == KeySupport::Ignored {
        return;
    }
    let value = once_dispatch::endpoint_key(call, &key.key);
    if let Ok(value) = HeaderValue::from_str(&value) {
        call.headers.insert(IDEMPOTENCY_HEADER, value);
    }
}

/// Returns the answer that a caller gets from a stored one.
///
/// # Errors
///
/// Fails with [`ErrorKind::OutcomeUnknown`] when the body was not kept.
pub(crate) fn respond(reply: StoredReply) -> Result<Response<ReplyBody>> {
    if let Some(bytes) = reply.omitted {
        let detail = format!(
            "the call ran once and was answered with status {}; its answer of {bytes} bytes was \
             too large to keep",
            reply.status
        );
        return Err(Error::new(ErrorKind::OutcomeUnknown, detail));
    }
    let mut response = Response::new(full_body(reply.body));
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in &reply.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            response.headers_mut().insert(name, value);
        }
    }
    Ok(response)
}

fn unknown(detail: &str) -> Error {
    Error::new(ErrorKind::OutcomeUnknown, detail)
}

fn unavailable(detail: &str) -> Error {
    Error::new(ErrorKind::LogUnavailable, detail)
}
