//! Runs accepted deferred requests at the gate that owns them.
//!
//! The owner is the first gate by rendezvous hash; if it leaves, the next one runs the request. Two
//! gates may run a repeatable request concurrently, and the first response counts; at-most-once
//! calls run under a claim.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use indexmap::IndexMap;
use jsonrpsee::http_client::HttpClient;
use parking_lot::Mutex;
use serde_json::Value;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::ClaimKey;
use crate::DeferredRequest;
use crate::DeferredRpcClient;
use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::GatePlugin;
use crate::MemberState;
use crate::Outcome;
use crate::Priority;
use crate::RequestId;
use crate::ResponseBody;
use crate::Result;
use crate::ServiceKind;
use crate::Stage;
use crate::StoredResponse;
use crate::admission;
use crate::admission::AdmissionOutcome;
use crate::at_most_once;
use crate::call;
use crate::call::Call;
use crate::claim_client::ranked_controllers;
use crate::deferred;
use crate::gate_http::PLAIN_CALL_COST_TOKENS;
use crate::model_call;
use crate::problem::problem_response;
use crate::run;

/// Interval between two polls for unanswered requests.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of requests that one gate runs concurrently.
const MAX_CONCURRENT_RUNS: usize = 16;

/// Timeout for a call to one controller.
const CONTROLLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum timeout for one run of a request.
const MIN_RUN_TIMEOUT: Duration = Duration::from_mins(2);

/// Time after its first run during which a failed request is retried.
const RETRY_PERIOD: Duration = Duration::from_mins(30);

/// Maximum number of times that a failed repeatable request is run again. Runs that were refused
/// before they began count too, but retries after such a refusal are limited only by
/// [`RETRY_PERIOD`].
const MAX_RETRIES: u32 = 4;

/// Maximum size in bytes of a response body that is stored.
const MAX_STORED_BODY_BYTES: usize = 4 * 1024 * 1024;

inventory::submit! {
    GatePlugin {
        name: "deferred-runner",
        stage: Stage::Background,
        start,
        methods: None,
    }
}

/// Requests that this gate runs or has run, while they are unanswered.
#[derive(Debug, Default)]
pub(crate) struct DeferredRuns {
    runs: Mutex<IndexMap<RequestId, Run>>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    started_at: Instant,
    failures: u32,
    is_running: bool,
    is_done: bool,
}

#[expect(clippy::unnecessary_wraps, reason = "signature required by GatePlugin")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let runner = Arc::clone(gate);
    gate.kernel.spawn(async move {
        while !runner.kernel.stopping.is_cancelled() {
            start_pending(&runner).await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    Ok(())
}

/// Starts the unanswered requests that this gate owns.
async fn start_pending(gate: &Arc<Gate>) {
    let Some(pending) = fetch_pending(gate).await else {
        return;
    };
    gate.deferred.retain(&pending);
    let owned = pending.into_iter().filter(|id| is_owner(gate, *id));
    for id in owned {
        if gate.deferred.begin(id) {
            let runner = Arc::clone(gate);
            gate.kernel
                .spawn(async move { run_request(&runner, id).await });
        }
    }
}

async fn fetch_pending(gate: &Gate) -> Option<Vec<RequestId>> {
    let configured = gate.settings.controllers.iter().copied();
    for controller in configured.chain(ranked_controllers(gate, gate.kernel.node.as_str())) {
        let call = |client: HttpClient| async move { client.pending().await };
        if let Ok(pending) = gate.rpc.call(controller, CONTROLLER_TIMEOUT, call).await {
            return Some(pending);
        }
    }
    None
}

/// Returns whether this gate is the first by rendezvous hash of those that accept requests.
fn is_owner(gate: &Gate, id: RequestId) -> bool {
    let Some(table) = gate.table() else {
        return false;
    };
    let accepts = |m: &&crate::Member| {
        let is_live = matches!(m.state, MemberState::Alive | MemberState::Suspect);
        is_live && m.gate.as_ref().is_some_and(|g| g.accepting)
    };
    let first = table
        .live
        .members
        .values()
        .filter(accepts)
        .min_by_key(|m| xxh3_64(format!("{id}/{}", m.node).as_bytes()));
    first.is_some_and(|m| m.node == gate.kernel.node)
}

async fn run_request(gate: &Arc<Gate>, id: RequestId) {
    let result = match fetch(gate, id).await {
        Some(request) => run_fetched(gate, &request).await,
        None => None,
    };
    if let Some(response) = &result {
        gate.kernel.events.record(
            "deferred.finished",
            &[("request", &id), ("status", &response.status)],
        );
        deferred::queue_response(gate, id, response);
    }
    gate.deferred.end(id, result.is_some());
}

async fn fetch(gate: &Gate, id: RequestId) -> Option<DeferredRequest> {
    for controller in ranked_controllers(gate, &id.to_string())
        .into_iter()
        .take(3)
    {
        let call = |client: HttpClient| async move { client.fetch(id).await };
        if let Ok(Some(request)) = gate.rpc.call(controller, CONTROLLER_TIMEOUT, call).await {
            return Some(request);
        }
    }
    None
}

/// Runs a request once; returns its final response, or `None` if it is to be run again.
async fn run_fetched(gate: &Arc<Gate>, request: &DeferredRequest) -> Option<StoredResponse> {
    let call = match to_call(gate, request) {
        Ok(call) => call,
        Err(error) => return Some(stored_response(problem_response(&error)).await),
    };
    let is_repeatable = call.is_repeatable();
    let is_model = call.service.kind == ServiceKind::Model;
    gate.kernel
        .events
        .record("deferred.started", &[("request", &request.id)]);
    let result = run_call(gate, call).await;
    let run = gate.deferred.get(request.id)?;
    let is_last = run.failures >= MAX_RETRIES || run.started_at.elapsed() >= RETRY_PERIOD;
    match result {
        Ok(response) if response.status >= 500 && is_repeatable && !is_last => None,
        // The generation has been handed over; the next owner of the request continues it.
        Ok(response) if is_model && response.status == StatusCode::TEMPORARY_REDIRECT.as_u16() => {
            None
        }
        Ok(response) => Some(response),
        Err(error) => {
            let is_final =
                error.kind == ErrorKind::CrashingRequest || error.retry_after().is_none();
            let may_retry = is_repeatable && !is_final && !is_last;
            let not_run = error.outcome() == Outcome::NotRun && !is_final;
            let in_period = run.started_at.elapsed() < RETRY_PERIOD;
            if may_retry || (not_run && in_period) {
                return None;
            }
            Some(stored_response(problem_response(&error)).await)
        }
    }
}

/// Runs a call and returns its complete response.
///
/// # Errors
///
/// Fails with the kind that tells whether the call may have had an effect.
pub(crate) async fn run_call(gate: &Arc<Gate>, call: Call) -> Result<StoredResponse> {
    if call.service.kind == ServiceKind::Model {
        return run_model(gate, call).await;
    }
    let permit = match admission::admit(gate, &call, PLAIN_CALL_COST_TOKENS).await? {
        AdmissionOutcome::Admitted(permit) => permit,
        AdmissionOutcome::Leaving => {
            return Err(Error::new(ErrorKind::Leaving, "this machine ends"));
        }
    };
    let response = run_plain(gate, call).await?;
    permit.complete();
    Ok(response)
}

async fn run_plain(gate: &Arc<Gate>, call: Call) -> Result<StoredResponse> {
    if !call.is_repeatable() {
        let key = call
            .idempotency_key()?
            .map_or_else(|| call.id.to_string(), str::to_owned);
        let key = ClaimKey {
            customer: call.customer.clone(),
            service: call.service.name.clone(),
            key,
        };
        return at_most_once::run_detached(gate, call, Some(key)).await;
    }
    let response = run::run(gate, call).await?;
    Ok(stored_response(response).await)
}

async fn run_model(gate: &Arc<Gate>, mut call: Call) -> Result<StoredResponse> {
    call.body = disable_streaming(&call.body);
    let response = model_call::run(gate, call).await?;
    if response.status().is_redirection() {
        return Err(Error::new(ErrorKind::Leaving, "this machine ends"));
    }
    Ok(stored_response(response).await)
}

/// Turns a request for a stream into a request for the complete response.
fn disable_streaming(body: &Bytes) -> Bytes {
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(body) else {
        return body.clone();
    };
    if fields.get("stream") != Some(&Value::Bool(true)) {
        return body.clone();
    }
    fields.insert(String::from("stream"), Value::Bool(false));
    Bytes::from(Value::Object(fields).to_string())
}

fn to_call(gate: &Gate, request: &DeferredRequest) -> Result<Call> {
    let unknown = || Error::new(ErrorKind::UnknownService, "the service has been removed");
    let table = gate.table().ok_or_else(unknown)?;
    let service = table.config.services.get(&request.service);
    let service = service.ok_or_else(unknown)?.value.clone();
    let mut route = call::match_route(&service, &request.path);
    route.priority = Priority::Deferred;
    route.timeout = route.timeout.max(MIN_RUN_TIMEOUT);
    let method = Method::from_bytes(request.method.as_bytes())
        .map_err(|error| Error::new(ErrorKind::BadRequest, error.to_string()))?;
    Ok(Call {
        affinity_key: None,
        id: request.id,
        customer: request.customer.clone(),
        deadline: Instant::now() + route.timeout,
        service,
        route,
        method,
        path: request.path.clone(),
        headers: to_headers(request),
        body: Bytes::from(request.body.clone()),
    })
}

fn to_headers(request: &DeferredRequest) -> HeaderMap {
    let parsed = request.headers.iter().filter_map(|(name, value)| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_str(value).ok()?))
    });
    parsed.collect()
}

/// Reads a complete response.
///
/// A response that is too large is stored without its body; one whose body cannot be read to the
/// end is stored with an empty body and status 502.
async fn stored_response(response: Response<ResponseBody>) -> StoredResponse {
    let (parts, body) = response.into_parts();
    let headers = parts.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.to_string(), value.to_owned()))
    });
    let headers = headers.collect();
    let status = parts.status.as_u16();
    match body.collect().await {
        Ok(body) => {
            let response = StoredResponse {
                status,
                headers,
                body: body.to_bytes().to_vec(),
                omitted: None,
            };
            if response.body.len() > MAX_STORED_BODY_BYTES {
                response.without_body()
            } else {
                response
            }
        }
        Err(_) => StoredResponse {
            status: 502,
            headers,
            body: Vec::new(),
            omitted: None,
        },
    }
}

impl DeferredRuns {
    /// Removes the requests that are no longer pending, unless they are running.
    fn retain(&self, pending: &[RequestId]) {
        self.runs
            .lock()
            .retain(|id, run| run.is_running || pending.contains(id));
    }

    /// Marks a request as running and returns `true`, unless it is running or done already, or
    /// [`MAX_CONCURRENT_RUNS`] requests are running.
    fn begin(&self, id: RequestId) -> bool {
        let mut runs = self.runs.lock();
        let running = runs.values().filter(|r| r.is_running).count();
        let run = runs.entry(id).or_insert_with(|| Run {
            started_at: Instant::now(),
            failures: 0,
            is_running: false,
            is_done: false,
        });
        let may_begin = !run.is_running && !run.is_done && running < MAX_CONCURRENT_RUNS;
        run.is_running |= may_begin;
        may_begin
    }

    fn end(&self, id: RequestId, is_done: bool) {
        if let Some(run) = self.runs.lock().get_mut(&id) {
            run.is_running = false;
            run.is_done = is_done;
            run.failures += u32::from(!is_done);
        }
    }

    fn get(&self, id: RequestId) -> Option<Run> {
        self.runs.lock().get(&id).copied()
    }
}
