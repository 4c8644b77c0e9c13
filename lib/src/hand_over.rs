//! Hands requests over to another gate.

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
use crate::ReplyBody;
use crate::RequestId;
use crate::ResumeToken;
use crate::RoutingTable;
use crate::RpcError;
use crate::Timestamp;
use crate::full_body;
use crate::text_so_far::TextSoFar;

/// Time within which another gate must take a request.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Gates that are asked to take a request.
const PEERS_ASKED: usize = 2;

/// Requests that other gates handed over and that are kept at most.
const MAX_KEPT: usize = 20_000;

/// State of a request in progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamState {
    /// The request and its generation.
    pub token: ResumeToken,
    /// Text so far.
    pub text: TextSoFar,
}

/// Requests that other gates handed over, until their callers come.
#[derive(Debug, Default)]
pub(crate) struct HandedStates {
    states: Mutex<IndexMap<RequestId, StreamState>>,
}

impl HandedStates {
    /// Keeps a state until its deadline.
    pub(crate) fn put(&self, state: StreamState, now: Timestamp) {
        let mut states = self.states.lock();
        if states.len() >= MAX_KEPT {
            states.retain(|_, s| s.token.deadline > now);
        }
        if states.len() < MAX_KEPT {
            states.insert(state.token.request, state);
        }
    }

    /// Returns the token of a request, whose state stays.
    pub(crate) fn token(&self, request: RequestId) -> Option<ResumeToken> {
        let states = self.states.lock();
        states.get(&request).map(|state| state.token.clone())
    }

    /// Takes the state of a request.
    pub(crate) fn take(&self, request: RequestId) -> Option<StreamState> {
        self.states.lock().swap_remove(&request)
    }
}

/// Hands a request over and returns the gate to which its caller must go.
///
/// A gate of which it is not known whether it took the state will do: the caller's token and
/// text are enough there.
pub(crate) async fn hand_over(
    gate: &Gate,
    customer: &CustomerName,
    state: Option<StreamState>,
) -> Option<GateInfo> {
    let table = gate.table()?;
    let peers = peer_gates(gate, &table, customer);
    if let Some(state) = state {
        for peer in peers.iter().take(PEERS_ASKED) {
            match send(gate, peer, &state).await {
                Ok(()) => return Some(peer.clone()),
                Err(error) => tracing::warn!(%error, gate = %peer.rpc, "state not handed over"),
            }
        }
    }
    peers.into_iter().next()
}

async fn send(gate: &Gate, peer: &GateInfo, state: &StreamState) -> Result<(), RpcError> {
    let states = vec![state.clone()];
    gate.rpc
        .call(peer.rpc, PEER_TIMEOUT, |client| async move {
            client.hand_over(states).await
        })
        .await
}

/// Returns the gates that take new requests, those of other failure domains first, then in a
/// stable order for the customer.
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
            let suspect = m.state == MemberState::Suspect;
            (suspect, m.domain == place.domain, hash, g)
        })
        .collect();
    peers.sort_unstable_by_key(|p| (p.0, p.1, p.2));
    peers.into_iter().map(|p| p.3.clone()).collect()
}

/// Returns the redirect of a request that has not been dispatched, if another gate takes it.
pub(crate) fn redirect(
    gate: &Gate,
    table: &RoutingTable,
    customer: &CustomerName,
    path: &str,
) -> Option<Response<ReplyBody>> {
    let peer = peer_gates(gate, table, customer).into_iter().next()?;
    Some(redirect_to(&peer, path))
}

/// Returns the redirect to a path at another gate.
pub(crate) fn redirect_to(peer: &GateInfo, path: &str) -> Response<ReplyBody> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = StatusCode::TEMPORARY_REDIRECT;
    if let Ok(location) = HeaderValue::from_str(&location(peer, path)) {
        response.headers_mut().insert("location", location);
    }
    response
}

/// Returns the address of a path at another gate.
pub(crate) fn location(peer: &GateInfo, path: &str) -> String {
    format!("http://{}{path}", peer.callers)
}
