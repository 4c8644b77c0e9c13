//! The gate's calls to the controllers that keep claims.
//!
//! A key's home is the controller that batches its claims. Any controller can take the home's
//! place, since only the order of the log decides.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use jsonrpsee::http_client::HttpClient;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::AcquireAnswer;
use crate::ClaimQuery;
use crate::ClaimRpcClient;
use crate::ClaimView;
use crate::Envelope;
use crate::Gate;
use crate::MemberState;
use crate::PutAnswer;

/// Time within which a claim must be decided.
const ACQUIRE_LIMIT: Duration = Duration::from_secs(2);

/// Time without an answer after which the next home is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(600);

/// Homes asked about one claim.
const HOMES_ASKED: usize = 3;

/// Time within which a home must take a record.
const PUT_LIMIT: Duration = Duration::from_secs(5);

/// Time by which an answer may exceed the time that a home was asked to wait.
const WAIT_GRACE: Duration = Duration::from_millis(500);

/// Time within which a home must answer an acquisition.
const ASK_LIMIT: Duration = Duration::from_millis(1800);

/// What came of an acquisition.
#[derive(Debug)]
pub(crate) enum Acquired {
    /// The claim was decided; other homes may still append the acquisition when `is_open`.
    Decided {
        /// What the attempt may do.
        view: ClaimView,
        /// Whether another home was asked and has not answered.
        is_open: bool,
    },
    /// Nothing can have been sent to the log.
    Refused(String),
    /// The acquisition may be in the log.
    Undecided(String),
}

/// Returns the controllers to ask about `key`, its home first.
///
/// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
pub(crate) fn homes(gate: &Gate, key: &str) -> Vec<SocketAddr> {
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
    let mut homes: Vec<SocketAddr> = ranked.into_iter().map(|(_, _, home)| home).collect();
    for own in &gate.settings.controllers {
        if !homes.contains(own) {
            homes.push(*own);
        }
    }
    homes
}

/// Sends an acquisition to the key's home, and to others when that one does not answer.
///
/// The same record goes to every home, so that the copies have one verdict.
pub(crate) async fn acquire(gate: &Gate, key: &str, record: &Envelope) -> Acquired {
    let deadline = Instant::now() + ACQUIRE_LIMIT;
    let mut homes = homes(gate, key).into_iter().take(HOMES_ASKED);
    let mut asked = FuturesUnordered::new();
    let mut reason = String::from("no controller can be reached");
    let mut is_sent = false;
    loop {
        let next = homes.next();
        let is_last = next.is_none();
        asked.extend(next.map(|home| ask(gate, home, record)));
        if asked.is_empty() {
            break;
        }
        let wait = if is_last { ACQUIRE_LIMIT } else { HEDGE_DELAY };
        let until = deadline.min(Instant::now() + wait);
        match tokio::time::timeout_at(until, asked.next()).await {
            Ok(Some(AcquireAnswer::Decided { view })) => {
                let is_open = is_sent || !asked.is_empty();
                return Acquired::Decided { view, is_open };
            }
            Ok(Some(AcquireAnswer::Refused { reason: why })) => reason = why,
            Ok(Some(AcquireAnswer::Undecided)) => is_sent = true,
            Err(_) if Instant::now() >= deadline => {
                is_sent = true;
                break;
            }
            Ok(None) | Err(_) => {}
        }
    }
    if is_sent {
        Acquired::Undecided(String::from("the log did not answer in time"))
    } else {
        Acquired::Refused(reason)
    }
}

async fn ask(gate: &Gate, home: SocketAddr, record: &Envelope) -> AcquireAnswer {
    let call = |client: HttpClient| async move { client.acquire(record.clone()).await };
    let answer = gate.rpc.call(home, ASK_LIMIT, call).await;
    answer.unwrap_or(AcquireAnswer::Undecided)
}

/// Waits while another attempt holds the claim.
///
/// Returns `None` when no home answers.
pub(crate) async fn wait(gate: &Gate, query: &ClaimQuery) -> Option<ClaimView> {
    let limit = query.wait + WAIT_GRACE;
    for home in homes(gate, &query.key.to_string())
        .into_iter()
        .take(HOMES_ASKED)
    {
        let call = |client: HttpClient| async move { client.wait(query.clone()).await };
        if let Ok(view) = gate.rpc.call(home, limit, call).await {
            return Some(view);
        }
    }
    None
}

/// Has a record appended; tells whether it is in the log.
pub(crate) async fn put(gate: &Gate, key: &str, record: &Envelope) -> bool {
    for home in homes(gate, key).into_iter().take(HOMES_ASKED) {
        let call = |client: HttpClient| async move { client.put(record.clone()).await };
        let answer = gate.rpc.call(home, PUT_LIMIT, call).await;
        if matches!(answer, Ok(PutAnswer::Appended)) {
            return true;
        }
    }
    false
}
