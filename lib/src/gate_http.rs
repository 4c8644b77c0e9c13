//! Answers callers' HTTP requests.

use std::sync::Arc;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::Error;
use crate::ErrorKind;
use crate::Gate;
use crate::ReplyBody;
use crate::Result;
use crate::RoutingTable;
use crate::call;
use crate::entries::entry_answer;
use crate::once;
use crate::problem::problem;
use crate::rank_entries;
use crate::run;

/// Path of the list of entries.
const ENTRIES_PATH: &str = "/v1/entries";

/// Answers one request.
pub(crate) async fn answer(gate: Arc<Gate>, request: Request<Incoming>) -> Response<ReplyBody> {
    match try_answer(gate, request).await {
        Ok(response) => response,
        Err(error) => problem(&error),
    }
}

async fn try_answer(gate: Arc<Gate>, request: Request<Incoming>) -> Result<Response<ReplyBody>> {
    let table = gate
        .table()
        .ok_or_else(|| Error::new(ErrorKind::NotReady, "no configuration is in force yet"))?;
    if request.uri().path() == ENTRIES_PATH {
        return list_entries(&table, &request);
    }
    let call = call::receive(&table, gate.settings.limits, request).await?;
    if call.is_repeatable() {
        run::run(&gate, call).await
    } else {
        once::run_once(&gate, call).await
    }
}

fn list_entries(table: &RoutingTable, request: &Request<Incoming>) -> Result<Response<ReplyBody>> {
    if request.method() != Method::GET {
        return Err(Error::new(
            ErrorKind::MethodNotAllowed,
            "the list of entries is read with GET",
        ));
    }
    let customer = call::customer(table, request.headers())?;
    Ok(entry_answer(&rank_entries(table, &customer)))
}
