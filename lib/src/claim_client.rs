//! Client side of the claim RPC: a gate's calls to the controllers.
//!
//! Each key has a preferred controller, chosen by rendezvous hashing, which batches its claims. Any
//! other controller can stand in for it, since only the order of the log decides who holds a claim.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use jsonrpsee::http_client::HttpClient;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::AcquireReply;
use crate::AppendRecordReply;
use crate::ClaimQuery;
use crate::ClaimRpcClient;
use crate::ClaimView;
use crate::Envelope;
use crate::Gate;
use crate::MemberState;

/// Timeout for the decision on a claim, over all controllers tried.
const ACQUIRE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay without a reply after which a hedged request goes to the next controller.
const HEDGE_DELAY: Duration = Duration::from_millis(600);

/// Maximum number of controllers tried for one operation.
const MAX_TRIED_CONTROLLERS: usize = 3;

/// Timeout for one controller to append a record; longer than the controller's own timeout.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Time by which a reply may exceed the wait requested in a [`ClaimQuery`].
const WAIT_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Timeout for one controller to reply to an acquire request; longer than the controller's own
/// timeout for it, [`claim_rpc::ACQUIRE_TIMEOUT`](crate::claim_rpc::ACQUIRE_TIMEOUT).
const CONTROLLER_TIMEOUT: Duration = Duration::from_millis(1800);

/// Result of a request to acquire a claim.
#[derive(Debug)]
pub(crate) enum AcquireOutcome {
    /// The claim was decided.
    Decided {
        /// State of the claim as seen by the attempt.
        view: ClaimView,
        /// Whether a controller may still append the acquire record.
        may_append: bool,
    },
    /// The acquire record cannot have been sent to the log.
    Refused(String),
    /// The acquire record may be in the log, and the verdict is unknown.
    Undecided(String),
}

/// Returns the controllers for `key` in order of preference.
///
/// Members that are alive come before those that are suspected or leaving, each group in the order
/// of the rendezvous hash of the key; dead members are left out. Configured controllers that are
/// not listed yet follow.
///
/// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
pub(crate) fn ranked_controllers(gate: &Gate, key: &str) -> Vec<SocketAddr> {
    let table = gate.table();
    let members = table.iter().flat_map(|t| t.live.members.values());
    let mut ranked: Vec<(bool, u64, SocketAddr)> = members
        .filter(|m| m.state != MemberState::Dead)
        .map(|m| {
            let hash = xxh3_64(format!("{key}/{}", m.node).as_bytes());
            (m.state != MemberState::Alive, hash, m.controller)
        })
        .collect();
    ranked.sort_unstable();
    let mut controllers: Vec<SocketAddr> = ranked
        .into_iter()
        .map(|(_, _, controller)| controller)
        .collect();
    for configured in &gate.settings.controllers {
        if !controllers.contains(configured) {
            controllers.push(*configured);
        }
    }
    controllers
}

/// Sends an acquire record to the key's preferred controller, and to the next ones while none has
/// decided the claim.
///
/// Every controller gets the same record, so that all copies in the log have one verdict.
pub(crate) async fn acquire(gate: &Gate, key: &str, record: &Envelope) -> AcquireOutcome {
    let deadline = Instant::now() + ACQUIRE_TIMEOUT;
    let mut controllers = ranked_controllers(gate, key)
        .into_iter()
        .take(MAX_TRIED_CONTROLLERS);
    let mut requests = FuturesUnordered::new();
    let mut reason = String::from("no controller can be reached");
    let mut maybe_sent = false;
    loop {
        let next = controllers.next();
        let is_exhausted = next.is_none();
        requests.extend(next.map(|controller| acquire_from(gate, controller, record)));
        if requests.is_empty() {
            break;
        }
        let wait = if is_exhausted {
            ACQUIRE_TIMEOUT
        } else {
            HEDGE_DELAY
        };
        let until = deadline.min(Instant::now() + wait);
        match tokio::time::timeout_at(until, requests.next()).await {
            Ok(Some(AcquireReply::Decided { view })) => {
                let may_append = maybe_sent || !requests.is_empty();
                return AcquireOutcome::Decided { view, may_append };
            }
            Ok(Some(AcquireReply::Refused { reason: cause })) => reason = cause,
            Ok(Some(AcquireReply::Undecided)) => maybe_sent = true,
            Err(_) if Instant::now() >= deadline => {
                maybe_sent = true;
                break;
            }
            Ok(None) | Err(_) => {}
        }
    }
    if maybe_sent {
        AcquireOutcome::Undecided(String::from("the log did not answer in time"))
    } else {
        AcquireOutcome::Refused(reason)
    }
}

async fn acquire_from(gate: &Gate, controller: SocketAddr, record: &Envelope) -> AcquireReply {
    let call = |client: HttpClient| async move { client.acquire(record.clone()).await };
    let reply = gate.rpc.call(controller, CONTROLLER_TIMEOUT, call).await;
    reply.unwrap_or(AcquireReply::Undecided)
}

/// Waits while the attempt named in the query holds the claim, and returns the state of the claim.
///
/// Returns `None` if no controller replies.
pub(crate) async fn wait(gate: &Gate, query: &ClaimQuery) -> Option<ClaimView> {
    let limit = query.wait + WAIT_GRACE_PERIOD;
    for controller in ranked_controllers(gate, &query.key.to_string())
        .into_iter()
        .take(MAX_TRIED_CONTROLLERS)
    {
        let call = |client: HttpClient| async move { client.wait(query.clone()).await };
        if let Ok(view) = gate.rpc.call(controller, limit, call).await {
            return Some(view);
        }
    }
    None
}

/// Appends a record through a controller; returns whether it is known to be in the log.
pub(crate) async fn append(gate: &Gate, key: &str, record: &Envelope) -> bool {
    for controller in ranked_controllers(gate, key)
        .into_iter()
        .take(MAX_TRIED_CONTROLLERS)
    {
        let call =
            |client: HttpClient| async move { client.append_claim_record(record.clone()).await };
        let reply = gate.rpc.call(controller, APPEND_TIMEOUT, call).await;
        if matches!(reply, Ok(AppendRecordReply::Appended)) {
            return true;
        }
    }
    false
}
