//! Runs accepted deferred requests at the gate that owns them.
//!
//! The owner is the first of the gates by rendezvous hash; when it goes, the next one runs the
//! request. Two gates may run a repeatable request at once, and the first answer counts; calls
//! that may not be repeated are claimed.

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
use crate::ReplyBody;
use crate::RequestId;
use crate::Result;
use crate::ServiceKind;
use crate::Stage;
use crate::StoredReply;
use crate::admission;
use crate::admission::Admitted;
use crate::call;
use crate::call::Call;
use crate::claim_client::homes;
use crate::deferred;
use crate::gate_http::PLAIN_COST;
use crate::model_call;
use crate::once;
use crate::problem::problem;
use crate::run;

/// Time between two looks at the requests that wait.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Requests run at once by one gate.
const RUNS_AT_ONCE: usize = 16;

/// Time within which a controller must answer.
const ASK_LIMIT: Duration = Duration::from_secs(2);

/// Least time within which one run of a request must end.
const LEAST_TIMEOUT: Duration = Duration::from_mins(2);

/// Time after its first run during which a request is run again after failures.
const PATIENCE: Duration = Duration::from_mins(30);

/// Runs of a repeatable request that endpoints may fail.
const MAX_FAILURES: u32 = 4;

/// Largest body of an answer that is kept, in bytes.
const KEPT_BODY: usize = 4 * 1024 * 1024;

inventory::submit! {
    GatePlugin {
        name: "deferred-runner",
        stage: Stage::Duty,
        start,
        methods: None,
    }
}

/// Requests that this gate runs.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    runs: Mutex<IndexMap<RequestId, Run>>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    since: Instant,
    failures: u32,
    is_running: bool,
    is_done: bool,
}

#[expect(clippy::unnecessary_wraps, reason = "the registry's signature")]
fn start(gate: &Arc<Gate>) -> Result<()> {
    let runner = Arc::clone(gate);
    gate.kernel.spawn(async move {
        while !runner.kernel.stopping.is_cancelled() {
            look(&runner).await;
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    });
    Ok(())
}

/// Starts the requests that wait and belong to this gate.
async fn look(gate: &Arc<Gate>) {
    let Some(pending) = pending(gate).await else {
        return;
    };
    gate.deferred.retain(&pending);
    let own = pending.into_iter().filter(|id| is_owner(gate, *id));
    for id in own {
        if gate.deferred.begin(id) {
            let runner = Arc::clone(gate);
            gate.kernel
                .spawn(async move { run_request(&runner, id).await });
        }
    }
}

async fn pending(gate: &Gate) -> Option<Vec<RequestId>> {
    let own = gate.settings.controllers.iter().copied();
    for controller in own.chain(homes(gate, gate.kernel.node.as_str())) {
        let call = |client: HttpClient| async move { client.pending().await };
        if let Ok(pending) = gate.rpc.call(controller, ASK_LIMIT, call).await {
            return Some(pending);
        }
    }
    None
}

/// Tells whether this gate is the first by rendezvous hash of those that take requests.
fn is_owner(gate: &Gate, id: RequestId) -> bool {
    let Some(table) = gate.table() else {
        return false;
    };
    let takes = |m: &&crate::Member| {
        let is_there = matches!(m.state, MemberState::Alive | MemberState::Suspect);
        is_there && m.gate.as_ref().is_some_and(|g| g.accepting)
    };
    let first = table
        .live
        .members
        .values()
        .filter(takes)
        .min_by_key(|m| xxh3_64(format!("{id}/{}", m.node).as_bytes()));
    first.is_some_and(|m| m.node == gate.kernel.node)
}

async fn run_request(gate: &Arc<Gate>, id: RequestId) {
    let result = match fetch(gate, id).await {
        Some(request) => run_fetched(gate, &request).await,
        None => None,
    };
    if let Some(reply) = &result {
        gate.kernel.events.record(
            "deferred.finished",
            &[("request", &id), ("status", &reply.status)],
        );
        deferred::push_finish(gate, id, reply);
    }
    gate.deferred.end(id, result.is_some());
}

async fn fetch(gate: &Gate, id: RequestId) -> Option<DeferredRequest> {
    for home in homes(gate, &id.to_string()).into_iter().take(3) {
        let call = |client: HttpClient| async move { client.fetch(id).await };
        if let Ok(Some(request)) = gate.rpc.call(home, ASK_LIMIT, call).await {
            return Some(request);
        }
    }
    None
}

/// Runs a request once; returns its final answer, or `None` when it is to be run again.
async fn run_fetched(gate: &Arc<Gate>, request: &DeferredRequest) -> Option<StoredReply> {
    let call = match call_of(gate, request) {
        Ok(call) => call,
        Err(error) => return Some(stored(problem(&error)).await),
    };
    let repeatable = call.is_repeatable();
    let is_model = call.service.kind == ServiceKind::Model;
    gate.kernel
        .events
        .record("deferred.started", &[("request", &request.id)]);
    let result = run_call(gate, call).await;
    let run = gate.deferred.get(request.id)?;
    let is_last = run.failures >= MAX_FAILURES || run.since.elapsed() >= PATIENCE;
    match result {
        Ok(reply) if reply.status >= 500 && repeatable && !is_last => None,
        // The generation has been handed over; the gate that owns the request next picks it up.
        Ok(reply) if is_model && reply.status == StatusCode::TEMPORARY_REDIRECT.as_u16() => None,
        Ok(reply) => Some(reply),
        Err(error) => {
            let is_final =
                error.kind == ErrorKind::CrashingRequest || error.retry_after().is_none();
            let may_repeat = repeatable && !is_final && !is_last;
            let not_run = error.outcome() == Outcome::NotRun && !is_final;
            let is_patient = run.since.elapsed() < PATIENCE;
            if may_repeat || (not_run && is_patient) {
                return None;
            }
            Some(stored(problem(&error)).await)
        }
    }
}

/// Runs a call to its whole answer.
///
/// # Errors
///
/// Fails with the kind that tells what is known of the call's effect.
pub(crate) async fn run_call(gate: &Arc<Gate>, call: Call) -> Result<StoredReply> {
    if call.service.kind == ServiceKind::Model {
        return run_model(gate, call).await;
    }
    let permit = match admission::admit(gate, &call, PLAIN_COST).await? {
        Admitted::Now(permit) => permit,
        Admitted::Leaving => return Err(Error::new(ErrorKind::Leaving, "this machine ends")),
    };
    let reply = run_plain(gate, call).await?;
    permit.finish();
    Ok(reply)
}

async fn run_plain(gate: &Arc<Gate>, call: Call) -> Result<StoredReply> {
    if !call.is_repeatable() {
        let key = call
            .key()?
            .map_or_else(|| call.id.to_string(), str::to_owned);
        let key = ClaimKey {
            customer: call.customer.clone(),
            service: call.service.name.clone(),
            key,
        };
        return once::run_claimed(gate, call, Some(key)).await;
    }
    let response = run::run(gate, call).await?;
    Ok(stored(response).await)
}

async fn run_model(gate: &Arc<Gate>, mut call: Call) -> Result<StoredReply> {
    call.body = without_stream(&call.body);
    let response = model_call::run(gate, call).await?;
    if response.status().is_redirection() {
        return Err(Error::new(ErrorKind::Leaving, "this machine ends"));
    }
    Ok(stored(response).await)
}

/// Asks for the whole answer in place of a stream.
fn without_stream(body: &Bytes) -> Bytes {
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(body) else {
        return body.clone();
    };
    if fields.get("stream") != Some(&Value::Bool(true)) {
        return body.clone();
    }
    fields.insert(String::from("stream"), Value::Bool(false));
    Bytes::from(Value::Object(fields).to_string())
}

fn call_of(gate: &Gate, request: &DeferredRequest) -> Result<Call> {
    let unknown = || Error::new(ErrorKind::UnknownService, "the service has been removed");
    let table = gate.table().ok_or_else(unknown)?;
    let service = table.config.services.get(&request.service);
    let service = service.ok_or_else(unknown)?.value.clone();
    let mut route = call::route_of(&service, &request.path);
    route.priority = Priority::Deferred;
    route.timeout = route.timeout.max(LEAST_TIMEOUT);
    let method = Method::from_bytes(request.method.as_bytes())
        .map_err(|error| Error::new(ErrorKind::BadRequest, error.to_string()))?;
    Ok(Call {
        affinity: None,
        id: request.id,
        customer: request.customer.clone(),
        deadline: Instant::now() + route.timeout,
        service,
        route,
        method,
        path: request.path.clone(),
        headers: headers_of(request),
        body: Bytes::from(request.body.clone()),
    })
}

fn headers_of(request: &DeferredRequest) -> HeaderMap {
    let parsed = request.headers.iter().filter_map(|(name, value)| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_str(value).ok()?))
    });
    parsed.collect()
}

/// Reads an answer whole; one that breaks off or is too large is kept without its body.
async fn stored(response: Response<ReplyBody>) -> StoredReply {
    let (parts, body) = response.into_parts();
    let headers = parts.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.to_string(), value.to_owned()))
    });
    let headers = headers.collect();
    let status = parts.status.as_u16();
    match body.collect().await {
        Ok(body) => {
            let reply = StoredReply {
                status,
                headers,
                body: body.to_bytes().to_vec(),
                omitted: None,
            };
            if reply.body.len() > KEPT_BODY {
                reply.without_body()
            } else {
                reply
            }
        }
        Err(_) => StoredReply {
            status: 502,
            headers,
            body: Vec::new(),
            omitted: None,
        },
    }
}

impl Runs {
    /// Forgets the requests that are answered.
    fn retain(&self, pending: &[RequestId]) {
        self.runs
            .lock()
            .retain(|id, run| run.is_running || pending.contains(id));
    }

    /// Marks a request as running, unless it is, it is done, or too many are.
    fn begin(&self, id: RequestId) -> bool {
        let mut runs = self.runs.lock();
        let running = runs.values().filter(|r| r.is_running).count();
        let run = runs.entry(id).or_insert_with(|| Run {
            since: Instant::now(),
            failures: 0,
            is_running: false,
            is_done: false,
        });
        let begins = !run.is_running && !run.is_done && running < RUNS_AT_ONCE;
        run.is_running |= begins;
        begins
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
