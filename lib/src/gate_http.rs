//! HTTP request handler of the gate's port for callers.

use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::LINK;
use tokio::time::Instant;

use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::ResponseBody;
use crate::Result;
use crate::RoutingTable;
use crate::ServiceKind;
use crate::ServiceName;
use crate::admission;
use crate::admission::AdmissionOutcome;
use crate::at_most_once;
use crate::call;
use crate::call::Call;
use crate::deferred;
use crate::entries::entry_list_response;
use crate::hand_over;
use crate::model_call;
use crate::problem::problem_response;
use crate::rank_entries;
use crate::run;

/// Path of the entry list.
const ENTRY_LIST_PATH: &str = "/v1/entries";

/// Admission cost of a request to a plain service, in tokens.
pub(crate) const PLAIN_CALL_COST_TOKENS: f64 = 1.0;

/// Handles a request; errors become problem documents.
///
/// Asks HTTP/1 callers to close the connection while the gate accepts no new requests.
pub(crate) async fn handle_request(
    gate: Arc<Gate>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let version = request.version();
    let started = Instant::now();
    let service = resolve_service(&gate, &request);
    let mut response = match try_handle(Arc::clone(&gate), request).await {
        Ok(response) => response,
        Err(error) => problem_response(&error),
    };
    record_metrics(&gate, service.as_ref(), response.status().as_u16(), started);
    if version <= Version::HTTP_11 && !gate.info().accepting {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Returns the name and the response time target of the requested service, if it exists.
fn resolve_service(gate: &Gate, request: &Request<Incoming>) -> Option<(ServiceName, Duration)> {
    let name = request.uri().path().split('/').nth(1)?;
    let name = ServiceName::new(name).ok()?;
    let table = gate.table()?;
    let service = &table.config.services.get(&name)?.value;
    Some((name, service.target))
}

fn record_metrics(
    gate: &Gate,
    service: Option<&(ServiceName, Duration)>,
    status: u16,
    started: Instant,
) {
    let elapsed = started.elapsed();
    let name = service.map_or("", |(name, _)| name.as_str());
    let in_target = service.is_some_and(|(_, target)| elapsed <= *target);
    gate.request_metrics
        .record_response(status, name, elapsed.as_secs_f64(), in_target);
}

async fn try_handle(gate: Arc<Gate>, request: Request<Incoming>) -> Result<Response<ResponseBody>> {
    check_headers(request.headers(), gate.settings.limits.headers)?;
    let table = gate
        .table()
        .ok_or_else(|| Error::new(ErrorKind::NotReady, "no configuration is in force yet"))?;
    if request.uri().path() == ENTRY_LIST_PATH {
        return list_entries(&gate, &table, &request);
    }
    if let Some(id) = request.uri().path().strip_prefix(deferred::JOBS_PATH) {
        return read_job(&gate, &table, &request, id).await;
    }
    if gate.isolation.is_isolated() {
        return Ok(refuse_while_isolated(&gate));
    }
    if let Some(response) = redirect_if_leaving(&gate, &table, &request)? {
        return Ok(response);
    }
    let call = call::receive(&table, gate.settings.limits, request).await?;
    if deferred::wants_deferral(&call) {
        return deferred::accept(&gate, call).await;
    }
    match call.service.kind {
        ServiceKind::Model if call.is_repeatable() => model_call::run(&gate, call).await,
        ServiceKind::Model => {
            model_call::check_target(&call)?;
            run_plain(&gate, call).await
        }
        ServiceKind::Plain => run_plain(&gate, call).await,
    }
}

async fn run_plain(gate: &Arc<Gate>, call: Call) -> Result<Response<ResponseBody>> {
    let permit = match admission::admit(gate, &call, PLAIN_CALL_COST_TOKENS).await? {
        AdmissionOutcome::Admitted(permit) => permit,
        AdmissionOutcome::Leaving => {
            let path = format!("/{}/{}", call.service.name, call.path);
            let table = gate.table();
            let response = table.and_then(|t| hand_over::redirect(gate, &t, &call.customer, &path));
            return response.ok_or_else(no_successor_error);
        }
    };
    let response = if call.is_repeatable() {
        run::run(gate, call).await?
    } else {
        at_most_once::run_at_most_once(gate, call).await?
    };
    permit.complete();
    Ok(response)
}

fn no_successor_error() -> Error {
    Error::new(
        ErrorKind::Leaving,
        "this machine ends and no other takes over",
    )
}

async fn read_job(
    gate: &Gate,
    table: &RoutingTable,
    request: &Request<Incoming>,
    id: &str,
) -> Result<Response<ResponseBody>> {
    if request.method() != Method::GET {
        return Err(Error::new(
            ErrorKind::MethodNotAllowed,
            "a result is read with GET",
        ));
    }
    let customer = call::authenticate(table, request.headers())?;
    deferred::read(gate, &customer, id).await
}

/// Fails if the header section is larger than `limit` bytes.
fn check_headers(headers: &HeaderMap, limit: usize) -> Result<()> {
    let size = headers.iter().map(|(n, v)| n.as_str().len() + v.len());
    if size.sum::<usize>() > limit {
        let detail = format!("the headers may have at most {limit} bytes");
        return Err(Error::new(ErrorKind::HeadersTooLarge, detail));
    }
    Ok(())
}

/// Redirects the caller to another gate if this gate is leaving.
fn redirect_if_leaving(
    gate: &Gate,
    table: &RoutingTable,
    request: &Request<Incoming>,
) -> Result<Option<Response<ResponseBody>>> {
    if gate.leave_deadline.borrow().is_none() {
        return Ok(None);
    }
    let customer = call::authenticate(table, request.headers())?;
    let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let response = hand_over::redirect(gate, table, &customer, path);
    response.map(Some).ok_or_else(no_successor_error)
}

/// Refuses a request while the gate is isolated, because a newer configuration may be in force
/// elsewhere. The `link` header names the other entries.
fn refuse_while_isolated(gate: &Gate) -> Response<ResponseBody> {
    let detail = "this entry can reach neither the log nor its peers; use another one";
    let mut response = problem_response(&Error::new(ErrorKind::NotReady, detail));
    let links = gate.isolation.other_entries();
    let links = links
        .iter()
        .map(|a| format!("<http://{a}>; rel=\"alternate\""));
    let links = links.collect::<Vec<_>>().join(", ");
    if let Ok(value) = HeaderValue::from_str(&links) {
        response.headers_mut().insert(LINK, value);
    }
    response
}

fn list_entries(
    gate: &Gate,
    table: &RoutingTable,
    request: &Request<Incoming>,
) -> Result<Response<ResponseBody>> {
    if request.method() != Method::GET {
        return Err(Error::new(
            ErrorKind::MethodNotAllowed,
            "the list of entries is read with GET",
        ));
    }
    let customer = call::authenticate(table, request.headers())?;
    let mut list = rank_entries(table, &customer);
    if gate.isolation.is_isolated() {
        list.entries = gate.isolation.other_entries();
    }
    Ok(entry_list_response(&list))
}
