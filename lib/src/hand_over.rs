//! Handover of requests to another gate.

use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use crate::CustomerName;
use crate::Gate;
use crate::GateInfo;
use crate::GateRpcClient;
use crate::MemberState;
use crate::RequestId;
use crate::ResponseBody;
use crate::ResumeToken;
use crate::RoutingTable;
use crate::RpcError;
use crate::Timestamp;
use crate::full_body;
use crate::response_text::ResponseText;

/// Timeout for another gate to accept a request.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of gates that are asked to accept a request.
const MAX_TRIED_GATES: usize = 2;

/// Maximum number of requests handed over by other gates that are stored.
const MAX_STORED_REQUESTS: usize = 20_000;

/// State of a request in progress, as one gate hands it over to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestState {
    /// Token that identifies the request and its generation.
    pub token: ResumeToken,
    /// Text generated so far.
    pub text: ResponseText,
}

/// Requests handed over by other gates, kept until their callers reconnect.
#[derive(Debug, Default)]
pub(crate) struct ReceivedRequests {
    requests: Mutex<IndexMap<RequestId, RequestState>>,
}

impl ReceivedRequests {
    /// Stores a request.
    ///
    /// At capacity, expired requests are removed; the new one is dropped if that frees no space.
    pub(crate) fn put(&self, state: RequestState, now: Timestamp) {
        let mut requests = self.requests.lock();
        if requests.len() >= MAX_STORED_REQUESTS {
            requests.retain(|_, s| s.token.deadline > now);
        }
        if requests.len() < MAX_STORED_REQUESTS {
            requests.insert(state.token.request, state);
        }
    }

    /// Returns the token of a request without removing its state.
    pub(crate) fn token(&self, request: RequestId) -> Option<ResumeToken> {
        let requests = self.requests.lock();
        requests.get(&request).map(|state| state.token.clone())
    }

    /// Removes and returns the state of a request.
    pub(crate) fn take(&self, request: RequestId) -> Option<RequestState> {
        self.requests.lock().swap_remove(&request)
    }
}

/// Hands a request over and returns the gate to which its caller is redirected, or `None` if no
/// other gate accepts requests.
///
/// If no gate is known to have accepted the state, the caller is still redirected to the first
/// peer: the caller's token and text are sufficient to resume there.
pub(crate) async fn hand_over(
    gate: &Gate,
    customer: &CustomerName,
    state: Option<RequestState>,
) -> Option<GateInfo> {
    let table = gate.table()?;
    let peers = peer_gates(gate, &table, customer);
    if let Some(state) = state {
        for peer in peers.iter().take(MAX_TRIED_GATES) {
            match send(gate, peer, &state).await {
                Ok(()) => return Some(peer.clone()),
                Err(error) => tracing::warn!(%error, gate = %peer.rpc, "request not handed over"),
            }
        }
    }
    peers.into_iter().next()
}

async fn send(gate: &Gate, peer: &GateInfo, state: &RequestState) -> Result<(), RpcError> {
    let states = vec![state.clone()];
    gate.rpc
        .call(peer.rpc, PEER_TIMEOUT, |client| async move {
            client.hand_over(states).await
        })
        .await
}

/// Returns the other gates that accept new requests.
///
/// Live gates come before suspected ones, then gates of other failure domains before those of the
/// same one, then in an order that is stable for the customer.
pub(crate) fn peer_gates(
    gate: &Gate,
    table: &RoutingTable,
    customer: &CustomerName,
) -> Vec<GateInfo> {
    let place = &gate.settings.place;
    let mut peers: Vec<_> = table
        .live
        .members
        .values()
        .filter(|m| m.node != place.node)
        .filter(|m| matches!(m.state, MemberState::Alive | MemberState::Suspect))
        .filter_map(|m| m.gate.as_ref().filter(|g| g.accepting).map(|g| (m, g)))
        .map(|(m, g)| {
            let key = format!("{customer}/{}", m.node);
            let hash = xxhash_rust::xxh3::xxh3_64(key.as_bytes());
            let is_suspect = m.state == MemberState::Suspect;
            (is_suspect, m.domain == place.domain, hash, g)
        })
        .collect();
    peers.sort_unstable_by_key(|p| (p.0, p.1, p.2));
    peers.into_iter().map(|p| p.3.clone()).collect()
}

/// Returns the redirect of a request that has not been dispatched, or `None` if no other gate
/// accepts requests.
pub(crate) fn redirect(
    gate: &Gate,
    table: &RoutingTable,
    customer: &CustomerName,
    path: &str,
) -> Option<Response<ResponseBody>> {
    let peer = peer_gates(gate, table, customer).into_iter().next()?;
    Some(redirect_to(&peer, path))
}

/// Builds the redirect to a path at another gate.
pub(crate) fn redirect_to(peer: &GateInfo, path: &str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = StatusCode::TEMPORARY_REDIRECT;
    if let Ok(location) = HeaderValue::from_str(&gate_url(peer, path)) {
        response.headers_mut().insert("location", location);
    }
    response
}

/// Returns the URL of a path at another gate.
pub(crate) fn gate_url(peer: &GateInfo, path: &str) -> String {
    format!("http://{}{path}", peer.callers)
}
