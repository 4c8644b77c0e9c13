//! Answers callers' HTTP requests.

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
use crate::ReplyBody;
use crate::Result;
use crate::RoutingTable;
use crate::ServiceKind;
use crate::ServiceName;
use crate::admission;
use crate::admission::Admitted;
use crate::call;
use crate::call::Call;
use crate::deferred;
use crate::entries::entry_answer;
use crate::hand_over;
use crate::model_call;
use crate::once;
use crate::problem::problem;
use crate::rank_entries;
use crate::run;

/// Path of the list of entries.
const ENTRIES_PATH: &str = "/v1/entries";

/// Cost of a plain call, in tokens.
pub(crate) const PLAIN_COST: f64 = 1.0;

/// Answers one request.
pub(crate) async fn answer(gate: Arc<Gate>, request: Request<Incoming>) -> Response<ReplyBody> {
    let version = request.version();
    let started = Instant::now();
    let service = service_of(&gate, &request);
    let mut response = match try_answer(Arc::clone(&gate), request).await {
        Ok(response) => response,
        Err(error) => problem(&error),
    };
    count(&gate, service.as_ref(), response.status().as_u16(), started);
    if version <= Version::HTTP_11 && !gate.info().accepting {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Returns the service that a request is for, if it exists.
fn service_of(gate: &Gate, request: &Request<Incoming>) -> Option<(ServiceName, Duration)> {
    let name = request.uri().path().split('/').nth(1)?;
    let name = ServiceName::new(name).ok()?;
    let table = gate.table()?;
    let service = &table.config.services.get(&name)?.value;
    Some((name, service.target))
}

fn count(gate: &Gate, service: Option<&(ServiceName, Duration)>, status: u16, started: Instant) {
    let spent = started.elapsed();
    let name = service.map_or("", |(name, _)| name.as_str());
    let in_target = service.is_some_and(|(_, target)| spent <= *target);
    gate.requests
        .answered(status, name, spent.as_secs_f64(), in_target);
}

async fn try_answer(gate: Arc<Gate>, request: Request<Incoming>) -> Result<Response<ReplyBody>> {
    check_headers(request.headers(), gate.settings.limits.headers)?;
    let table = gate
        .table()
        .ok_or_else(|| Error::new(ErrorKind::NotReady, "no configuration is in force yet"))?;
    if request.uri().path() == ENTRIES_PATH {
        return list_entries(&gate, &table, &request);
    }
    if let Some(id) = request.uri().path().strip_prefix(deferred::JOBS_PATH) {
        return read_job(&gate, &table, &request, id).await;
    }
    if gate.isolation.is_isolated() {
        return Ok(withdraw(&gate));
    }
    if let Some(response) = leave(&gate, &table, &request)? {
        return Ok(response);
    }
    let call = call::receive(&table, gate.settings.limits, request).await?;
    if deferred::is_wanted(&call) {
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

async fn run_plain(gate: &Arc<Gate>, call: Call) -> Result<Response<ReplyBody>> {
    let permit = match admission::admit(gate, &call, PLAIN_COST).await? {
        Admitted::Now(permit) => permit,
        Admitted::Leaving => {
            let path = format!("/{}/{}", call.service.name, call.path);
            let table = gate.table();
            let response = table.and_then(|t| hand_over::redirect(gate, &t, &call.customer, &path));
            return response.ok_or_else(no_peer);
        }
    };
    let response = if call.is_repeatable() {
        run::run(gate, call).await?
    } else {
        once::run_once(gate, call).await?
    };
    permit.finish();
    Ok(response)
}

fn no_peer() -> Error {
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
) -> Result<Response<ReplyBody>> {
    if request.method() != Method::GET {
        return Err(Error::new(
            ErrorKind::MethodNotAllowed,
            "a result is read with GET",
        ));
    }
    let customer = call::customer(table, request.headers())?;
    deferred::read(gate, &customer, id).await
}

/// Checks the size of a header section.
fn check_headers(headers: &HeaderMap, limit: usize) -> Result<()> {
    let size = headers.iter().map(|(n, v)| n.as_str().len() + v.len());
    if size.sum::<usize>() > limit {
        let detail = format!("the headers may have at most {limit} bytes");
        return Err(Error::new(ErrorKind::HeadersTooLarge, detail));
    }
    Ok(())
}

/// Sends a caller to another gate when this one's machine is under notice.
fn leave(
    gate: &Gate,
    table: &RoutingTable,
    request: &Request<Incoming>,
) -> Result<Option<Response<ReplyBody>>> {
    if gate.notice.borrow().is_none() {
        return Ok(None);
    }
    let customer = call::customer(table, request.headers())?;
    let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let response = hand_over::redirect(gate, table, &customer, path);
    response.map(Some).ok_or_else(no_peer)
}

/// Refuses a request because a newer configuration may be in force elsewhere, and names the
/// other entries.
fn withdraw(gate: &Gate) -> Response<ReplyBody> {
    let detail = "this entry can reach neither the log nor its peers; use another one";
    let mut response = problem(&Error::new(ErrorKind::NotReady, detail));
    let links = gate.isolation.others();
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
) -> Result<Response<ReplyBody>> {
    if request.method() != Method::GET {
        return Err(Error::new(
            ErrorKind::MethodNotAllowed,
            "the list of entries is read with GET",
        ));
    }
    let customer = call::customer(table, request.headers())?;
    let mut list = rank_entries(table, &customer);
    if gate.isolation.is_isolated() {
        list.entries = gate.isolation.others();
    }
    Ok(entry_answer(&list))
}
